"""Settings of a gateway, from JSON with comments; unknown fields are ignored."""

from pathlib import Path

import msgspec
from valeweir.exceptions import SettingsError

from .fleet.members import MESH_LIMIT

# Memory of an idle gateway, and of each active request.
_BASE_MEMORY_MB = 80.0
_REQUEST_MEMORY_MB = 0.1
# Descriptors of files, listening sockets and connections to the store, as counted by
# the platform. The rest is divided between client connections and active requests, each
# of which takes one descriptor in addition to that of its client connection.
_OTHER_DESCRIPTOR_COUNT = 200
_CLIENTS_RATIO = 0.65
_MIN_INFLIGHT_COUNT = 64
# An active request takes two descriptors, and the smallest hosts have 4,000.
_MAX_INFLIGHT_COUNT = 1_200


class Listen(msgspec.Struct, frozen=True):
    """Addresses, each ``IP:PORT``.

    ``fleet`` is the HTTP address at which other gateways fetch the view, and
    ``reports`` receives their datagrams. Both ports are the same fleet-wide.
    """

    clients: str
    ready: str
    fleet: str
    reports: str
    metrics: str = ""


class Store(msgspec.Struct, frozen=True):
    """The platform's store; times are in seconds unless their name has a unit.

    ``poll`` is the time that a read waits for a record. ``quarantine_poll`` is that of
    quarantines; it is longer because each call has a cost and gateways report
    quarantines to each other first. ``change_within_ms`` is the time in milliseconds
    within which a configuration acknowledged by the store must be in force.
    """

    address: str
    poll: float = 5.0
    timeout: float = 2.0
    quarantine_poll: float = 25.0
    change_within_ms: float = 2000.0


class Retries(msgspec.Struct, frozen=True):
    """The fleet's retry budget, see `retries.RetryBudget`."""

    ratio: float = 0.1
    slack: float = 10.0
    window: float = 10.0


class Stop(msgspec.Struct, frozen=True):
    """Times of a planned stop, in seconds.

    The process ends within ``grace``. It accepts all requests for ``balancer_wait``,
    until the balancer sends no more connections.
    """

    grace: float = 10.0
    balancer_wait: float = 2.6


class Sharing(msgspec.Struct, frozen=True):
    """Sharing of capacity; ``window`` is in seconds."""

    window: float = 4.0


class Returns(msgspec.Struct, frozen=True):
    """Times of return of model requests refused because of load.

    If ``enabled``, they are derived from the fleet's load, see `return_times`, else
    they are fixed.
    """

    enabled: bool = False


class Upstreams(msgspec.Struct, frozen=True):
    """Rules on upstreams.

    ``leave_within_ms`` is the time in milliseconds after which a leaving
    upstream must get no new requests.
    """

    leave_within_ms: float = 2000.0


class SlowStart(msgspec.Struct, frozen=True):
    """Limit on the requests per second to one warming upstream.

    It is ``factor`` times the rate that the upstream's service declares, plus
    ``slack``.
    """

    factor: float = 1.0
    slack: float = 0.0


class Reporting(msgspec.Struct, frozen=True):
    """Reports between gateways.

    With more than ``mesh_limit`` gateways, reports and views of the store go through
    relays. All gateways must have the same limit.
    """

    mesh_limit: int = MESH_LIMIT


class Processor(msgspec.Struct, frozen=True):
    """Processor limit of this host: the share of each core, and the number of cores."""

    share: float = 1.0
    cores: float = 1.0

    @property
    def capacity(self):
        """Return the processor limit in cores."""
        return self.share * self.cores


class Memory(msgspec.Struct, frozen=True):
    """Memory limit of this process in megabytes."""

    limit_mb: float = 256.0


class Descriptors(msgspec.Struct, frozen=True):
    """Limit on the open file descriptors of this process."""

    limit: int = 4096

    @property
    def max_clients(self):
        """Return the maximum number of open client connections."""
        return int((self.limit - _OTHER_DESCRIPTOR_COUNT) * _CLIENTS_RATIO)


class Streams(msgspec.Struct, frozen=True):
    """Forwarding of streams.

    ``max_delay_ms`` is the maximum delay of an event in milliseconds; events in quick
    succession are sent together.
    """

    max_delay_ms: float = 100.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway; ``regions`` has the region of each failure domain."""

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
    returns: Returns = Returns()

    @property
    def max_inflight(self):
        """Return the maximum number of active requests."""
        by_memory = (self.memory.limit_mb - _BASE_MEMORY_MB) / _REQUEST_MEMORY_MB
        return int(min(_MAX_INFLIGHT_COUNT, max(_MIN_INFLIGHT_COUNT, by_memory)))


class SettingsFile:
    """A file with a gateway's settings, which may change at any time."""

    def __init__(self, path):
        self._path = Path(path)
        self._file_version = None

    def load(self):
        """Return the `GatewaySettings` in the file; raises `SettingsError`."""
        # Read before the content, so that a change during the read is detected.
        self._file_version = self._get_file_version()
        return load_settings(self._path)

    def has_changed(self):
        """Return whether the file has changed since it was last read."""
        return self._get_file_version() != self._file_version

    def _get_file_version(self):
        try:
            stat = self._path.stat()
        except OSError:
            # The file may be in the middle of being replaced; reading it raises errors.
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
    # Imported only when needed, as a filled template has no comments and the gateway
    # starts faster without the import.
    import json5

    try:
        value = json5.loads(data.decode())
        return msgspec.convert(value, GatewaySettings)
    except (ValueError, msgspec.ValidationError) as exc:
        raise SettingsError(path, [str(exc)]) from exc
