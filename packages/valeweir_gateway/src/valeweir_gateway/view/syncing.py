"""Taking a newer view from a peer that reads the store.

In a large fleet only some gateways read the store, and the others take what
changed from their relay. So does a gateway that the store turns away, or that
starts while the store is away: reports tell whose view is newer.
"""

import operator
import threading

import msgspec
import urllib3

from ..view_source import get_version
from .topics import Batch, Entry, Listing

VIEW_PATH = "/fleet/view"
# At most; a report of a newer view is looked at as it comes.
_CHECK_INTERVAL_S = 0.15
_STORE_ANSWER_WAIT_S = 0.25
_TIMEOUT_S = 0.5
_MAX_BEHIND_S = 0.6
# Below the offset of a topic that is empty.
_NEVER_READ_OFFSET = -1


class TopicView(msgspec.Struct, array_like=True, frozen=True):
    """Records of one topic; ``is_whole`` where it is a listing, no change."""

    entries: list[tuple[str, bytes | None, int]]
    end: int
    is_whole: bool


# No change of a topic.
NO_CHANGE = TopicView([], 0, False)


class View(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway has read from the store, or what changed of it.

    ``regained_age`` is how long ago the store came back after it was away, in
    seconds, negative for never: records that go soon after may be written again.
    ``age`` is how long ago the view was whole at the latest, in seconds, negative where
    that is not known.
    """

    catalog: TopicView
    instances: TopicView
    regained_age: float = -1.0
    age: float = -1.0
    quarantine: TopicView = NO_CHANGE


_decoder = msgspec.msgpack.Decoder(View)


def make_topic_view(follower, offset):
    """Return the `TopicView` of what changed from ``offset`` on, 0 for all."""
    batch = follower.get_batch(offset) if offset else None
    if batch is None:
        listing = follower.get_listing()
        return TopicView([tuple(e) for e in listing.entries], listing.end, True)
    return TopicView([tuple(entry) for entry in batch.entries], batch.end, False)


def encode_view(catalog, instances, regained_age=-1.0, age=-1.0, quarantine=NO_CHANGE):
    """Return the bytes of a view made of `TopicView`."""
    view = View(catalog, instances, regained_age, age, quarantine)
    return msgspec.msgpack.encode(view)


def decode_view(data):
    """Return the `View` in some bytes, or None."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def merge_topic_view(follower, view, source="peer"):
    """Let a follower take in a `TopicView` that a peer, ``source``, has given."""
    entries = [Entry(*row) for row in view.entries]
    if view.is_whole:
        follower.merge_listing(Listing(entries, view.end), source)
    else:
        follower.merge_batch(Batch(entries, view.end), source)


class ViewSync:
    """Asks peers for what changed while their view is newer than ours.

    Parameters
    ----------
    followers : following.Followers
    port : int
        Port of the fleet's HTTP interface, the same at every gateway.
    duty : store_readers.StoreDuty
        Told when peers do not give their view in time.
    refresher : refreshing.Refresher
    """

    def __init__(self, state, followers, port, duty, refresher):
        self._state = state
        self._catalog = followers.catalog
        self._instances = followers.instances
        self._quarantine = followers.quarantine
        self._port = port
        self._duty = duty
        self._refresher = refresher
        self._behind_since = None
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def start(self, stopped):
        """Check in a thread of its own."""
        threading.Thread(
            target=self._run, args=(stopped,), name="sync", daemon=True
        ).start()

    def find_newer_peer(self, now):
        """Return the live peer with the newest view if it is newer, or None."""
        own_versions = (get_version(self._state), *self._get_own_offsets())
        best = None
        for peer in self._state.members.get_live(now):
            peer_versions = (peer.report.catalog_version, *peer.report.view_offsets)
            is_newer = any(map(operator.gt, peer_versions, own_versions))
            if is_newer and (best is None or peer_versions > best[0]):
                best = (peer_versions, peer)
        return best[1] if best else None

    def _get_own_offsets(self):
        state = self._state
        quarantine = state.quarantine_offset
        if state.catalog_known and state.directory_known and not state.quarantine_known:
            # Who stopped reading before it had listed an empty topic would wait for
            # ever for a peer that looks newer, and never be ready.
            quarantine = _NEVER_READ_OFFSET
        return (state.catalog_offset, state.directory_offset, quarantine)

    def fetch(self, peer):
        """Take the peer's view in; return whether it could be had."""
        host = peer.address.rpartition(":")[0]
        url = f"http://{host}:{self._port}{VIEW_PATH}"
        start_offsets = {
            "catalog": self._get_catalog_start_offset(peer.report),
            "instances": self._instances.end,
            "quarantine": self._quarantine.end,
        }
        requested_at = self._state.clock()
        # Always a new connection: a kept one may have fallen silent meanwhile, and to
        # find that out takes longer than to open another.
        self._pool.clear()
        try:
            resp = self._pool.request(
                "GET", url, fields=start_offsets, timeout=_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return False
        view = decode_view(resp.data) if resp.status == 200 else None
        if view is None:
            return False
        self.merge_view(view, peer.host, requested_at)
        return True

    def _get_catalog_start_offset(self, report):
        """Return from which offset on to ask for configurations, 0 for all.

        A newer one that stands before our own end is in no batch of what came since.
        """
        may_precede_end = report.catalog_version > get_version(self._state)
        return 0 if may_precede_end else self._catalog.end

    def merge_view(self, view, source, requested_at):
        """Take in the `View` of the peer ``source`` that was asked for at a time."""
        if view.regained_age >= 0.0:
            # Ages count from when the peer was asked, as it spoke after that. Counted
            # from their arrival, the return of the store moved on with each view that
            # gateways exchanged, and with it the time for which records that go are
            # believed to come back.
            self._state.lapses.mark_store_recovered(requested_at - view.regained_age)
        merge_topic_view(self._catalog, view.catalog, source)
        merge_topic_view(self._instances, view.instances, source)
        merge_topic_view(self._quarantine, view.quarantine, source)
        if view.age >= 0.0:
            self._state.freshness.note_peer(requested_at - view.age)

    def _run(self, stopped):
        while not stopped.is_set():
            self._state.newer_view.wait(_CHECK_INTERVAL_S)
            self._state.newer_view.clear()
            merged = self._run_guarded(self.catch_up)
            # After what peers know, which costs no call of the store.
            self._run_guarded(self._refresher.check)
            self._duty.reads_store()
            if merged is False:
                stopped.wait(_STORE_ANSWER_WAIT_S)

    def _run_guarded(self, action):
        """Do something now; what goes wrong must not end this thread."""
        try:
            return action(self._state.clock())
        except Exception as exc:
            self._state.log.note("view not taken", failed=True, why=repr(exc))
            return False

    def catch_up(self, now):
        """Take a newer view where there is one; return whether it could be had.

        None where nothing was tried.
        """
        peer = self.find_newer_peer(now)
        if peer is None:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        behind = now - self._behind_since
        if behind > _MAX_BEHIND_S:
            self._duty.read_store_temporarily(now)
        # The store's own answer is usually a moment away.
        delay = _STORE_ANSWER_WAIT_S if self._duty.reads_store() else 0.0
        if behind < delay:
            return None
        previous_ends = self._get_end_offsets()
        merged = self.fetch(peer)
        self._state.log.note(
            "view from peer",
            failed=not merged,
            peer=peer.host,
            taken=merged,
            behind_s=round(behind, 3),
            offsets_before=previous_ends,
            offsets=self._get_end_offsets(),
            peer_offsets=peer.report.view_offsets,
            report_age_s=round(now - peer.heard, 3),
        )
        return merged

    def _get_end_offsets(self):
        return (self._catalog.end, self._instances.end, self._quarantine.end)
