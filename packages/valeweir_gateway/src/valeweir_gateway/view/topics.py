"""The newest record of each key of a topic, up to an end offset."""

import collections
from typing import NamedTuple

from ..stores import Position

_MAX_REMOVED_COUNT = 2_000
# Precedes the offset of every record, and that of a removal in an empty topic.
_EARLIER_ERA_OFFSET = -2


class Entry(NamedTuple):
    """A record of a keyed topic; a value of None removes the key."""

    key: str
    value: bytes | None
    offset: int


class Listing(NamedTuple):
    """The newest record of each key.

    ``end`` is the offset from which to read on. Records that were written while the
    pages were read have higher offsets. ``era`` is as for `stores.Position`.
    """

    entries: list[Entry]
    end: int
    era: int = 0


class Batch(NamedTuple):
    """Records in order; ``end`` is the offset from which to read on.

    ``is_whole`` is true if the topic ended there when it was read. ``era`` is as for
    `stores.Position`.
    """

    entries: list[Entry]
    end: int
    is_whole: bool = True
    era: int = 0


def restore_highest_ranked(listing, history, rank):
    """Return a `Listing` in which ranked keys have the highest record of their history.

    A write whose answer was lost may take effect late, after newer ones, and is then
    the newest record of its key.

    Parameters
    ----------
    history : list of Entry
        Earlier records of any keys.
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
    """Return whether a record has a higher rank, regardless of offsets."""
    first, second = rank(entry), rank(other)
    return first is not None and second is not None and first > second


class TopicRecords:
    """The newest record of each key, complete up to `end`.

    Complete includes every removal before the end. A key that is not known has been
    removed, even if an older view contains it.

    Parameters
    ----------
    apply : callable
        Called with each `Entry` that is newer than the known one of its key.
    on_error : callable
        Called with an `Entry` and the exception raised by ``apply``.
    rank : callable
        Called with an `Entry`; returns its rank, or None if its key is not ranked. Of
        two records of a ranked key the higher one is in force, regardless of offsets;
        of an unranked key the newest one.
    keeps : callable
        Called with a known `Entry` that a restored store lacks; returns whether it
        stays in force until it is written again or `settle` is called.
    withholds : callable
        Called with an `Entry` of a restored store and the known one of its key; returns
        whether it is not applied until then, as it had been removed or replaced.
    """

    def __init__(
        self,
        apply,
        on_error=lambda entry, exc: None,
        rank=lambda entry: None,
        keeps=lambda entry: False,
        withholds=lambda entry, known: False,
    ):
        self._apply = apply
        self._rank = rank
        self._keeps = keeps
        self._withholds = withholds
        self._on_error = on_error
        self._entries = {}
        # Records that could not be applied yet, by key.
        self._unapplied = {}
        # Keys of the known records that the restored store lacks.
        self._unconfirmed = set()
        # Removed or replaced records that the restored store has again, by key.
        self._withheld = {}
        self._removed = collections.deque()
        # All changes from this offset on are known, including removals.
        self._first_known_offset = 0
        self.era = 0
        self.end = 0

    @property
    def position(self):
        """Return the `Position` up to which all records are known."""
        return Position(self.era, self.end)

    def get_unapplied(self):
        """Return the records that could not be applied yet."""
        return list(self._unapplied.values())

    def retry_unapplied(self, entries):
        """Retry those entries that are unapplied and still the newest of their key."""
        for entry in entries:
            if self._unapplied.get(entry.key) is entry:
                self._apply_or_keep(entry)

    def get_unconfirmed(self):
        """Return the known records that the restored store lacks."""
        return [self._entries[key] for key in self._unconfirmed]

    def get_withheld(self):
        """Return the removed or replaced records that the restored store has again."""
        return list(self._withheld.values())

    def get_listing(self):
        """Return all records of the store's current era as a `Listing`.

        Each gateway decides by its own view what to do with the records that a restored
        store lacks or has again.
        """
        present = [
            entry
            for entry in self._entries.values()
            if entry.value is not None and self._is_listed(entry)
        ]
        return Listing(present + self.get_withheld(), self.end, self.era)

    def _is_listed(self, entry):
        if entry.key in self._withheld:
            return False
        return entry.key not in self._unconfirmed or self._rank(entry) is not None

    def get_batch(self, offset, era=0):
        """Return a `Batch` of the changes from ``offset`` on, None if unknown."""
        if era != self.era or offset < self._first_known_offset:
            return None
        rows = [e for e in self._entries.values() if e.offset >= offset]
        rows.sort(key=lambda row: row.offset)
        return Batch(rows, self.end, era=self.era)

    def merge_listing(self, listing):
        """Merge a listing; of an older one only higher ranked records are used.

        Return whether the listing is of the current era of the store.
        """
        listed = {entry.key for entry in listing.entries}
        if listing.era > self.era:
            self._begin_era(listing, listed)
        elif listing.era < self.era or listing.end < self.end:
            self._merge_higher(listing.entries)
            return listing.era == self.era
        self._withheld = {k: e for k, e in self._withheld.items() if k in listed}
        for entry in listing.entries:
            self._merge(entry)
        present = {e.key for e in self._entries.values() if e.value is not None}
        for key in present - listed - self._unconfirmed:
            # The key was removed between two reads.
            self._merge(Entry(key, None, listing.end - 1))
        if listing.end > self.end:
            # A listing omits keys that were written and removed since our end. A peer
            # with such a key would keep it forever if it got the changes without the
            # removal, so peers with an older view get a listing too.
            self._first_known_offset = listing.end
        self.end = listing.end
        return True

    def merge_batch(self, batch):
        """Merge a batch that begins at our end offset or before it.

        Return whether the batch is of the current era of the store. Of another one only
        higher ranked records are used.
        """
        if batch.era != self.era:
            self._merge_higher(batch.entries)
            return False
        for entry in batch.entries:
            # An unknown key below our end was known before and has been removed.
            if entry.offset >= self.end or entry.key in self._entries:
                self._merge(entry)
        self.end = max(self.end, batch.end)
        return True

    def _begin_era(self, listing, listed):
        """Let the known records precede all those of the restored store.

        Its offsets say nothing about them. Those that it still has are in the listing.
        The first era is no restore: the records were known without one.
        """
        if self.era:
            self._withheld = self._find_withheld(listing.entries)
            self._unconfirmed = self._find_unconfirmed(listed)
        self._entries = {
            key: entry._replace(offset=_EARLIER_ERA_OFFSET)
            for key, entry in self._entries.items()
        }
        removed = [row for row in self._entries.values() if row.value is None]
        self._removed = collections.deque(removed)
        self._first_known_offset = listing.end
        self.era = listing.era
        self.end = 0

    def _find_withheld(self, entries):
        known = self._entries
        return {
            entry.key: entry
            for entry in entries
            if entry.key in known and self._withholds(entry, known[entry.key])
        }

    def _find_unconfirmed(self, listed):
        return {
            key
            for key, entry in self._entries.items()
            if entry.value is not None and key not in listed and self._keeps(entry)
        }

    def settle(self):
        """Take over what the restored store still lacks, and what it still has."""
        withheld, self._withheld = self._withheld, {}
        unconfirmed, self._unconfirmed = self._unconfirmed, set()
        for entry in withheld.values():
            self._merge(entry)
        for key in unconfirmed:
            self._merge(Entry(key, None, self.end - 1))

    def _is_withheld(self, entry):
        """Return whether an entry is withheld; a later record of its key ends that."""
        withheld = self._withheld.get(entry.key)
        if withheld is None:
            return False
        if entry.offset > withheld.offset:
            del self._withheld[entry.key]
            return False
        return True

    def _merge(self, entry):
        if self._is_withheld(entry):
            return
        self._unconfirmed.discard(entry.key)
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

    def _merge_higher(self, entries):
        """Merge the entries that rank higher than the known one of their key."""
        for entry in entries:
            known = self._entries.get(entry.key)
            if known is not None and _outranks(self._rank, entry, known):
                self._merge(entry)

    def _merge_outranked(self, entry, known):
        """Keep the known record, with the offset of the outranked one.

        Peers with an end offset before the outranked record then get the known one.
        """
        if entry.offset <= known.offset:
            return
        updated = known._replace(offset=entry.offset)
        self._entries[entry.key] = updated
        if self._unapplied.get(entry.key) is known:
            self._unapplied[entry.key] = updated
        else:
            # Applying the outranked record changes nothing, and logs the reason.
            self._apply_or_keep(entry)

    def _apply_or_keep(self, entry):
        """Apply a record, or keep it for a retry if applying raises.

        A known record is not read again. Without the retry, a record whose applying
        raises would be skipped forever, and so would the records after it.
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
        """Store the newest removals for batches to peers."""
        self._removed.append(entry)
        while len(self._removed) > _MAX_REMOVED_COUNT:
            oldest = self._removed.popleft()
            if self._entries.get(oldest.key) is oldest:
                del self._entries[oldest.key]
            self._first_known_offset = max(self._first_known_offset, oldest.offset + 1)
