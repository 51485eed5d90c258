"""Learning what engines hold in their caches when this gateway starts.

From then on gateways tell each other what they have engines read. A list holds
an engine's work up, and every gateway would ask for one of every engine at each of its
starts. So behind relays only the first gateway of each failure domain asks engines,
and the others ask that gateway.
"""

import queue
import threading

import msgspec
import urllib3
from valeweir.exceptions import PlatformUnavailable

from ..adapters import ListRefused
from ..digests import get_digest
from ..upstreams.upstream_signals import add_backoff, parse_retry_after

CACHES_PATH = "/fleet/caches"
_RETRY_INTERVAL_S = 0.5
_MAX_ENGINE_TRIES = 3
# The first gateway of a domain may have started at the same moment.
_MAX_PEER_TRIES = 8
_PEER_TIMEOUT_S = 1.0

_decoder = msgspec.msgpack.Decoder(dict[int, list[int]])


def choose_peer(members, now):
    """Return the `Member` to ask for what engines hold, or None to ask engines."""
    return None if members.is_mesh else members.find_senior(now)


def create_caches_handler(state):
    """Return the handler that gives peers the prompt parts that engines hold."""

    def handle(request, reply):
        if request.method != "GET":
            reply.send(404, [], b"")
            return
        data = msgspec.msgpack.encode(state.loads.get_listed(state.clock()))
        reply.send(200, [("Content-Type", "application/msgpack")], data)

    return handle


class CacheScout:
    """Finds out for every new engine which prompt parts it holds.

    Parameters
    ----------
    list_parts : callable
        Takes an address and returns the ids of the parts held there; raises
        `PlatformUnavailable`.
    fetch : callable
        Takes a peer's host and returns the body of its answer, or None.
    """

    def __init__(self, state, list_parts, fetch):
        self._state = state
        self._list_parts = list_parts
        self._fetch = fetch
        self._queue = queue.SimpleQueue()
        self._seen_ids = set()

    def start(self, stopped):
        """Ask in a thread of its own."""
        threading.Thread(
            target=self._run, args=(stopped,), name="caches", daemon=True
        ).start()

    def find_new(self):
        """Queue engines that were not asked yet."""
        catalog = self._state.catalog
        if catalog is None:
            return
        instance_ids = set(self._state.directory.by_id)
        self._seen_ids &= instance_ids
        for instance_id in instance_ids - self._seen_ids:
            instance = self._state.directory.by_id.get(instance_id)
            service = catalog.services.get(instance.service) if instance else None
            has_cache = service is not None and service.engine is not None
            if has_cache and self._state.directory.is_ready(instance_id):
                self._seen_ids.add(instance_id)
                self._queue_unless_warming(instance)

    def _queue_unless_warming(self, instance):
        """Take a warming engine's cache as empty; ask the others for theirs.

        One that has just started has read nothing, and calls of every gateway at
        once are what it bears least.
        """
        state = self._state
        now = state.clock()
        if state.slow_start.is_warming(instance.id, now):
            state.loads.record_listed(instance.id, [], now)
        else:
            self._queue.put(instance)

    def ask_peer(self, peer, instances):
        """Take in what a peer knows of some engines; return those it does not know."""
        data = self._fetch(peer.address.rpartition(":")[0])
        try:
            listed = _decoder.decode(data) if data is not None else {}
        except msgspec.MsgspecError as exc:
            self._state.log.note(
                "caches not taken", failed=True, peer=peer.host, why=str(exc)
            )
            listed = {}
        now = self._state.clock()
        unknown = []
        for instance in instances:
            parts = listed.get(get_digest(instance.id))
            if parts is None:
                unknown.append(instance)
            else:
                self._state.loads.record_listed(instance.id, parts, now)
        self._state.log.note(
            "caches from peer",
            failed=data is None,
            peer=peer.host,
            taken=len(instances) - len(unknown),
            unknown=len(unknown),
        )
        return unknown

    def ask(self, instance):
        """Take in what one engine holds; return whether that is settled."""
        if self._state.directory.is_leaving(instance.id):
            # Nothing will be sent there, and a list is a request too.
            return True
        if self._state.backoffs.is_active(instance.id, self._state.clock()):
            return False
        try:
            parts = self._list_parts(instance.address)
        except ListRefused as exc:
            self._on_list_refused(instance, exc)
            return False
        except PlatformUnavailable as exc:
            self._state.log.note(
                "cache not listed", failed=True, upstream=instance.id, why=str(exc)
            )
            return False
        digests = [get_digest(part) for part in parts]
        self._state.loads.record_listed(instance.id, digests, self._state.clock())
        self._state.log.note("cache listed", upstream=instance.id, parts=len(parts))
        return True

    def _on_list_refused(self, instance, exc):
        seconds = parse_retry_after(exc.retry_after or "")
        self._state.log.note(
            "cache not listed", failed=True, upstream=instance.id, why=str(exc)
        )
        if seconds:
            add_backoff(self._state, instance.id, seconds, status=exc.status)

    def discover_all(self, instances, wait):
        """Learn what some engines hold, from a peer or from them.

        Parameters
        ----------
        wait : callable
            Waits some seconds; returns whether the gateway stops.
        """
        for _ in range(_MAX_PEER_TRIES):
            peer = choose_peer(self._state.members, self._state.clock())
            if peer is None:
                break
            instances = self.ask_peer(peer, instances)
            if not instances or wait(_RETRY_INTERVAL_S):
                return
        for instance in instances:
            for _ in range(_MAX_ENGINE_TRIES):
                if self.ask(instance) or wait(_RETRY_INTERVAL_S):
                    break

    def _run(self, stopped):
        while not stopped.is_set():
            instances = self._take_queued()
            if instances:
                self.discover_all(instances, stopped.wait)

    def _take_queued(self):
        """Return the engines that wait to be asked, once there are some."""
        try:
            instances = [self._queue.get(timeout=_RETRY_INTERVAL_S)]
        except queue.Empty:
            return []
        while not self._queue.empty():
            instances.append(self._queue.get())
        return instances


def create_fetch(address):
    """Return a function that asks a host for its caches, on the port of ``address``."""
    port = address.rpartition(":")[2]
    pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def fetch(host):
        pool.clear()
        url = f"http://{host}:{port}{CACHES_PATH}"
        try:
            resp = pool.request("GET", url, timeout=_PEER_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            # The caller logs that the peer gave nothing.
            return None
        return resp.data if resp.status == 200 else None

    return fetch
