"""The configuration in force: routes, services, client accounts and limits."""

import collections
from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """What a route promises about repeating its requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that a route sends to, and its weight among the targets."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route of an operator. Times are in seconds; priority 0 is highest.

    Its requests run in ``regions`` only, anywhere where there are none.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    event_gap_target: float = 0.0
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self):
        """Return whether a request may run more than once from its start."""
        return self.kind is RouteKind.SAFE or self.resumable


class Engine(NamedTuple):
    """What a service of model engines declares; memory in tokens.

    ``token_bytes`` is the size of a cached token and ``link_rate`` the bytes a
    second at which one engine can take cached tokens from another, 0 where it
    cannot.
    """

    slots: int
    memory: int
    token_bytes: float = 0.0
    link_rate: float = 0.0


class Service(NamedTuple):
    """A service: a set of like upstreams.

    Each of them warms up for ``warm_time`` seconds after it has come into use and
    bears ``warm_rate`` requests a second meanwhile, 0 for no such limit.
    """

    name: str
    max_connections: int
    engine: Engine | None
    warm_time: float = 0.0
    warm_rate: float = 0.0


class Account(NamedTuple):
    """A client account; a priority of None leaves the route's in force.

    Its requests run in ``regions`` only, anywhere where there are none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[str] = frozenset()


class Limits(NamedTuple):
    """Bounds on what clients send, in bytes and seconds, and on tokens."""

    header_bytes: int = 32 << 10
    body_bytes: int = 8 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 15.0
    tokens_per_second: float = 0.0


class _HostRoutes:
    """The routes of one host by prefix.

    Looked up by each length that a prefix has, the longest first: thousands of routes
    have few lengths.
    """

    def __init__(self):
        self._by_prefix = {}
        self._lengths = []

    def add(self, route):
        """Add a route; the first one of a prefix counts."""
        self._by_prefix.setdefault(route.prefix, route)
        if len(route.prefix) not in self._lengths:
            self._lengths.append(len(route.prefix))
            self._lengths.sort(reverse=True)

    def find(self, path):
        """Return the route with the longest prefix of ``path``, or None."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class Catalog:
    """One version of the configuration, indexed for look-ups; never changed."""

    def __init__(self, version, routes, services, accounts, limits):
        self.version = version
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        self.routes = tuple(routes)
        self._by_host = collections.defaultdict(_HostRoutes)
        for route in routes:
            self._by_host[route.host.lower()].add(route)
        self._by_key = {key: a for a in accounts for key in a.keys}

    @property
    def needs_key(self):
        """Return whether requests on routes that are not public need a key."""
        return bool(self.accounts)

    def find_route(self, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        return routes.find(path) if routes else None

    def find_account(self, key):
        """Return the account that holds ``key``, or None."""
        return self._by_key.get(key)
