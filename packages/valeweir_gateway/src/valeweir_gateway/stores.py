"""What the gateway needs of the platform's store, and following it."""

import threading
from typing import NamedTuple, Protocol

from valeweir.exceptions import PlatformUnavailable

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 1.0


class HistoryExpired(PlatformUnavailable):
    """Records after the offset asked for are gone; list anew."""


class Entry(NamedTuple):
    """A record of a keyed topic; a value of None removes the key."""

    key: str
    value: bytes | None
    offset: int


class Listing(NamedTuple):
    """The newest record of each key.

    ``end`` is the offset that a reader goes on from: records that came while
    the pages were read lie behind it.
    """

    entries: list[Entry]
    end: int


class Batch(NamedTuple):
    """Records read in order; ``end`` is the offset to go on from."""

    entries: list[Entry]
    end: int


class Store(Protocol):
    """Calls of the store; each raises `PlatformUnavailable` where it fails."""

    def list_newest(self, topic):
        """Return a `Listing` of the topic."""

    def read(self, topic, offset, wait):
        """Return a `Batch`, waiting up to ``wait`` seconds for a record."""

    def put(self, topic, key, value):
        """Append a record; may have taken effect when it raises."""


class TopicFollower:
    """Keeps up with a keyed topic: lists it, then waits for records.

    Parameters
    ----------
    apply : callable
        Called with each `Entry` that is newer than what was known of its key.
    on_listed : callable
        Called with the end offset after each listing or batch has been applied.
    """

    def __init__(self, store, topic, apply, on_listed, log, poll, clock):
        self._store = store
        self._topic = topic
        self._apply = apply
        self._on_listed = on_listed
        self._log = log
        self._poll = poll
        self._clock = clock
        self._offsets = {}
        self._next = None
        self._lock = threading.RLock()
        self._entries = {}
        self.end = 0
        self._pause = _FIRST_PAUSE
        self._available = None
        self.heard = None

    def run(self, stopped):
        """Follow until ``stopped`` is set; the body of a thread."""
        while not stopped.is_set():
            if not self.follow_once():
                stopped.wait(self._pause)
                self._pause = min(self._pause * 2, _LONGEST_PAUSE)

    def start(self, stopped):
        """Follow in a thread of its own."""
        threading.Thread(
            target=self.run, args=(stopped,), name=f"follow-{self._topic}", daemon=True
        ).start()

    def follow_once(self):
        """Make one call; return whether it succeeded."""
        try:
            if self._next is None:
                self._list()
            else:
                self._read()
        except HistoryExpired:
            self._log.note("history expired", topic=self._topic, offset=self._next)
            self._next = None
        except PlatformUnavailable as exc:
            self._set_available(False, str(exc))
            return False
        self._pause = _FIRST_PAUSE
        self._set_available(True, "")
        return True

    def get_listing(self):
        """Return what is known as a `Listing`, for a peer."""
        with self._lock:
            return Listing(list(self._entries.values()), self.end)

    def adopt(self, listing):
        """Take in a peer's listing; older records than ours change nothing."""
        with self._lock:
            self._take_listing(listing)

    def _list(self):
        listing = self._store.list_newest(self._topic)
        with self._lock:
            self._take_listing(listing)
            self._next = listing.end
        self.heard = self._clock()

    def _take_listing(self, listing):
        named = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            self._take(entry)
        for key in self._entries.keys() - named:
            # The key was dropped while nothing was heard.
            self._take(Entry(key, None, listing.end - 1))
        self.end = max(self.end, listing.end)
        self._on_listed(self.end)

    def _read(self):
        batch = self._store.read(self._topic, self._next, self._poll)
        with self._lock:
            for entry in batch.entries:
                self._take(entry)
            self._next = batch.end
            self.end = max(self.end, batch.end)
            self._on_listed(self.end)
        self.heard = self._clock()

    def _take(self, entry):
        if entry.offset <= self._offsets.get(entry.key, -1):
            return
        self._offsets[entry.key] = entry.offset
        if entry.value is None:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry
        self._apply(entry)

    def _set_available(self, available, why):
        if available == self._available:
            return
        self._available = available
        event = "store regained" if available else "store lost"
        age = None if self.heard is None else round(self._clock() - self.heard, 3)
        self._log.note(
            event, failed=not available, topic=self._topic, why=why, view_age_s=age
        )
