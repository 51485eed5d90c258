"""Construction, start and stop of one gateway."""

import asyncio
import collections
import threading
import time

from valeweir.timers import get_lease_time

from .fleet.report_exchange import create_fleet
from .forwarding.handler import create_handler
from .forwarding.request_checks import confirm_bad_request
from .loops import create_loop
from .operations import metrics
from .operations.decision_log import DecisionLog
from .operations.memory_use import MemoryMonitor, read_resident_bytes
from .operations.quarantine_api import QUARANTINE_PATH, create_quarantine_handler
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
from .transport.servers import (
    NOT_ACCEPTED_PREFIX,
    create_server,
    create_sync_handler,
)
from .transport.sockets import prepare_socket
from .upstreams import upstream_signals
from .upstreams.version_reader import VersionReader
from .upstreams.version_store import VersionStore
from .view.publisher import Publisher
from .view.refresher import Refresher
from .view.store_read_policy import StoreReadPolicy
from .view.topic_followers import create_followers, create_view_handler
from .view.view_age import ViewAgeMonitor
from .view.view_sync import ViewSync
from .view.views import ViewUpdater
from .view_source import get_client_limits

METRICS_PATH = "/metrics"
_STOP_POLL_S = 0.05
_LAST_REQUESTS_WAIT_S = 0.1
# Longer than a turn of the event loop takes even if the processor is busy.
_LOOP_TIMEOUT_S = 0.5
# Part of the grace period that is left for writing the log and exiting, even if the
# processor is busy.
_GRACE_MARGIN_S = 0.6
_CHECK_INTERVAL_S = 1.0
_CACHE_CHECK_INTERVAL_S = 0.2
_BACKOFF_CHECK_INTERVAL_S = 0.5
_VIEW_AGE_CHECK_S = 0.2
_OPEN_TIMEOUT_S = 10.0
_CLOSE_TIMEOUT_S = 2.0


class Gateway:
    """A running gateway."""

    def __init__(self, state, adapter, clients, ready):
        self.state = state
        self.stopped = threading.Event()
        self.timers = state.timers
        self._store = adapter.store
        self._client_server = clients
        self._ready_server = ready
        listen = state.cfg.listen
        self._fleet = create_fleet(state, listen.reports)
        state.ask_peers_for_origin = self._fleet.ask_for_origin
        read_policy = StoreReadPolicy(state, lambda: self._fleet.plan)
        state.quarantine_store = QuarantineStore(
            state, adapter.store, adapter.quarantine_topic
        )
        state.version_store = VersionStore(state, adapter.store, adapter.version_topic)
        state.version_reader = VersionReader(
            state, adapter.store, adapter.version_topic
        )
        state.on_view_changed = state.version_store.observe
        self._updater = ViewUpdater(state, adapter)
        self._followers = create_followers(
            state,
            adapter,
            read_policy,
            self._updater,
            lambda: self._publisher.check_restored_store(self.stopped),
        )
        state.freshness.has_unapplied_records = self._has_unapplied_records
        self._fleet_server = create_server(
            listen.fleet,
            create_sync_handler(
                _create_fleet_handler(state, self._followers), state.log
            ),
        )
        self._loop = create_loop(state.clock)
        self._view_sync = ViewSync(
            state,
            self._followers,
            int(listen.fleet.rpartition(":")[2]),
            read_policy,
        )
        self._refresher = Refresher(state, self._followers, read_policy)
        self._cache_discovery = CacheDiscovery(
            state, adapter.list_parts, create_cache_fetcher(listen.fleet)
        )
        self._metrics_server = _create_metrics_server(state, self._update_gauges)
        self._domain_prober = DomainProber(state)
        self._view_age_monitor = ViewAgeMonitor(state)
        self._memory_monitor = MemoryMonitor(state, lambda: len(clients))
        self._publisher = Publisher(state, adapter, listen.reports)

    def start(self):
        """Bind every port and start; return when clients can connect."""
        state = self.state
        state.log.start()
        state.log.note("started", settings=state.cfg.listen.clients)
        self._add_seeds()
        for follower in self._followers:
            follower.start(self.stopped)
        self._view_sync.start(self.stopped)
        self._refresher.start(self.stopped)
        self._publisher.start(self.stopped)
        state.quarantine_store.start(self.stopped)
        state.version_store.start(self.stopped)
        self._cache_discovery.start(self.stopped)
        threading.Thread(target=self._run_loop, name="loop", daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._start_servers(), self._loop).result(
            _OPEN_TIMEOUT_S
        )
        self.timers.subscribe(
            "idle", _CHECK_INTERVAL_S, state.connections.close_expired
        )
        self.timers.subscribe(
            "quarantine",
            _CHECK_INTERVAL_S,
            lambda: crash_attribution.release_expired(state),
        )
        self.timers.subscribe(
            "backoffs",
            _BACKOFF_CHECK_INTERVAL_S,
            lambda: upstream_signals.log_ended_backoffs(state),
        )
        self.timers.subscribe(
            "caches", _CACHE_CHECK_INTERVAL_S, self._cache_discovery.queue_new_engines
        )
        self.timers.subscribe(
            "versions", _CHECK_INTERVAL_S, state.version_store.observe
        )
        self.timers.subscribe("domains", PROBE_CHECK_S, self._domain_prober.probe)
        self.timers.subscribe(
            "view-age", _VIEW_AGE_CHECK_S, self._view_age_monitor.check
        )
        self.timers.subscribe("memory", _CHECK_INTERVAL_S, self._memory_monitor.check)
        self.timers.start()

    def stop(self):
        """Stop as planned; return the number of requests that were cut off."""
        state = self.state
        stop = state.cfg.stop
        started = state.clock()
        state.stopping = True
        state.log.note("stopping", inflight=state.inflight)
        end = started + stop.grace - _GRACE_MARGIN_S
        # New connections arrive until the balancer detects that the gateway is not
        # ready.
        self._wait(min(end, started + stop.balancer_wait), lambda: False)
        # From now on only requests that end by this time are accepted; a stream might
        # outlast the grace period.
        state.stop_deadline = end - _GRACE_MARGIN_S
        state.refusing = True
        self._wait(min(end, state.clock() + _LAST_REQUESTS_WAIT_S), lambda: False)
        self._wait(end, self._finish_serving)
        if not state.finished:
            self._run_on_loop(self._refuse_all)
        # The last refusals.
        self._wait(min(end, state.clock() + _LAST_REQUESTS_WAIT_S), self._is_idle)
        cut = state.inflight
        self.stopped.set()
        state.log.note("stopped", cut=cut)
        state.log.stop()
        return cut

    def close(self):
        """Close every port and stop every thread; active requests are cut off."""
        self.stopped.set()
        self.timers.stop()
        if not self._loop.is_running():
            return
        asyncio.run_coroutine_threadsafe(self._close_servers(), self._loop).result(
            _CLOSE_TIMEOUT_S
        )
        self._loop.call_soon_threadsafe(self._loop.stop)

    def reload(self, cfg):
        """Apply the settings that may change while the gateway runs.

        The others, such as listening addresses, take effect at the next start.
        """
        old_cfg, self.state.cfg = self.state.cfg, cfg
        if cfg.store.address != old_cfg.store.address:
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

    async def _start_servers(self):
        """Bind every port, that of the readiness checks last.

        A gateway that reports itself ready must accept connections.
        """
        self._fleet.start(self._loop)
        for server in (
            self._fleet_server,
            self._metrics_server,
            self._client_server,
            self._ready_server,
        ):
            if server is not None:
                await server.start()

    async def _close_servers(self):
        servers = (
            self._ready_server,
            self._client_server,
            self._fleet_server,
            self._metrics_server,
        )
        servers = [server for server in servers if server is not None]
        for server in servers:
            server.close()
        self._fleet.close(self._loop)
        # The event loop stops next and would drop the tasks that still serve requests.
        for server in servers:
            await server.wait_closed()

    def _is_idle(self):
        return self.state.inflight == 0

    def _finish_serving(self):
        """Refuse all further requests if none is active; return whether that is so.

        Runs on the event loop, as a request may arrive between the check and the
        refusal and would be forwarded without time for its response.
        """
        return self._run_on_loop(lambda: self._is_idle() and self._refuse_all())

    def _refuse_all(self):
        self.state.finished = True
        self._client_server.close_idle()
        return True

    def _run_on_loop(self, function):
        """Return what a function returns on the event loop, or None if that is late."""

        async def call():
            return function()

        if not self._loop.is_running():
            return None
        fut = asyncio.run_coroutine_threadsafe(call(), self._loop)
        try:
            return fut.result(_LOOP_TIMEOUT_S)
        except TimeoutError:
            fut.cancel()
            return None

    def _wait(self, deadline, is_done):
        while self.state.clock() < deadline and not is_done():
            time.sleep(_STOP_POLL_S)

    def _has_unapplied_records(self):
        followers = (self._followers.catalog, self._followers.instances)
        return any(follower.unapplied for follower in followers)

    def _update_gauges(self):
        state = self.state
        gauges = state.metrics
        gauges.inflight.set(state.inflight)
        gauges.waiting.set(len(state.intake))
        gauges.wait.set(state.intake.estimate_wait())
        gauges.connections.set(len(self._client_server))
        gauges.catalog_version.set(state.catalog.version if state.catalog else 0)
        gauges.suspects.set(len(state.suspects))
        gauges.quarantined.set(len(state.quarantine))
        gauges.quarantined_parts.set(state.quarantine.count_parts())
        gauges.stream_origins.set(len(state.stream_origins))
        gauges.warming.set(len(state.slow_start))
        gauges.evacuated.set(len(state.evacuations.domains))
        gauges.view_offset.set(state.directory_position.offset)
        age = state.freshness.get_age(state.clock())
        gauges.view_age.set(-1.0 if age is None else age)
        for outcome, count in state.outdated_requests.items():
            gauges.outdated_requests.labels(outcome).set(count)
        for follower in self._followers:
            age = follower.get_age(state.clock())
            gauges.topic_age.labels(follower.topic).set(-1.0 if age is None else age)
        gauges.unapplied.set(sum(follower.unapplied for follower in self._followers))
        gauges.lag.set(state.pressure.lag)
        gauges.live_peers.set(len(state.members.get_live(state.clock())))
        gauges.instances.set(len(state.directory.by_id))
        gauges.ejected_by_peers.set(len(state.peer_failures))
        gauges.backing_off.set(state.backoffs.count_active(state.clock()))
        sources = collections.Counter(state.directory.get_unrecorded_leaving().values())
        for source in upstream_signals.LEAVING_SOURCES:
            gauges.leaving.labels(source).set(sources[source])
        gauges.leaving.labels("record").set(state.directory.count_leaving())
        gauges.report_bytes.set(self._fleet.sent_bytes)
        gauges.share_level.set(state.shares.get_share_level())
        if state.catalog:
            gauges.declared.set(state.catalog.limits.tokens_per_second)
        gauges.resident_bytes.set(read_resident_bytes())
        gauges.buffered_bytes.set(state.write_buffers.total)
        gauges.body_bytes.labels("request").set(state.request_memory.total)
        gauges.body_bytes.labels("response").set(state.read_limits.bodies.total)
        gauges.waiting_body_bytes.set(state.loads.waiting_body_bytes)
        gauges.left_out.set(state.log.left_out)
        gauges.bad_records.set(state.bad_records)
        gauges.bad_keys.set(state.bad_keys)


def create_gateway(cfg, adapter, log=None, clock=get_lease_time):
    """Return a `Gateway` for valid settings; its ports are bound on start."""
    log = log or DecisionLog(identity={"host": cfg.host, "domain": cfg.domain})
    state = GatewayState(cfg, log, adapter.names, clock)

    def record_malformed(code):
        state.metrics.malformed.labels(code).inc()
        if code.startswith(NOT_ACCEPTED_PREFIX):
            log.note("connection not accepted", failed=True, why=code)

    clients = create_server(
        cfg.listen.clients,
        create_handler(state),
        on_rejection=record_malformed,
        on_bad_request=lambda exc: confirm_bad_request(state, exc),
        prepare_socket=prepare_socket,
        write_buffers=state.write_buffers,
        get_limits=lambda: get_client_limits(state),
        request_memory=state.request_memory,
    )
    clients.max_connections = cfg.descriptors.max_clients
    ready = create_server(
        cfg.listen.ready,
        create_sync_handler(
            _create_ready_handler(state, clients, adapter.ready_path), log
        ),
    )
    return Gateway(state, adapter, clients, ready)


def _create_fleet_handler(state, followers):
    """Return the handler of requests from peers and operators."""
    handle_view = create_view_handler(state, followers)
    handle_quarantine = create_quarantine_handler(state)
    handle_caches = create_caches_handler(state)

    def handle(request, reply):
        if request.path.startswith(QUARANTINE_PATH):
            handle_quarantine(request, reply)
        elif request.path == CACHES_PATH:
            handle_caches(request, reply)
        else:
            handle_view(request, reply)

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

    return create_server(address, create_sync_handler(handle, state.log))
