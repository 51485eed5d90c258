"""Construction, start and stop of a router."""

import threading
import time

from loguru import logger
from valeweir import metrics
from valeweir.exceptions import PlatformUnavailable
from valeweir.servers import create_server, set_tls
from valeweir.timers import TimerService
from valeweir_fleet.links import CurveKeys, Links
from valeweir_platform.adapters import create_log, create_membership
from valeweir_platform.followers import LogFollower
from valeweir_sharing.ownership import choose_owner
from valeweir_upstreams.connections import Connections

from . import control_plane, held_slots, upstream_ownership
from .admin import create_admin_handler
from .request_handler import create_handler
from .router_state import RouterState

_ADMIN_THREAD_COUNT = 64
_STOP_POLL_INTERVAL_S = 0.05
_SNAPSHOT_INTERVAL_RECORDS = 200
_SNAPSHOT_CHECK_INTERVAL_S = 5.0
_BASE36_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"


class Router:
    """A router with its servers, timers and configuration follower."""

    def __init__(
        self, state, caller_server, admin_server, timers, follower, membership
    ):
        self.state = state
        self.caller_server = caller_server
        self.admin_server = admin_server
        self.timers = timers
        self.follower = follower
        self.membership = membership
        self.stopped = threading.Event()

    def start(self):
        """Start all threads and return."""
        cfg = self.state.cfg
        self.state.links.start(self._handle)
        self.admin_server.start_threads()
        self.caller_server.start_threads()
        self.timers.subscribe(
            "digests", self.state.digest_interval.get_interval, self._tick
        )
        self.timers.subscribe(
            "asks", held_slots.MIN_ASK_INTERVAL_S, self._send_delayed_asks
        )
        self.timers.subscribe("members", cfg["platform"]["poll"], self._read_members)
        self.timers.subscribe(
            "snapshots", _SNAPSHOT_CHECK_INTERVAL_S, self._check_snapshot
        )
        self.timers.start()
        threading.Thread(
            target=self.follower.run,
            args=(cfg["platform"]["poll"], self.stopped),
            name="log",
            daemon=True,
        ).start()
        logger.bind(source=self.state.source).info("started")

    def stop(self):
        """Stop gracefully and return the number of requests cut off.

        The router hands over its tables, waits for the load balancers and then for
        running requests, up to the limit in the settings.
        """
        state = self.state
        stop = state.cfg["stop"]
        with state.lock:
            state.leaving = True
            upstream_ownership.update_ownership(state)
            control_plane.send_digests(state)
        logger.info("stopping")
        deadline = time.monotonic() + stop["limit"]
        self._wait(time.monotonic() + stop["balancer_wait"], lambda: False)
        with state.lock:
            state.refusing = True
        self._wait(deadline, lambda: state.inflight == 0)
        cut_count = state.inflight
        self._shut_down()
        logger.bind(cut=cut_count).info("stopped")
        return cut_count

    def abort_stop_waits(self):
        """End the waits of a graceful stop at once."""
        self.stopped.set()

    def _wait(self, deadline, is_done):
        while time.monotonic() < deadline and not is_done():
            if self.stopped.wait(_STOP_POLL_INTERVAL_S):
                return

    def _shut_down(self):
        self.stopped.set()
        self.timers.stop()
        with self.state.lock:
            # The service since the last digest has to count for the accounts.
            control_plane.send_digests(self.state)
        self.caller_server.stop()
        self.admin_server.stop()
        self.state.links.stop()

    def _handle(self, message):
        with self.state.lock:
            control_plane.handle(self.state, message)

    def _tick(self):
        started = time.thread_time()
        with self.state.lock:
            control_plane.tick(self.state)
            self.state.digest_interval.note(
                self.state.links.sent_bytes, self.state.clock()
            )
        metrics.control_seconds.inc(time.thread_time() - started)

    def _send_delayed_asks(self):
        with self.state.lock:
            for pool in list(self.state.pools_with_due_ask):
                owners = held_slots.get_pool_owners(self.state, pool)
                held_slots.send_ask(self.state, pool, owners)

    def _check_snapshot(self):
        """Write a log snapshot if one is due and this router is chosen for it."""
        is_due = (
            self.follower.count_records_since_snapshot() >= _SNAPSHOT_INTERVAL_RECORDS
        )
        state = self.state
        with state.lock:
            state.config_gap = self.follower.gap
            hosts = [state.host, *(p.host for p in state.peers.get_live())]
            is_chosen = choose_owner("snapshot", hosts) == state.host
        if is_due and is_chosen and not self.follower.gap and not state.leaving:
            self.follower.write_snapshot()

    def _read_members(self):
        try:
            hosts = self.membership()
        except PlatformUnavailable:
            return
        with self.state.lock:
            control_plane.set_members(self.state, hosts)


def create_router(cfg):
    """Return a `Router` for validated settings, with its ports bound."""
    state = RouterState(cfg, _make_source(cfg["host"]))
    fleet = cfg["fleet"]
    state.links = Links(fleet["address"], _get_curve_keys(fleet))
    state.peers.set_members(control_plane.get_seeds(state))
    platform = cfg["platform"]
    log = create_log(platform["log"], platform["timeout"])
    follower = LogFollower(
        log,
        state.configuration,
        state.lock,
        on_change=lambda: control_plane.apply_configuration(state),
        on_caught_up=lambda: _mark_config_known(state),
    )
    caller_server = _create_port(
        cfg["callers"], create_handler(state, Connections()), cfg["callers"]["threads"]
    )
    admin_server = _create_port(
        cfg["admin"], create_admin_handler(state, follower.submit), _ADMIN_THREAD_COUNT
    )
    membership = create_membership(platform["membership"], platform["timeout"])
    return Router(
        state, caller_server, admin_server, TimerService(), follower, membership
    )


def _create_port(section, handle, threads):
    server = create_server(
        section["address"],
        handle,
        threads=threads,
        max_body=section.get("max_body", 1 << 20),
        max_header=section.get("max_header", 32 << 10),
        timeout=section.get("header_timeout", 10.0),
        on_rejection=lambda code: metrics.refusals.labels(code).inc(),
    )
    if "certificate" in section:
        set_tls(server, section["certificate"], section["key"])
    return server


def _mark_config_known(state):
    if not state.config_known:
        state.config_known = True
        logger.bind(offset=state.configuration.offset).info("configuration known")


def _get_curve_keys(fleet):
    if "public_key" not in fleet or "secret_key" not in fleet:
        return None
    allowed = fleet.get("allowed_keys") or [fleet["public_key"]]
    return CurveKeys(
        fleet["public_key"].encode(),
        fleet["secret_key"].encode(),
        tuple(key.encode() for key in allowed),
    )


def _make_source(host):
    """Return the name of a new incarnation; its number grows with the start time."""
    number = time.time_ns() // 1_000_000
    digits = ""
    while number:
        number, digit = divmod(number, len(_BASE36_DIGITS))
        digits = _BASE36_DIGITS[digit] + digits
    return f"{host}#{digits}"
