"""What is known of a keyed topic: the newest record of each key, up to an end."""

import collections
from typing import NamedTuple

_MAX_REMOVED_COUNT = 2_000


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
    """Records read in order; ``end`` is the offset to go on from.

    ``is_whole`` tells whether the topic ended there when it was read.
    """

    entries: list[Entry]
    end: int
    is_whole: bool = True


def restore_highest_ranked(listing, history, rank):
    """Return a `Listing` in which no ranked key has fallen behind its own history.

    A write whose answer was lost may take effect late, behind newer ones, and is then
    the newest record of its key.

    Parameters
    ----------
    history : list of Entry
        Records that came before, of any keys.
    rank : callable
        As for `TopicRecords`.
    """
    entries = []
    for entry in listing.entries:
        best = entry
        for earlier in history:
            if earlier.key == entry.key and _outranks(rank, earlier, best):
                best = earlier
        entries.append(best._replace(offset=entry.offset))
    return listing._replace(entries=entries)


def _outranks(rank, entry, other):
    """Return whether a record ranks higher; offsets do not count."""
    first, second = rank(entry), rank(other)
    return first is not None and second is not None and first > second


class TopicRecords:
    """The newest record of each key, whole up to `end`.

    Whole means that every removal before the end is known too: a key that is not
    known has been removed, whatever an older view says of it.

    Parameters
    ----------
    apply : callable
        Called with each `Entry` that is newer than what was known of its key.
    on_fault : callable
        Called with an `Entry` and the exception that applying it raised.
    rank : callable
        Called with an `Entry`; returns what decides between two records of a key, the
        higher one being in force wherever it stands, or None where the newest is.
    """

    def __init__(
        self, apply, on_error=lambda entry, exc: None, rank=lambda entry: None
    ):
        self._apply = apply
        self._rank = rank
        self._on_error = on_error
        self._entries = {}
        # What could not be applied yet, by key.
        self._unapplied = {}
        self._removed = collections.deque()
        # Changes from here on are all known, removals among them.
        self._first_known_offset = 0
        self.end = 0

    def get_unapplied(self):
        """Return the records that could not be applied yet."""
        return list(self._unapplied.values())

    def retry_unapplied(self, entries):
        """Try once more those that could not be applied and are still the newest."""
        for entry in entries:
            if self._unapplied.get(entry.key) is entry:
                self._apply_or_keep(entry)

    def get_listing(self):
        """Return what is known as a `Listing`."""
        kept = [e for e in self._entries.values() if e.value is not None]
        return Listing(kept, self.end)

    def get_batch(self, offset):
        """Return a `Batch` of what changed from ``offset`` on, None if not known."""
        if offset < self._first_known_offset:
            return None
        rows = [e for e in self._entries.values() if e.offset >= offset]
        return Batch(sorted(rows, key=lambda row: row.offset), self.end)

    def merge_listing(self, listing):
        """Take in a listing; one that is older than what is known changes nothing."""
        if listing.end < self.end:
            for entry in listing.entries:
                self._merge_if_higher(entry)
            return
        listed = {entry.key for entry in listing.entries}
        for entry in listing.entries:
            self._merge(entry)
        kept = {e.key for e in self._entries.values() if e.value is not None}
        for key in kept - listed:
            # The key was removed while nothing was heard.
            self._merge(Entry(key, None, listing.end - 1))
        if listing.end > self.end:
            # A listing does not show keys that came and went since our end. A peer that
            # knows such a key would keep it forever if it got changes without the
            # removal, so peers that are further behind get a listing too.
            self._first_known_offset = listing.end
        self.end = listing.end

    def merge_batch(self, batch):
        """Take in records that begin at our end or before it."""
        for entry in batch.entries:
            # Known before, and gone since, where it is below our end.
            if entry.offset >= self.end or entry.key in self._entries:
                self._merge(entry)
        self.end = max(self.end, batch.end)

    def _merge(self, entry):
        known = self._entries.get(entry.key)
        if known is not None and _outranks(self._rank, known, entry):
            self._merge_outranked(entry, known)
            return
        if known is not None and _outranks(self._rank, entry, known):
            entry = entry._replace(offset=max(entry.offset, known.offset))
        elif known is not None and entry.offset <= known.offset:
            return
        self._entries[entry.key] = entry
        if entry.value is None:
            self._record_removal(entry)
        self._apply_or_keep(entry)

    def _merge_if_higher(self, entry):
        known = self._entries.get(entry.key)
        if known is not None and _outranks(self._rank, entry, known):
            self._merge(entry)

    def _merge_outranked(self, entry, known):
        """Keep the record in force, as of the newer offset.

        Peers that know less are then given it with all that came before that offset.
        """
        if entry.offset <= known.offset:
            return
        moved = known._replace(offset=entry.offset)
        self._entries[entry.key] = moved
        if self._unapplied.get(entry.key) is known:
            self._unapplied[entry.key] = moved
        else:
            # Applying it changes nothing and logs why.
            self._apply_or_keep(entry)

    def _apply_or_keep(self, entry):
        """Apply a record, or keep it for later.

        It is known from now on and nobody tells it again, so one whose applying raises
        would be passed over for good, and the records after it with it.
        """
        try:
            self._apply(entry)
        except Exception as exc:
            known = self._unapplied.get(entry.key)
            self._unapplied[entry.key] = entry
            if known is not entry:
                self._on_error(entry, exc)
        else:
            self._unapplied.pop(entry.key, None)

    def _record_removal(self, entry):
        """Keep the newest removals, so that peers can be told of them."""
        self._removed.append(entry)
        while len(self._removed) > _MAX_REMOVED_COUNT:
            oldest = self._removed.popleft()
            if self._entries.get(oldest.key) is oldest:
                del self._entries[oldest.key]
            self._first_known_offset = max(self._first_known_offset, oldest.offset + 1)
