"""The interface of the platform's store that the gateway uses."""

from typing import NamedTuple, Protocol

from valeweir.exceptions import PlatformUnavailable


class Position(NamedTuple):
    """An offset of a topic, and the era of the store that assigned it.

    The era increases when the store is restored from a copy. Records after the copy are
    then lost and their offsets are assigned again. The era is 0 before the first answer
    of the store, and for a store without eras.
    """

    era: int
    offset: int

    def covers(self, other):
        """Return whether a view up to here has all records up to ``other``.

        A view of a later era may lack records that the store has lost.
        """
        return self.era == other.era and self.offset >= other.offset


class HistoryExpired(PlatformUnavailable):
    """The store lacks the requested records, so the topic must be listed again.

    They have been deleted, or were written before the store was restored from a copy.
    ``first`` is the first available offset, None if the store did not return it, and
    ``era`` the era of the store, 0 if it has none.
    """

    def __init__(self, text, first=None, era=0):
        super().__init__(text)
        self.first = first
        self.era = era


class StoreTimeout(PlatformUnavailable):
    """A call timed out without receiving any data on its connection."""


class Conflict(Exception):
    """A conditional append expected another end of the topic; nothing was written."""


class Store(Protocol):
    """Operations of the store; each raises `PlatformUnavailable` on failure."""

    def list_newest(self, topic, anew=False):
        """Return a `Listing` of the topic; ``anew`` opens a new connection."""

    def read(self, topic, offset, wait, anew=False, timeout=None):
        """Return a `Batch`, waiting up to ``wait`` seconds for a record.

        ``anew`` opens a new connection; ``timeout`` is then the time limit of the call
        in seconds.
        """

    def move(self, address):
        """Use another address of the same store for later calls."""

    def put(self, topic, key, value, at=None):
        """Append a record, and return the era of the store.

        It may have been written even if the call raises. A ``value`` of None removes
        the key. With ``at``, raise `Conflict` unless the topic ends at this offset.
        """
