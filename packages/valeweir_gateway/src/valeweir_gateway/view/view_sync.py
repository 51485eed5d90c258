"""Synchronization of the view with a peer whose view is newer.

In a large fleet only some gateways read the store, and the others fetch the changes
from their relay. A gateway that the store rejects, or that starts while the store is
unavailable, does the same. Reports contain the version of each peer's view.
"""

import operator
import threading

import msgspec
import urllib3

from ..stores import Position
from ..transport.bounded_pools import MAX_PEER_RESPONSE_BYTES, create_pool_manager
from ..view_source import get_version
from .topics import Batch, Entry, Listing

VIEW_PATH = "/fleet/view"
# Maximum time between two checks; a report of a newer view triggers a check at once.
_CHECK_INTERVAL_S = 0.15
_STORE_ANSWER_WAIT_S = 0.25
_TIMEOUT_S = 0.5
_MAX_BEHIND_S = 0.6
# Precedes the end of an empty topic.
_NEVER_READ = Position(0, -1)
_NOT_KNOWN = Position(0, 0)


class TopicView(msgspec.Struct, array_like=True, frozen=True):
    """Records of one topic; ``is_whole`` is true for a listing, false for changes.

    ``era`` is the era of the store in which the offsets count.
    """

    entries: list[tuple[str, bytes | None, int]]
    end: int
    is_whole: bool
    era: int = 0


# A topic without changes.
NO_CHANGE = TopicView([], 0, False)


class View(msgspec.Struct, array_like=True, frozen=True):
    """A gateway's view of the store, or the changes of it.

    ``regained_age`` is the time in seconds since the store recovered from an outage,
    negative if it never did; records removed soon after a recovery may be written
    again. ``age`` is the time in seconds since the view was last complete, negative if
    unknown.
    """

    catalog: TopicView
    instances: TopicView
    regained_age: float = -1.0
    age: float = -1.0
    quarantine: TopicView = NO_CHANGE


_decoder = msgspec.msgpack.Decoder(View)


def format_position(position):
    """Return a `Position` as a text: its offset, after the era if there is one.

    Gateways of releases without eras understand the offset only, and return a whole
    listing for any other text.
    """
    return f"{position.era}.{position.offset}" if position.era else f"{position.offset}"


def parse_position(text):
    """Return the `Position` in a text; the empty topic's if it is malformed."""
    era, _, offset = text.rpartition(".")
    if not offset.isdecimal() or era and not era.isdecimal():
        return _NOT_KNOWN
    return Position(int(era or 0), int(offset))


def make_topic_view(follower, position):
    """Return the `TopicView` of the changes from a `Position` on.

    Offset 0 requests all records.
    """
    batch = None
    if position.offset:
        batch = follower.get_batch(position.offset, position.era)
    update = follower.get_listing() if batch is None else batch
    entries = [tuple(entry) for entry in update.entries]
    return TopicView(entries, update.end, batch is None, update.era)


def encode_view(catalog, instances, regained_age=-1.0, age=-1.0, quarantine=NO_CHANGE):
    """Return the encoded `View` of these `TopicView`."""
    view = View(catalog, instances, regained_age, age, quarantine)
    return msgspec.msgpack.encode(view)


def decode_view(data):
    """Return the decoded `View`, or None if the bytes are malformed."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def merge_topic_view(follower, view, source="peer"):
    """Merge a `TopicView` from the peer ``source`` into a follower.

    Return whether it is of the current era of the store.
    """
    entries = [Entry(*row) for row in view.entries]
    if view.is_whole:
        return follower.adopt(Listing(entries, view.end, view.era), source)
    return follower.adopt_batch(Batch(entries, view.end, era=view.era), source)


class ViewSync:
    """Fetches changes from peers while their view is newer than ours.

    Parameters
    ----------
    followers : `topic_followers.Followers`
    port : int
        Port of the fleet's HTTP interface, which is the same for all gateways.
    read_policy : `store_read_policy.StoreReadPolicy`
        Made to read the store if peers do not deliver their view in time.
    """

    def __init__(self, state, followers, port, read_policy):
        self._state = state
        self._catalog = followers.catalog
        self._instances = followers.instances
        self._quarantine = followers.quarantine
        self._port = port
        self._read_policy = read_policy
        self._behind_since = None
        self._pool = create_pool_manager(
            MAX_PEER_RESPONSE_BYTES, num_pools=1, maxsize=1
        )

    def start(self, stopped):
        """Check in a separate thread."""
        threading.Thread(
            target=self._run, args=(stopped,), name="sync", daemon=True
        ).start()

    def find_newer_peer(self, now):
        """Return the live peer with the newest view if it is newer, or None."""
        own_versions = (get_version(self._state), *self._get_own_positions())
        best = None
        for peer in self._state.members.get_live(now):
            peer_versions = (peer.report.catalog_version, *peer.report.view_positions)
            is_newer = any(map(operator.gt, peer_versions, own_versions))
            if is_newer and (best is None or peer_versions > best[0]):
                best = (peer_versions, peer)
        return best[1] if best else None

    def _get_own_positions(self):
        state = self._state
        quarantine = state.quarantine_position
        if state.catalog_known and state.directory_known and not state.quarantine_known:
            # A gateway that stopped reading before it had listed an empty topic would
            # find no peer with a higher offset and would never be ready.
            quarantine = _NEVER_READ
        return (state.catalog_position, state.directory_position, quarantine)

    def fetch(self, peer):
        """Fetch and merge the view of a peer; return whether it succeeded."""
        host = peer.address.rpartition(":")[0]
        url = f"http://{host}:{self._port}{VIEW_PATH}"
        starts = {
            "catalog": self._get_catalog_start(peer.report),
            "instances": self._instances.position,
            "quarantine": self._quarantine.position,
        }
        fields = {name: format_position(start) for name, start in starts.items()}
        requested_at = self._state.clock()
        # Always use a new connection. An idle one may be dead, and detecting this takes
        # longer than opening another.
        self._pool.clear()
        try:
            resp = self._pool.request("GET", url, fields=fields, timeout=_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        view = decode_view(resp.data) if resp.status == 200 else None
        if view is None:
            return False
        self.merge_view(view, peer.host, requested_at)
        return True

    def _get_catalog_start(self, report):
        """Return the `Position` from which to request configurations.

        A newer configuration may have an offset before our end, and is then missing
        from a batch of the changes since our end.
        """
        may_precede_end = report.catalog_version > get_version(self._state)
        return _NOT_KNOWN if may_precede_end else self._catalog.position

    def merge_view(self, view, source, requested_at):
        """Merge the `View` of the peer ``source``, requested at ``requested_at``."""
        if view.regained_age >= 0.0:
            # Ages count from the time of the request, which precedes the peer's answer.
            # Counted from the arrival of the answer, the recovery of the store would
            # move to a later time with each exchange of views, and extend the time for
            # which removed records are retained.
            self._state.lapsed_records.mark_store_recovered(
                requested_at - view.regained_age
            )
        merged = [
            merge_topic_view(self._catalog, view.catalog, source),
            merge_topic_view(self._instances, view.instances, source),
            merge_topic_view(self._quarantine, view.quarantine, source),
        ]
        # A view of an earlier era may lack what the store holds since it was restored.
        if view.age >= 0.0 and all(merged):
            self._state.freshness.record_peer_view(requested_at - view.age)

    def _run(self, stopped):
        while not stopped.is_set():
            self._state.newer_view.wait(_CHECK_INTERVAL_S)
            self._state.newer_view.clear()
            merged = self._catch_up_guarded()
            self._read_policy.reads_store()
            if merged is False:
                stopped.wait(_STORE_ANSWER_WAIT_S)

    def _catch_up_guarded(self):
        """Catch up; an exception is logged and must not end this thread."""
        try:
            return self.catch_up(self._state.clock())
        except Exception as exc:
            self._state.log.note("view not taken", failed=True, why=repr(exc))
            return False

    def catch_up(self, now):
        """Fetch a newer view if a peer has one; return whether it succeeded.

        Return None if nothing was fetched.
        """
        peer = self.find_newer_peer(now)
        if peer is None:
            self._behind_since = None
            return None
        if self._behind_since is None:
            self._behind_since = now
        behind = now - self._behind_since
        if behind > _MAX_BEHIND_S:
            self._read_policy.read_store_temporarily(now)
        # The store usually answers within this delay.
        delay = _STORE_ANSWER_WAIT_S if self._read_policy.reads_store() else 0.0
        if behind < delay:
            return None
        previous = self._get_positions()
        merged = self.fetch(peer)
        positions = self._get_positions()
        self._state.log.note(
            "view from peer",
            failed=not merged,
            peer=peer.host,
            taken=merged,
            behind_s=round(behind, 3),
            offsets_before=[position.offset for position in previous],
            offsets=[position.offset for position in positions],
            eras=[position.era for position in positions],
            peer_offsets=peer.report.view_offsets,
            peer_eras=peer.report.eras,
            report_age_s=round(now - peer.received_at, 3),
        )
        return merged

    def _get_positions(self):
        followers = (self._catalog, self._instances, self._quarantine)
        return tuple(follower.position for follower in followers)
