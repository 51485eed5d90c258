"""Settings of a gateway: JSON, comments allowed, unknown fields ignored."""

from pathlib import Path

import msgspec
from valeweir.exceptions import SettingsError

from .fleet.members import MESH_LIMIT

# Room for a gateway with nothing under way, and for each request under way.
_BASE_MEMORY_MB = 80.0
_REQUEST_MEMORY_MB = 0.1
# Descriptors for files, listening sockets and calls of the store, as the platform
# counts; of the others each request under way takes one beside its client's.
_OTHER_DESCRIPTOR_COUNT = 200
_CLIENTS_RATIO = 0.65
_MIN_INFLIGHT_COUNT = 64
# Each takes two descriptors, of which the smallest hosts have 4,000.
_MAX_INFLIGHT_COUNT = 1_200


class Listen(msgspec.Struct, frozen=True):
    """Addresses, each ``IP:PORT``.

    ``fleet`` serves the view of the world to other gateways over HTTP;
    ``reports`` takes their datagrams. Both ports are the same fleet-wide.
    """

    clients: str
    ready: str
    fleet: str
    reports: str
    metrics: str = ""


class Store(msgspec.Struct, frozen=True):
    """The platform's store; times in seconds.

    ``poll`` is how long a call waits for a record, ``quarantine_poll`` the same for
    quarantines, which gateways tell each other first: each call has its price.
    ``change_within_ms`` is the time in milliseconds after which a configuration that
    the store has acknowledged must be in force.
    """

    address: str
    poll: float = 5.0
    timeout: float = 2.0
    quarantine_poll: float = 25.0
    change_within_ms: float = 2000.0


class Retries(msgspec.Struct, frozen=True):
    """The fleet's budget of repeated sends, see `retries.RetryBudget`."""

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


class Stop(msgspec.Struct, frozen=True):
    """How a planned stop goes, in seconds."""

    grace: float = 10.0
    balancer_wait: float = 2.6


class Sharing(msgspec.Struct, frozen=True):
    """How capacity is shared; ``window`` in seconds."""

    window: float = 4.0


class Upstreams(msgspec.Struct, frozen=True):
    """What holds for upstreams.

    ``leave_within_ms`` is the time in milliseconds after which a leaving
    upstream must get no more new work.
    """

    leave_within_ms: float = 2000.0


class SlowStart(msgspec.Struct, frozen=True):
    """Bound on the requests that one warming upstream gets within a second.

    It is ``factor`` times the rate that the upstream's service declares, and
    ``slack`` more.
    """

    factor: float = 1.0
    slack: float = 0.0


class Reporting(msgspec.Struct, frozen=True):
    """How gateways report to each other.

    Above ``mesh_limit`` gateways reports and views of the store go through relays.
    It has to be the same at all of them.
    """

    mesh_limit: int = MESH_LIMIT


class Processor(msgspec.Struct, frozen=True):
    """What this host may use: a part of a core, and how many there are."""

    share: float = 1.0
    cores: float = 1.0

    @property
    def capacity(self):
        """Return the processor in cores."""
        return self.share * self.cores


class Memory(msgspec.Struct, frozen=True):
    """What this process may use, in megabytes."""

    limit_mb: float = 256.0


class Descriptors(msgspec.Struct, frozen=True):
    """How many descriptors this process may have open."""

    limit: int = 4096

    @property
    def max_clients(self):
        """Return how many connections of clients may be open."""
        return int((self.limit - _OTHER_DESCRIPTOR_COUNT) * _CLIENTS_RATIO)


class Streams(msgspec.Struct, frozen=True):
    """How streams are passed on.

    ``max_delay_ms`` is the longest that an event may be held on its way, in
    milliseconds; events that follow each other closely go out together.
    """

    max_delay_ms: float = 100.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway; ``regions`` names the region of each domain."""

    host: str
    domain: str
    listen: Listen
    store: Store
    seeds: list[str] = []
    regions: dict[str, str] = {}
    retries: Retries = Retries()
    stop: Stop = Stop()
    sharing: Sharing = Sharing()
    descriptors: Descriptors = Descriptors()
    streams: Streams = Streams()
    upstreams: Upstreams = Upstreams()
    slow_start: SlowStart = SlowStart()
    reporting: Reporting = Reporting()
    processor: Processor = Processor()
    memory: Memory = Memory()

    @property
    def max_inflight(self):
        """Return how many requests may be under way."""
        by_memory = (self.memory.limit_mb - _BASE_MEMORY_MB) / _REQUEST_MEMORY_MB
        return int(min(_MAX_INFLIGHT_COUNT, max(_MIN_INFLIGHT_COUNT, by_memory)))


class SettingsFile:
    """A file that holds a gateway's settings, and may change at any time."""

    def __init__(self, path):
        self._path = Path(path)
        self._file_version = None

    def load(self):
        """Return the `GatewaySettings` in the file; raises `SettingsError`."""
        # Before reading: a change meanwhile is then seen as one.
        self._file_version = self._get_file_version()
        return load_settings(self._path)

    def has_changed(self):
        """Return whether the file is another than when it was last read."""
        return self._get_file_version() != self._file_version

    def _get_file_version(self):
        try:
            stat = self._path.stat()
        except OSError:
            # It may be on its way to its place; reading it will tell.
            return None
        return (stat.st_ino, stat.st_mtime_ns, stat.st_size)


def load_settings(path):
    """Return the `GatewaySettings` in a file; raises `SettingsError`."""
    try:
        data = Path(path).read_bytes()
    except OSError as exc:
        raise SettingsError(path, [str(exc)]) from exc
    return parse_settings(data, path)


def parse_settings(data, path="settings"):
    """Return the `GatewaySettings` in bytes; raises `SettingsError`."""
    try:
        return msgspec.json.decode(data, type=GatewaySettings)
    except msgspec.ValidationError as exc:
        raise SettingsError(path, [str(exc)]) from exc
    except msgspec.DecodeError:
        return _parse_with_comments(data, path)


def _parse_with_comments(data, path):
    # Imported only here: a filled template has no comments, and starts faster.
    import json5

    try:
        value = json5.loads(data.decode())
        return msgspec.convert(value, GatewaySettings)
    except (ValueError, msgspec.ValidationError) as exc:
        raise SettingsError(path, [str(exc)]) from exc
