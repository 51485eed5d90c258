"""The configuration in force: routes, services, client accounts and limits."""

import collections
from enum import StrEnum
from typing import NamedTuple

from ..transport.limits import ClientLimits


class RouteKind(StrEnum):
    """Whether the requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that a route sends requests to, and its weight among the targets."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route configured by an operator. Times are in seconds; priority 0 is highest.

    Requests run only in ``regions``, or in any region if ``regions`` is empty.
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
        """Return whether a request may be run again from its start."""
        return self.kind is RouteKind.SAFE or self.resumable


class Engine(NamedTuple):
    """Properties of the model engines of a service; ``memory`` is in tokens.

    ``token_bytes`` is the size of a cached token. ``link_rate`` is the rate, in bytes
    per second, at which one engine can copy cached tokens from another, 0 if it cannot.
    """

    slots: int
    memory: int
    token_bytes: float = 0.0
    link_rate: float = 0.0


class Service(NamedTuple):
    """A service: a set of equivalent upstreams.

    Each upstream warms up for ``warm_time`` seconds after it enters service. During
    that time it accepts ``warm_rate`` requests per second, 0 for no limit. A GET on
    ``health_path`` is a health check.
    """

    name: str
    max_connections: int
    engine: Engine | None
    warm_time: float = 0.0
    warm_rate: float = 0.0
    health_path: str = "/"


class Account(NamedTuple):
    """A client account; with a priority of None the priority of the route applies.

    Requests run only in ``regions``, or in any region if ``regions`` is empty.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[str] = frozenset()


class Limits(NamedTuple):
    """Limits on clients, and the rate of all engines in tokens per second."""

    clients: ClientLimits = ClientLimits()
    tokens_per_second: float = 0.0


class _HostRoutes:
    """The routes of one host by prefix.

    A lookup tries each existing prefix length, the longest first. This is fast because
    even thousands of routes have few distinct prefix lengths.
    """

    def __init__(self):
        self._by_prefix = {}
        self._lengths = []

    def add(self, route):
        """Add a route, unless there is already one with this prefix."""
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
    """One immutable version of the configuration, indexed for lookups."""

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
        """Return whether requests to non-public routes require a key."""
        return bool(self.accounts)

    def find_route(self, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        return routes.find(path) if routes else None

    def find_account(self, key):
        """Return the account that ``key`` belongs to, or None."""
        return self._by_key.get(key)
