"""State shared by the components of one gateway."""

import asyncio
import collections
import random
import threading

from valeweir.timers import TimerService, get_lease_time

from .admission.client_deadlines import ClientDeadlines
from .admission.intake import IntakeQueue
from .admission.latency_targets import RecentLatencyTargets
from .admission.pressure import (
    OverloadDetector,
    ProcessorPressure,
    get_intake_level,
    get_occupancy_level,
)
from .admission.shares import Shares
from .admission.usage import UsageWindow
from .fleet.freshness import Freshness
from .fleet.members import Member, Members
from .forwarding.retries import RetryBudget
from .forwarding.slow_clients import create_write_buffers
from .operations.metrics import GatewayMetrics
from .placement.backoffs import Backoffs
from .placement.domains import DomainFailures
from .placement.loads import Loads, Reads
from .placement.peer_failures import PeerFailures
from .placement.slow_start import SlowStart, create_gateway_counter
from .process_pauses import PauseDetector
from .quarantine.crashes import Suspects
from .quarantine.part_answers import PartAnswers, PendingAnswers
from .quarantine.records import Quarantine
from .stores import Position
from .transport.body_memory import BodyMemory
from .transport.headers import HeaderNames, get_replaced_headers, get_reserved_headers
from .upstreams.connections import Connections
from .upstreams.exchanges import create_read_limits
from .upstreams.stream_origins import StreamOrigins
from .upstreams.upstream_exits import UpstreamExits
from .upstreams.upstream_probes import create_probe
from .view.directory import Directory
from .view.evacuations import Evacuations
from .view.lapsed_records import LapsedRecords

# The requests that one or two upstreams run at a time, and the parts of those that are
# just beginning, as an upstream that ends leaves one notice for each. Older notices are
# discarded.
_MAX_NOTICE_COUNT = 400


class GatewayState:
    """State of one gateway.

    The catalog is replaced as a whole and never modified, so that a request reads it
    once and uses a single version throughout. Every age, deadline and window uses
    ``clock``, which also counts the time in which the host was suspended, because that
    time passes for clients, upstreams and peers too.
    """

    def __init__(
        self, cfg, log, names=None, clock=get_lease_time, seed=None, sleep=asyncio.sleep
    ):
        names = names or HeaderNames()
        self.cfg = cfg
        self.log = log
        self.metrics = GatewayMetrics()
        self.names = names
        self.clock = clock
        self.sleep = sleep
        self.timers = TimerService(clock)
        self.rng = random.Random(seed)
        self.catalog = None
        # When the current catalog came into force, None before the first one.
        self.catalog_since = None
        self.directory = Directory()
        self.directory_known = False
        self.lapsed_records = LapsedRecords(cfg.upstreams.leave_within_ms / 1000.0)
        self.members_known = False
        self.directory_position = Position(0, 0)
        self.catalog_position = Position(0, 0)
        self.catalog_known = False
        self.evacuations = Evacuations()
        self.bad_records = 0
        self.bad_keys = 0
        self.loads = Loads()
        self.reads = Reads()
        self.peer_failures = PeerFailures(self.loads, self.rng)
        self.intake = IntakeQueue(clock)
        self.latency_targets = RecentLatencyTargets()
        self.client_deadlines = ClientDeadlines()
        self.pressure = ProcessorPressure(log)
        self.overload = OverloadDetector(log)
        self.pause_detector = PauseDetector(clock, log.note)
        self.domains = DomainFailures(cfg.domain)
        self.members = Members(
            Member(cfg.host, cfg.domain, cfg.listen.reports, cfg.processor.capacity),
            cfg.reporting.mesh_limit,
        )
        self.freshness = Freshness()
        # Number of requests decided with an outdated view, by outcome; see `view_age`.
        self.outdated_requests = {"sent": 0, "denied": 0}
        # The last `view_source.ViewUpdate` by topic, for the log.
        self.view_updates = {}
        self.catalog_topic = None
        self.instance_topic = None
        self.reads_store = False
        # This gateway's own record in the members topic, None if it has none.
        self.member_record = None
        # Set when a peer's report shows that its view is newer than this gateway's.
        self.newer_view = threading.Event()
        self.usage = UsageWindow(cfg.sharing.window)
        self.shares = Shares(self.usage, cfg.sharing)
        self.backoffs = Backoffs()
        self.connections = Connections(clock)
        self.upstream_exits = UpstreamExits(
            clock,
            create_probe(names, self.connections.keep, self._get_health_path, clock),
        )
        self.stream_origins = StreamOrigins()
        # Set by `gateway.Gateway`, because they use the store of the adapter.
        self.version_store = None
        self.version_reader = None
        # Called after each update of the configuration or the instances.
        self.on_view_changed = lambda: None
        # Set by `gateway.Gateway`, because it sends reports to peers.
        self.ask_peers_for_origin = None
        self.suspects = Suspects()
        self.part_answers = PartAnswers()
        self.pending_answers = PendingAnswers()
        self.quarantine = Quarantine()
        self.quarantine_position = Position(0, 0)
        self.quarantine_known = False
        # Set by `gateway.Gateway`, because it writes through the store of the adapter.
        self.quarantine_store = None
        # The `crash_attribution.Notice` of this gateway not yet queued for its peers.
        self.notices = collections.deque(maxlen=_MAX_NOTICE_COUNT)
        retries = cfg.retries
        self.retries = RetryBudget(retries.ratio, retries.slack, retries.window)
        self.slow_start = SlowStart(
            self.rng, create_gateway_counter(self), cfg.slow_start
        )
        self.stopping = False
        self.refusing = False
        # Whether a planned stop has ended, after which nothing is forwarded.
        self.finished = False
        self.stop_deadline = 0.0
        self.write_buffers = create_write_buffers(self)
        self.request_memory = BodyMemory(lambda: self.cfg.request_memory_bytes)
        self.read_limits = create_read_limits(
            cfg.max_response_bytes,
            lambda: self.cfg.compute_response_memory(self.request_memory.total),
        )
        self._inflight = 0
        self._lock = threading.Lock()
        self.reserved_headers = get_reserved_headers(names)
        self.replaced_headers = get_replaced_headers(names)

    @property
    def inflight(self):
        """Return the number of requests that are read and not yet answered."""
        return self._inflight

    @property
    def is_view_complete(self):
        """Return whether the view of every topic that requests need is complete."""
        known = self.catalog_known and self.directory_known and self.quarantine_known
        return self.catalog is not None and known

    @property
    def view_positions(self):
        """Return the known `Position` of configuration, instances and quarantines."""
        return (
            self.catalog_position,
            self.directory_position,
            self.quarantine_position,
        )

    @property
    def body_bytes(self):
        """Return the size of the buffered bodies of requests and responses."""
        return self.request_memory.total + self.read_limits.bodies.total

    def get_pressure(self):
        """Return the `pressure.PressureLevel` of this gateway."""
        buffered_bytes = self.write_buffers.total + self.read_limits.bodies.total
        max_inflight = self.cfg.compute_max_inflight(buffered_bytes)
        occupancy = get_occupancy_level(self._inflight, max_inflight)
        return max(self.pressure.level, occupancy)

    def _get_health_path(self, service):
        known = self.catalog.services.get(service) if self.catalog else None
        return known.health_path if known else "/"

    def is_ready(self):
        """Return whether the balancer should send clients to this gateway."""
        if not self.is_view_complete or self.stopping:
            return False
        now = self.clock()
        wait = self.intake.estimate_wait()
        level = get_intake_level(wait, self.latency_targets.get_min_target(now))
        return not self.overload.check(max(level, self.get_pressure()), now)

    def record_store_response(self, topic, as_of):
        """Record that the store's responses on a topic are complete as of a time."""
        self.freshness.record_store_read(topic, as_of)

    def record_view_update(self, topic, update):
        """Record the last `view_source.ViewUpdate` of a topic."""
        self.view_updates[topic] = update

    def enter(self):
        """Count a request as in flight."""
        with self._lock:
            self._inflight += 1

    def leave(self):
        """Count a request as no longer in flight."""
        with self._lock:
            self._inflight -= 1

    def put_catalog(self, catalog):
        """Put a catalog in force; ignore it and return False if it is not newer."""
        with self._lock:
            if self.catalog is not None and catalog.version <= self.catalog.version:
                return False
            self.catalog = catalog
            self.catalog_since = self.clock()
        return True
