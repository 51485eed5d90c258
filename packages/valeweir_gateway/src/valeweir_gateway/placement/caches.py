"""Discovery of the prompt parts in engine caches when this gateway starts.

After that, gateways report to each other which parts their requests make engines read.
Listing its cache delays the other work of an engine, and every gateway would list every
engine at each start. In a fleet with relays, only the first gateway of each failure
domain therefore lists engines, and the others request the lists from that gateway.
"""

import queue
import threading

import msgspec
import urllib3
from valeweir.exceptions import PlatformUnavailable

from ..adapters import CacheListRefused
from ..digests import get_digest
from ..transport.bounded_pools import MAX_PEER_RESPONSE_BYTES, create_pool_manager
from ..upstreams.upstream_signals import add_backoff, parse_retry_after

CACHES_PATH = "/fleet/caches"
_RETRY_INTERVAL_S = 0.5
_MAX_ENGINE_TRIES = 3
# More attempts than at an engine, since the first gateway of the domain may have
# started at the same time and may still be listing engines.
_MAX_PEER_TRIES = 8
_PEER_TIMEOUT_S = 1.0

_decoder = msgspec.msgpack.Decoder(dict[int, list[int]])


def choose_peer(members, now):
    """Return the `Member` to request cache lists from, or None to list engines."""
    return None if members.is_mesh else members.find_higher_ranked(now)


def create_caches_handler(state):
    """Return the handler that serves the prompt parts in engine caches to peers."""

    def handle(request, reply):
        if request.method != "GET":
            reply.send(404, [], b"")
            return
        data = msgspec.msgpack.encode(state.loads.get_listed(state.clock()))
        reply.send(200, [("Content-Type", "application/msgpack")], data)

    return handle


class CacheDiscovery:
    """Discovers which prompt parts each new engine has cached.

    Parameters
    ----------
    list_parts : callable
        Takes the address of an engine and returns the ids of its cached parts; raises
        `PlatformUnavailable`.
    fetch : callable
        Takes the host part of a peer's address and returns the body of its response,
        or None.
    """

    def __init__(self, state, list_parts, fetch):
        self._state = state
        self._list_parts = list_parts
        self._fetch = fetch
        self._queue = queue.SimpleQueue()
        self._seen_ids = set()

    def start(self, stopped):
        """Start the thread that lists queued engines."""
        threading.Thread(
            target=self._run, args=(stopped,), name="caches", daemon=True
        ).start()

    def queue_new_engines(self):
        """Queue ready engines that were not queued before."""
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
        """Record the cache of a warming engine as empty; queue other engines.

        An engine that has just started has read nothing, and concurrent calls of all
        gateways would overload it.
        """
        state = self._state
        now = state.clock()
        if state.slow_start.is_warming(instance.id, now):
            state.loads.record_listed(instance.id, [], now)
        else:
            self._queue.put(instance)

    def list_from_peer(self, peer, instances):
        """Record the lists that a peer has; return the engines that it has none of."""
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

    def list_engine(self, instance):
        """List the cache of an engine; return False if it has to be retried."""
        if self._state.directory.is_leaving(instance.id):
            # The engine gets no more requests, and a list is a request too.
            return True
        if self._state.backoffs.is_active(instance.id, self._state.clock()):
            return False
        try:
            parts = self._list_parts(instance.address)
        except CacheListRefused as exc:
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
        """Record which parts the engines have cached, from a peer or by listing them.

        Parameters
        ----------
        wait : callable
            Waits for the given seconds; returns whether the gateway is stopping.
        """
        for _ in range(_MAX_PEER_TRIES):
            peer = choose_peer(self._state.members, self._state.clock())
            if peer is None:
                break
            instances = self.list_from_peer(peer, instances)
            if not instances or wait(_RETRY_INTERVAL_S):
                return
        for instance in instances:
            for _ in range(_MAX_ENGINE_TRIES):
                if self.list_engine(instance) or wait(_RETRY_INTERVAL_S):
                    break

    def _run(self, stopped):
        while not stopped.is_set():
            instances = self._take_queued()
            if instances:
                self.discover_all(instances, stopped.wait)

    def _take_queued(self):
        """Return all queued engines, or an empty list after a timeout."""
        try:
            instances = [self._queue.get(timeout=_RETRY_INTERVAL_S)]
        except queue.Empty:
            return []
        while not self._queue.empty():
            instances.append(self._queue.get())
        return instances


def create_cache_fetcher(address):
    """Return a function that fetches cache lists from a host.

    It uses the port of ``address``.
    """
    port = address.rpartition(":")[2]
    pool = create_pool_manager(MAX_PEER_RESPONSE_BYTES, num_pools=1, maxsize=1)

    def fetch(host):
        pool.clear()
        url = f"http://{host}:{port}{CACHES_PATH}"
        try:
            resp = pool.request("GET", url, timeout=_PEER_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            # The caller logs the failure.
            return None
        return resp.data if resp.status == 200 else None

    return fetch
