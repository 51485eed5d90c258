"""The deployments of two sites, with a configurable number of hosts and accounts."""

from typing import NamedTuple


class RouterSpec(NamedTuple):
    """A router of a deployment."""

    host: str
    domain: str


class UpstreamSpec(NamedTuple):
    """An upstream of a deployment."""

    name: str
    pool: str
    kind: str
    domain: str
    slots: int


class AccountSpec(NamedTuple):
    """A client account with its weight and demand.

    ``demand`` is in multiples of the account's fair share of the slots.
    """

    name: str
    weight: float
    demand: float


class Deployment(NamedTuple):
    """The routers, upstreams and client accounts of a fleet."""

    name: str
    partner: str
    routers: list[RouterSpec]
    upstreams: list[UpstreamSpec]
    accounts: list[AccountSpec]

    @property
    def model(self):
        """The pool of the model engines."""
        return next(u.pool for u in self.upstreams if u.kind == "engine")

    @property
    def service(self):
        """The pool of the plain service, or "" if there is none."""
        return next((u.pool for u in self.upstreams if u.kind == "service"), "")


_ENGINE_SLOT_COUNT = 16
_SERVICE_SLOT_COUNT = 8
_LARGE_ACCOUNT_COUNT = 4


def _make_accounts(names):
    return [
        AccountSpec(
            name,
            3.0 if i < _LARGE_ACCOUNT_COUNT else 1.0,
            6.0 if i < _LARGE_ACCOUNT_COUNT else 3.0,
        )
        for i, name in enumerate(names)
    ]


def _make_deployment(
    name, partner, domains, model, service, accounts, routers, engines
):
    router_specs = [
        RouterSpec(f"{domains[i % len(domains)]}-{i // len(domains) + 1}", d)
        for i in range(routers)
        for d in [domains[i % len(domains)]]
    ]
    upstream_specs = [
        UpstreamSpec(
            f"{model}-{i + 1}",
            model,
            "engine",
            domains[i % len(domains)],
            _ENGINE_SLOT_COUNT,
        )
        for i in range(engines)
    ]
    upstream_specs += [
        UpstreamSpec(f"{service}-{i + 1}", service, "service", d, _SERVICE_SLOT_COUNT)
        for i, d in enumerate(domains[:3])
    ]
    return Deployment(
        name, partner, router_specs, upstream_specs, _make_accounts(accounts)
    )


def get_deployment(name, routers=9, engines=5, accounts=16):
    """Return the deployment ``hooghly`` or ``kat``, by default at its current size."""
    if name == "hooghly":
        known_names = (
            "port-authority terminal-ops customs-broking river-haulage barge-line "
            "gate-kiosk berth-desk tide-office crane-pool cold-chain truckers-union "
            "bonded-store pilot-station ferry-yard tally-clerks night-gate"
        ).split()
        domains = ["kidderpore", "garden-reach", "haldia"]
        return _make_deployment(
            "hooghly",
            "hooghly-berth-ledger",
            domains,
            "vale-llm",
            "slot-api",
            _make_account_names(known_names, accounts),
            routers,
            engines,
        )
    if name == "kat":
        known_names = (
            "east-line west-line refunds-desk group-travel gemas-kiosk ipoh-kiosk "
            "sentral-kiosk school-trips senior-pass parcel-room night-train "
            "island-link night-desk lost-found crew-roster season-pass"
        ).split()
        domains = ["hall-sentral", "hall-ipoh", "hall-gemas"]
        return _make_deployment(
            "kat",
            "kereta-amanah",
            domains,
            "tempah-llm",
            "kaunter-api",
            _make_account_names(known_names, accounts),
            routers,
            engines,
        )
    raise ValueError(f"unknown deployment {name!r}")


def _make_account_names(known_names, count):
    extra = [f"account-{i}" for i in range(len(known_names), count)]
    return (known_names + extra)[:count]
