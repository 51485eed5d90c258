"""Messages between routers: versioned MessagePack arrays.

Messages are msgspec structs rather than named tuples because msgspec selects
and validates the type of a tagged union in one decoding step.
"""

import msgspec
from valeweir_sharing.leases import Claim, Grant

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1 << 20


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Base class of the messages, with the fields that all of them start with.

    ``source`` is the sender's incarnation, ``HOST#NUMBER``; ``seq`` increases
    with every message that the incarnation sends.
    """

    version: int = PROTOCOL_VERSION
    source: str
    seq: int


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Location of a router; sent in the first digests and periodically afterwards."""

    domain: str
    address: str


class PoolReport(msgspec.Struct, frozen=True, array_like=True):
    """Service usage in one pool, as cost per weight rounded to integers.

    ``accounts`` maps a client account's number to ``(settled, inflight, lift,
    waiting)``. The number is the log offset at which the account was created. It
    is the same at every router and takes a third of the bytes of a name.
    """

    pool: str
    front: int
    accounts: dict[int, tuple[int, int, int, int]]


class Digest(Message, tag="D"):
    """Heartbeat, service report, claims and grants, sent once per interval.

    ``echo`` is the last ``sent_at`` received from the receiver. It extends the
    leases that the sender granted to the receiver and proves that messages
    from the receiver arrive. ``whole`` is true if ``pools`` is complete.
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
    """Returns or requests slots of an owner between digests.

    ``waiting`` maps the number of each account with queued requests in ``pool``
    to the count of these requests.
    """

    sent_at: float
    pool: str
    waiting: dict[int, int]
    claims: list[Claim]


class Offer(Message, tag="O"):
    """Grants slots to a holder between digests, or recalls idle ones."""

    echo: float
    grants: list[Grant]
    recall: list[str]


class Handover(Message, tag="T"):
    """Transfers an owner's slot table of an upstream to the next owner.

    ``wait`` is the time in seconds until the sender itself could have granted
    without restrictions; ``holders`` maps incarnations to the slots that they
    may be using.
    """

    upstream: str
    epoch: int
    wait: float
    holders: dict[str, int]


class ViewQuery(Message, tag="Q"):
    """Requests the configuration for a router that is behind ``config_offset``."""

    offset: int


class ViewAnswer(Message, tag="V"):
    """The sender's complete configuration, as a `valeweir.configuration.View`."""

    view: bytes


class HistoryQuery(Message, tag="H"):
    """Requests the service of past incarnations for a router that started empty."""


class PastService(msgspec.Struct, frozen=True, array_like=True):
    """Service received by an account in a pool that no live router reports."""

    pool: str
    account: int
    base: int
    lift: int


class History(Message, tag="P"):
    """Service by past and silent incarnations, see
    `valeweir_sharing.usage.History`.

    ``silent`` maps an incarnation to ``(pool, account, settled)`` rows.
    """

    past: list[PastService]
    retired: list[str]
    silent: dict[str, list[tuple[str, int, int]]]


class KeyClaim(Message, tag="K"):
    """Requests that a holder record an idempotency key for a request.

    Both are sent as hashes, see `valeweir_router.key_claims`.
    """

    key: bytes
    request: int


class KeyAnswer(Message, tag="N"):
    """Response to a `KeyClaim`.

    ``answer`` is a value of `valeweir_sharing.idempotency_keys.ClaimAnswer`.
    """

    key: bytes
    request: int
    answer: str


class KeyRelease(Message, tag="R"):
    """Releases a key because its request certainly did not run."""

    key: bytes
    request: int


class KeyQuery(Message, tag="L"):
    """Requests the recorded claims for a router that started without any."""


class KeyRows(Message, tag="W"):
    """Claims recorded by the sender, as (key, request, age in seconds)."""

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
    """Return the message as MessagePack bytes."""
    return _encoder.encode(message)


def decode_message(data):
    """Return ``(message, None)``, or ``(None, reason)`` if the bytes are invalid."""
    if len(data) > MAX_MESSAGE_BYTES:
        return None, "oversized"
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None, "malformed"
    if message.version != PROTOCOL_VERSION:
        return None, "version"
    return message, None
