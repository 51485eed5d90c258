"""One gateway: its parts made, started and stopped."""

import asyncio
import collections
import threading
import time

from valeweir.timers import get_lease_time

from .fleet.exchange import create_fleet
from .forwarding.handler import create_handler
from .loops import create_loop
from .operations import metrics
from .operations.decision_log import DecisionLog
from .operations.operating import QUARANTINE_PATH, create_quarantine_handler
from .placement.caches import (
    CACHES_PATH,
    CacheDiscovery,
    create_cache_fetcher,
    create_caches_handler,
)
from .placement.domains import PROBE_CHECK_S, DomainProber
from .quarantine import crash_attribution
from .quarantine.quarantine_store import QuarantineStore
from .states import GatewayState
from .transport.servers import create_plain_handler, create_server
from .transport.sockets import prepare_socket
from .upstreams import upstream_signals
from .view.publisher import Publisher
from .view.refresher import Refresher
from .view.store_read_policy import StoreReadPolicy
from .view.topic_followers import create_followers, create_view_handler
from .view.view_sync import ViewSync
from .view.views import ViewUpdater

METRICS_PATH = "/metrics"
_STOP_POLL = 0.05
_LAST_WAIT = 0.1
# Seconds of the grace left for writing the log and ending the process, also where
# the processor is busy.
_GRACE_MARGIN = 0.6
_STALE_CHECK = 1.0
_CACHE_CHECK = 0.2
_BACKOFF_CHECK = 0.5
# Seconds for binding ports, and for closing them.
_OPEN_WAIT = 10.0
_CLOSE_WAIT = 2.0


class Gateway:
    """A running gateway."""

    def __init__(self, state, adapter, clients, ready):
        self.state = state
        self.stopped = threading.Event()
        self.timers = state.timers
        self._store = adapter.store
        self._clients = clients
        self._ready = ready
        listen = state.cfg.listen
        self._fleet = create_fleet(state, listen.reports)
        read_policy = StoreReadPolicy(state, lambda: self._fleet.plan)
        state.quarantine_store = QuarantineStore(
            state, adapter.store, adapter.quarantine_topic
        )
        self._updater = ViewUpdater(state, adapter)
        self._followers = create_followers(state, adapter, read_policy, self._updater)
        state.freshness.is_held = self._is_held
        self._views = create_server(
            listen.fleet,
            create_plain_handler(
                _create_fleet_handler(state, self._followers), state.log
            ),
        )
        self._loop = create_loop(state.clock)
        self._sync = ViewSync(
            state,
            self._followers,
            int(listen.fleet.rpartition(":")[2]),
            read_policy,
            Refresher(state, self._followers, read_policy),
        )
        self._scout = CacheDiscovery(
            state, adapter.list_parts, create_cache_fetcher(listen.fleet)
        )
        self._metrics = _create_metrics_server(state, self._update_gauges)
        self._prober = DomainProber(state)
        self._publisher = Publisher(state, adapter, listen.reports)

    def start(self):
        """Bind every port and start; returns when clients are taken."""
        state = self.state
        state.log.start()
        state.log.note("started", settings=state.cfg.listen.clients)
        self._add_seeds()
        for follower in self._followers:
            follower.start(self.stopped)
        self._sync.start(self.stopped)
        self._publisher.start(self.stopped)
        state.quarantine_store.start(self.stopped)
        self._scout.start(self.stopped)
        threading.Thread(target=self._run_loop, name="loop", daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._open(), self._loop).result(_OPEN_WAIT)
        self.timers.subscribe("idle", _STALE_CHECK, state.connections.drop_stale)
        self.timers.subscribe(
            "quarantine", _STALE_CHECK, lambda: crash_attribution.release_expired(state)
        )
        self.timers.subscribe(
            "backoffs", _BACKOFF_CHECK, lambda: upstream_signals.end_backoffs(state)
        )
        self.timers.subscribe("caches", _CACHE_CHECK, self._scout.queue_new_engines)
        self.timers.subscribe("domains", PROBE_CHECK_S, self._prober.probe)
        self.timers.subscribe("limits", _STALE_CHECK, self._apply_limits)
        self.timers.start()

    def stop(self):
        """Leave as planned; return how many requests were cut."""
        state = self.state
        stop = state.cfg.stop
        started = state.clock()
        state.stopping = True
        state.log.note("stopping", inflight=state.inflight)
        end = started + stop.grace - _GRACE_MARGIN
        # Until the balancer has noticed, new connections still come.
        self._wait(min(end, started + stop.balancer_wait), lambda: False)
        # A stream taken any later might outlast the grace.
        state.stop_end = end - _GRACE_MARGIN
        state.refusing = True
        self._wait(min(end, state.clock() + _LAST_WAIT), lambda: False)
        self._wait(end, lambda: state.inflight == 0)
        cut = state.inflight
        self.stopped.set()
        state.log.note("stopped", cut=cut)
        state.log.stop()
        return cut

    def close(self):
        """Close every port and end every thread; what is in flight is cut."""
        self.stopped.set()
        self.timers.stop()
        if not self._loop.is_running():
            return
        asyncio.run_coroutine_threadsafe(self._shut(), self._loop).result(_CLOSE_WAIT)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def reload(self, cfg):
        """Put settings in force that may change while the gateway runs.

        The rest, as addresses to listen on, wait for the next start.
        """
        before, self.state.cfg = self.state.cfg, cfg
        if cfg.store.address != before.store.address:
            self._store.move(cfg.store.address)
        self._add_seeds()
        retries = self.state.retries
        retries.ratio = cfg.retries.ratio
        retries.slack = cfg.retries.slack
        retries.window = cfg.retries.window
        self.state.log.note("settings reloaded")

    def _add_seeds(self):
        cfg = self.state.cfg
        port = cfg.listen.reports.rpartition(":")[2]
        for seed in cfg.seeds:
            self.state.members.add_address(f"{seed.rpartition(':')[0]}:{port}")

    def _run_loop(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    async def _open(self):
        """Bind every port; the balancer's comes last, as who is ready accepts."""
        self._fleet.start(self._loop)
        for server in (self._views, self._metrics, self._clients, self._ready):
            if server is not None:
                await server.start()

    async def _shut(self):
        for server in (self._ready, self._clients, self._views, self._metrics):
            if server is not None:
                server.close()
        self._fleet.close(self._loop)

    def _wait(self, deadline, is_done):
        while self.state.clock() < deadline and not is_done():
            time.sleep(_STOP_POLL)

    def _is_held(self):
        followers = (self._followers.catalog, self._followers.instances)
        return any(follower.unapplied for follower in followers)

    def _update_gauges(self):
        state = self.state
        gauges = state.metrics
        gauges.inflight.set(state.inflight)
        gauges.waiting.set(len(state.intake))
        gauges.wait.set(state.intake.estimate_wait())
        gauges.connections.set(len(self._clients))
        gauges.catalog_version.set(state.catalog.version if state.catalog else 0)
        gauges.suspects.set(len(state.suspects))
        gauges.quarantined.set(len(state.quarantine))
        gauges.warming.set(len(state.slow_start))
        gauges.evacuated.set(len(state.evacuations.domains))
        gauges.view_offset.set(state.directory_offset)
        age = state.freshness.get_age(state.clock())
        gauges.view_age.set(-1.0 if age is None else age)
        for follower in self._followers:
            age = follower.get_age(state.clock())
            gauges.topic_age.labels(follower.topic).set(-1.0 if age is None else age)
        gauges.unapplied.set(sum(row.unapplied for row in self._followers))
        gauges.lag.set(state.pressure.lag)
        gauges.live_peers.set(len(state.members.get_live(state.clock())))
        gauges.instances.set(len(state.directory.by_id))
        gauges.backing_off.set(state.backoffs.count_active(state.clock()))
        sources = collections.Counter(state.directory.get_unrecorded_leaving().values())
        for source in upstream_signals.SOURCES:
            gauges.leaving.labels(source).set(sources[source])
        gauges.leaving.labels("record").set(state.directory.count_leaving())
        gauges.report_bytes.set(self._fleet.sent_bytes)
        gauges.share_level.set(state.shares.get_share_level())
        if state.catalog:
            gauges.declared.set(state.catalog.limits.tokens_per_second)
        gauges.left_out.set(state.log.left_out)
        gauges.bad_records.set(state.bad_records)
        gauges.bad_keys.set(state.bad_keys)

    def _apply_limits(self):
        catalog = self.state.catalog
        if catalog is None:
            return
        limits = catalog.limits
        self._clients.max_header = limits.header_bytes
        self._clients.max_body = limits.body_bytes
        self._clients.header_timeout = limits.header_timeout
        self._clients.idle_timeout = limits.idle_timeout


def create_gateway(cfg, adapter, log=None, clock=get_lease_time):
    """Return a `Gateway` for checked settings, its ports bound on start."""
    log = log or DecisionLog(identity={"host": cfg.host, "domain": cfg.domain})
    state = GatewayState(cfg, log, adapter.names, clock)

    def note_malformed(code):
        state.metrics.malformed.labels(code).inc()
        log.note("request malformed", failed=True, why=code)

    clients = create_server(
        cfg.listen.clients,
        create_handler(state),
        note_refusal=note_malformed,
        prepare_socket=prepare_socket,
    )
    clients.max_connections = cfg.descriptors.most_clients
    ready = create_server(
        cfg.listen.ready,
        create_plain_handler(
            _create_ready_handler(state, clients, adapter.ready_path), log
        ),
    )
    return Gateway(state, adapter, clients, ready)


def _create_fleet_handler(state, followers):
    """Return the handler for peers and operators."""
    give_view = create_view_handler(state, followers)
    serve_operators = create_quarantine_handler(state)
    give_caches = create_caches_handler(state)

    def handle(request, reply):
        if request.path.startswith(QUARANTINE_PATH):
            serve_operators(request, reply)
        elif request.path == CACHES_PATH:
            give_caches(request, reply)
        else:
            give_view(request, reply)

    return handle


def _create_ready_handler(state, clients, path):
    def handle(request, reply):
        if request.path != path:
            reply.send(404, [], b"")
            return
        ready = state.is_ready() and not clients.is_full
        reply.send(200 if ready else 503, [], b"")

    return handle


def _create_metrics_server(state, update):
    address = state.cfg.listen.metrics
    if not address:
        return None

    def handle(request, reply):
        if request.path != METRICS_PATH:
            reply.send(404, [], b"")
            return
        update()
        data = state.metrics.render()
        reply.send(200, [("Content-Type", metrics.CONTENT_TYPE)], data)

    return create_server(address, create_plain_handler(handle, state.log))
