"""Messages between routers: compact arrays in MessagePack, with a version.

msgspec structs rather than named tuples, since a tagged union is told apart
and checked in one decoding step.
"""

import msgspec
from valeweir_sharing.leases import Claim, Grant

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What every message starts with.

    ``source`` is the sender's incarnation, ``HOST#NUMBER``; ``seq`` grows with
    every message that the incarnation sends.
    """

    version: int = PROTOCOL_VERSION
    source: str
    seq: int


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Where a router is; sent with the first digests and now and then."""

    domain: str
    address: str


class PoolReport(msgspec.Struct, frozen=True, array_like=True):
    """Service figures of one pool; costs per weight, rounded to integers.

    ``accounts`` maps a client account's number to ``(settled, inflight, lift,
    waiting)``. The number is the log offset at which the account was created:
    the same at every router, and a third of a name's bytes.
    """

    pool: str
    front: int
    accounts: dict[int, tuple[int, int, int, int]]


class Digest(Message, tag="D"):
    """Heartbeat, service report, claims and grants, once an interval.

    ``echo`` is the last ``sent_at`` that came from the receiver: it extends
    the leases that the receiver holds of the sender and shows that the way
    there works too. ``whole`` says that ``pools`` omits nothing.
    """

    sent_at: float
    echo: float
    leaving: bool
    config_offset: int
    identity: Identity | None
    whole: bool
    pools: list[PoolReport]
    claims: list[Claim]
    grants: list[Grant]


class Ask(Message, tag="A"):
    """A holder hands back slots, or asks for some, between digests.

    ``waiting`` maps the number of each account that waits in ``pool`` to its
    requests.
    """

    sent_at: float
    pool: str
    waiting: dict[int, int]
    claims: list[Claim]


class Offer(Message, tag="O"):
    """An owner grants slots between digests, or recalls idle ones."""

    echo: float
    grants: list[Grant]
    recall: list[str]


class Handover(Message, tag="T"):
    """An owner passes its table of an upstream on to the next owner.

    ``wait`` is the time in seconds until the sender itself would have granted
    freely; ``holders`` maps incarnations to the slots they may be using.
    """

    upstream: str
    epoch: int
    wait: float
    holders: dict[str, int]


class ViewQuery(Message, tag="Q"):
    """A router behind ``config_offset`` asks for the configuration."""

    offset: int


class ViewAnswer(Message, tag="V"):
    """The sender's whole configuration, as a `valeweir.configuration.View`."""

    view: bytes


class HistoryQuery(Message, tag="H"):
    """A router that started empty asks for the service of past incarnations."""


class Past(msgspec.Struct, frozen=True, array_like=True):
    """Service of one account in one pool that no live router reports."""

    pool: str
    account: int
    base: int
    lift: int


class History(Message, tag="P"):
    """Service of past and silent incarnations, see
    `valeweir_sharing.usage.History`.

    ``silent`` maps an incarnation to ``(pool, account, settled)`` rows.
    """

    past: list[Past]
    retired: list[str]
    silent: dict[str, list[tuple[str, int, int]]]


class KeyClaim(Message, tag="K"):
    """A router asks a holder to record an idempotency key for a request.

    Both travel as digests, see `valeweir_router.key_claims`.
    """

    key: bytes
    request: int


class KeyAnswer(Message, tag="N"):
    """A holder's answer, a value of `valeweir_sharing.idempotency_keys.ClaimAnswer`."""

    key: bytes
    request: int
    answer: str


class KeyRelease(Message, tag="R"):
    """A router gives a key back: its call was certainly not run."""

    key: bytes
    request: int


class KeyQuery(Message, tag="L"):
    """A router that started empty asks for the claims recorded."""


class KeyRows(Message, tag="W"):
    """Claims recorded at the sender: (key, request, age in seconds)."""

    rows: list[tuple[bytes, int, float]]


AnyMessage = (
    Digest
    | Ask
    | Offer
    | Handover
    | ViewQuery
    | ViewAnswer
    | HistoryQuery
    | History
    | KeyClaim
    | KeyAnswer
    | KeyRelease
    | KeyQuery
    | KeyRows
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message):
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode_message(data):
    """Return ``(message, None)`` or ``(None, why)`` for bytes off the wire."""
    if len(data) > MAX_MESSAGE_BYTES:
        return None, "oversized"
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None, "malformed"
    if message.version != PROTOCOL_VERSION:
        return None, "version"
    return message, None
