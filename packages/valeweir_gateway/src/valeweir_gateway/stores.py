"""What the gateway needs of the platform's store."""

from typing import Protocol

from valeweir.exceptions import PlatformUnavailable


class HistoryExpired(PlatformUnavailable):
    """Records after the offset asked for are gone; list anew.

    ``first`` is the first offset that is kept, None where that is not said.
    """

    def __init__(self, text, first=None):
        super().__init__(text)
        self.first = first


class Unanswered(PlatformUnavailable):
    """A call ended by its own limit, with nothing heard on its connection."""


class Conflict(Exception):
    """The topic does not end where a conditional append says; nothing was done."""


class Store(Protocol):
    """Calls of the store; each raises `PlatformUnavailable` where it fails."""

    def list_newest(self, topic, anew=False):
        """Return a `Listing` of the topic, ``anew`` on a connection of its own."""

    def read(self, topic, offset, wait, anew=False):
        """Return a `Batch`, waiting up to ``wait`` seconds for a record."""

    def move(self, address):
        """Make later calls at another address, where the same store is."""

    def put(self, topic, key, value, at=None):
        """Append a record; may have taken effect when it raises.

        A ``value`` of None drops the key. With ``at`` it raises `Conflict` unless the
        topic ends there.
        """
