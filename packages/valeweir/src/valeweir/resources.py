"""Resources that operators declare, and the changes to them in the log."""

from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

import msgspec

from .settings import Address, Count, Name

KINDS = (
    "partners",
    "client-accounts",
    "shares",
    "upstreams",
    "models",
    "planned-changes",
)

Weight = Annotated[float, msgspec.Meta(gt=0, le=1e6)]


class OperatorKey(TypedDict):
    """A key of a partner's operator, stored as a hash."""

    sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    role: Literal["viewer", "operator", "admin"]
    name: NotRequired[Name]


class PartnerSpec(TypedDict):
    """An organisation that shares capacity."""

    keys: list[OperatorKey]


class ClientAccountSpec(TypedDict):
    """A client account; its keys are stored as hashes only."""

    partner: Name
    key_hashes: list[Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]]
    max_waiting: NotRequired[Count]


class ShareSpec(TypedDict):
    """The weight of a client account, in every pool or in one.

    Named as the account, or ``ACCOUNT.POOL`` with ``pool`` given.
    """

    account: Name
    weight: Weight
    pool: NotRequired[Name]


class UpstreamSpec(TypedDict):
    """A model engine or a plain service.

    ``repeatable`` lists methods beyond GET and HEAD that may be sent twice;
    ``checks_fence`` says whether the upstream refuses orders with an old
    fence.
    """

    partner: Name
    pool: Name
    kind: Literal["engine", "service"]
    domain: Name
    address: Address
    slots: Count
    state: NotRequired[Literal["serving", "leaving"]]
    repeatable: NotRequired[list[str]]
    checks_fence: NotRequired[bool]
    models: NotRequired[list[Name]]


class ModelSpec(TypedDict):
    """A model that callers may name; ``pool`` serves it."""

    partner: Name
    pool: Name
    adapters: NotRequired[list[Name]]
    bytes: NotRequired[int]


class PlannedChangeSpec(TypedDict):
    """A change to an upstream that the system carries out.

    ``not_before`` is in seconds since 1970; ``max_out`` is the part of the
    pool that may be out of service at once.
    """

    upstream: Name
    action: Literal["drain", "resume", "load", "unload", "change-role", "remove"]
    model: NotRequired[Name]
    role: NotRequired[Name]
    not_before: NotRequired[float]
    max_out: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=1)]]
    cancelled: NotRequired[bool]


SPECS = {
    "partners": PartnerSpec,
    "client-accounts": ClientAccountSpec,
    "shares": ShareSpec,
    "upstreams": UpstreamSpec,
    "models": ModelSpec,
    "planned-changes": PlannedChangeSpec,
}


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change to a resource, as stored in the log.

    ``base`` is the version that the change is based on (0 for a new resource).
    ``spec`` is None for a deletion. ``author`` names the key that made the change,
    for the audit.
    """

    id: str
    kind: str
    name: str
    base: int
    spec: dict | None
    author: str = ""
    at: float = 0.0


class Resource(NamedTuple):
    """A current resource; ``version`` is the offset of its last change."""

    kind: str
    name: str
    version: int
    created: int
    spec: dict
    author: str
    at: float


def check_spec(kind, spec):
    """Return the first error in ``spec`` as text, or None if it is valid."""
    try:
        msgspec.convert(spec, SPECS[kind])
    except msgspec.ValidationError as exc:
        return str(exc)
    unknown = sorted(set(spec) - set(SPECS[kind].__annotations__))
    if unknown:
        return f"Unknown field `{unknown[0]}` - at `$.{unknown[0]}`"
    return None
