"""Taking a newer view from a peer where the store cannot be reached.

A gateway that starts while the store is away, or that the store turns away,
sees in its peers' reports that their view is newer and asks one for it.
"""

import threading
import time

import msgspec
import urllib3

from .stores import Entry, Listing

VIEW_PATH = "/fleet/view"
_CHECK = 0.1
_PATIENCE = 0.25
_TIMEOUT = 1.0


class View(msgspec.Struct, array_like=True, frozen=True):
    """Everything a gateway has read from the store."""

    catalog: list[tuple[str, bytes, int]]
    catalog_end: int
    instances: list[tuple[str, bytes, int]]
    instances_end: int


_decoder = msgspec.msgpack.Decoder(View)


def encode_view(catalog, instances):
    """Return the bytes of a view from two `Listing`."""
    view = View(
        [tuple(entry) for entry in catalog.entries],
        catalog.end,
        [tuple(entry) for entry in instances.entries],
        instances.end,
    )
    return msgspec.msgpack.encode(view)


def decode_view(data):
    """Return the `Listing` of the catalog and of the instances, or None."""
    try:
        view = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return (
        Listing([Entry(*row) for row in view.catalog], view.catalog_end),
        Listing([Entry(*row) for row in view.instances], view.instances_end),
    )


class ViewSync:
    """Asks peers for their view while theirs is newer than ours.

    Parameters
    ----------
    catalog, instances : stores.TopicFollower
    port : int
        Port of the fleet's HTTP interface, the same at every gateway.
    """

    def __init__(self, state, catalog, instances, port):
        self._state = state
        self._catalog = catalog
        self._instances = instances
        self._port = port
        self._behind_since = None
        self._pool = urllib3.PoolManager(num_pools=8, maxsize=1, retries=False)

    def start(self, stopped):
        """Check in a thread of its own."""
        threading.Thread(
            target=self._run, args=(stopped,), name="sync", daemon=True
        ).start()

    def find_newer(self, now):
        """Return the live peer with the newest view if it is newer, or None."""
        state = self._state
        own = (state.catalog.version if state.catalog else 0, state.directory_offset)
        best = None
        for peer in state.members.get_live(now):
            theirs = (peer.report.catalog_version, peer.report.directory_offset)
            newer = theirs[0] > own[0] or theirs[1] > own[1]
            if newer and (best is None or theirs > best[0]):
                best = (theirs, peer)
        return best[1] if best else None

    def fetch(self, peer):
        """Take the peer's view in; return whether it could be had."""
        host = peer.address.rpartition(":")[0]
        url = f"http://{host}:{self._port}{VIEW_PATH}"
        try:
            resp = self._pool.request("GET", url, timeout=_TIMEOUT)
        except urllib3.exceptions.HTTPError:
            return False
        listings = decode_view(resp.data) if resp.status == 200 else None
        if listings is None:
            return False
        self._catalog.adopt(listings[0])
        self._instances.adopt(listings[1])
        return True

    def _run(self, stopped):
        while not stopped.wait(_CHECK):
            now = time.monotonic()
            peer = self.find_newer(now)
            if peer is None:
                self._behind_since = None
                continue
            if self._behind_since is None:
                self._behind_since = now
            # The store's own answer is usually a moment away.
            if now - self._behind_since < _PATIENCE:
                continue
            taken = self.fetch(peer)
            self._state.log.note(
                "view from peer", failed=not taken, peer=peer.report.host, taken=taken
            )
            if not taken:
                stopped.wait(_PATIENCE)
