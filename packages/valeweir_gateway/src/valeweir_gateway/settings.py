"""Settings of a gateway, from JSON with comments; unknown fields are ignored."""

from pathlib import Path
from typing import Annotated

import msgspec
from valeweir.exceptions import SettingsError

from .fleet.members import MESH_LIMIT
from .transport.write_buffers import BufferBounds
from .upstreams.exchanges import MAX_RESPONSE_BYTES

# Memory of an idle gateway, and of each active request.
_BASE_MEMORY_MB = 80.0
_REQUEST_MEMORY_MB = 0.1
# Part of the memory not used by active requests that may hold unsent bytes of streams.
# The rest is left for request bodies and complete responses, which vary in size.
_BUFFER_RATIO = 0.5
# Parts of that memory for the bodies of requests, for the incomplete ones of responses
# beside them, and for that of a single response.
_REQUEST_BODIES_RATIO = 0.6
_RESPONSE_BODIES_RATIO = 0.2
_MAX_RESPONSE_RATIO = 1 / 3
# A stream may hold this part of the bytes for all streams, within these limits. The
# lower one is the size of one read from its upstream.
_STREAM_BUFFER_RATIO = 0.01
_MIN_STREAM_BUFFER_BYTES = 64 << 10
_MAX_STREAM_BUFFER_BYTES = 1 << 20
_BYTES_PER_MB = 1_000_000
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
    upstream must get no new requests. ``max_waiting_body_mb`` bounds the megabytes of
    request bodies that this gateway is sending or has sent to one upstream and that
    have no response head yet; a larger body is sent only where no other waits.
    """

    leave_within_ms: float = 2000.0
    max_waiting_body_mb: float = 64.0

    @property
    def max_waiting_body_bytes(self):
        """Return the bound on the waiting request bodies at one upstream in bytes."""
        return int(self.max_waiting_body_mb * _BYTES_PER_MB)


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
    relays. All gateways must have the same limit. ``interval_ms`` is the time in
    milliseconds between the reports of a busy gateway; behind relays and at relays with
    many links it is longer in proportion. All placement rests on loads as old as some
    of these intervals, while shorter ones cost processor time and bytes.
    """

    mesh_limit: int = MESH_LIMIT
    interval_ms: Annotated[float, msgspec.Meta(ge=1, le=100)] = 20.0


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
        return self.compute_max_inflight(0)

    @property
    def max_response_bytes(self):
        """Return the maximum size of the body of one response in bytes."""
        return int(min(MAX_RESPONSE_BYTES, self._free_bytes * _MAX_RESPONSE_RATIO))

    @property
    def request_memory_bytes(self):
        """Return how many bytes the bodies of requests may take."""
        return int(self._free_bytes * _REQUEST_BODIES_RATIO)

    def compute_response_memory(self, request_bytes):
        """Return how many bytes the incomplete bodies of responses may take.

        ``request_bytes`` is the size of the bodies of requests.
        """
        left_bytes = max(0.0, self._free_bytes - request_bytes)
        return int(left_bytes * _RESPONSE_BODIES_RATIO)

    @property
    def _free_bytes(self):
        free_mb = max(0.0, self.memory.limit_mb - _BASE_MEMORY_MB)
        return free_mb * _BYTES_PER_MB

    def compute_max_inflight(self, buffered_bytes):
        """Return the maximum number of active requests beside buffered bytes."""
        free_mb = self.memory.limit_mb - _BASE_MEMORY_MB
        by_memory = (free_mb - buffered_bytes / _BYTES_PER_MB) / _REQUEST_MEMORY_MB
        return int(min(_MAX_INFLIGHT_COUNT, max(_MIN_INFLIGHT_COUNT, by_memory)))

    def compute_buffer_bounds(self, inflight, body_bytes=0):
        """Return the `BufferBounds` for unsent bytes.

        ``inflight`` is the number of active requests, ``body_bytes`` the size of their
        buffered bodies and of those of their responses.
        """
        request_bytes = inflight * _REQUEST_MEMORY_MB * _BYTES_PER_MB
        left_bytes = max(0.0, self._free_bytes - request_bytes - body_bytes)
        part = self._free_bytes * _BUFFER_RATIO * _STREAM_BUFFER_RATIO
        stream_bytes = min(
            _MAX_STREAM_BUFFER_BYTES, max(_MIN_STREAM_BUFFER_BYTES, part)
        )
        return BufferBounds(int(stream_bytes), int(left_bytes * _BUFFER_RATIO))


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
