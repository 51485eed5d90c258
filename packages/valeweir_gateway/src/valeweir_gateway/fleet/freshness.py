"""As of when this gateway's view of the store is known to be complete.

A gateway that reads the store knows it from the store's answers. The others rely on a
peer's report that its view, up to the same offsets, was complete some seconds before
the report was sent. The time of sending is unknown, but the report echoes a stamp of
this gateway's own clock and so was sent after it. Network delay, queues and pauses
therefore make a view look older than it is, never younger, and an age that is passed
around in circles is not renewed.
"""

import threading
from typing import NamedTuple

# Configuration and upstreams.
_TOPIC_COUNT = 2
# Seconds by which a view must have become newer for peers to be told before their next
# heartbeat is due.
_MIN_ANNOUNCE_STEP_S = 0.5
# Numbers of incarnations are told apart by their last bits: one in 65,536 is mistaken,
# and then its stamps must also lie within this process's life.
_NUMBER_MASK = 0xFFFF


class Echo(NamedTuple):
    """The newest stamp got from a peer, sent back to it; see `Stamps`.

    ``number`` tells the peer's incarnation, ``stamp`` is in milliseconds on its clock.
    """

    number: int = -1
    stamp: int = -1


class Freshness:
    """Times, on the steady clock, as of which the view is known to be whole."""

    def __init__(self):
        self._store_as_of = {}
        self._peer_as_of = None
        self._announced_as_of = None
        # Noted by the threads that read the store and by the loop.
        self._lock = threading.Lock()
        # Rises when peers should soon be told.
        self.announce_version = 0
        # Returns whether a record that has been read is not in force: ends then say
        # that more is known than is, and nothing makes the view newer.
        self.is_held = lambda: False

    def note_answer(self, topic, as_of):
        """Note that the store's answers on a topic are whole as of a time."""
        if self.is_held():
            return
        with self._lock:
            self._store_as_of[topic] = max(as_of, self._store_as_of.get(topic, as_of))
            self._update_announcement()

    def note_peer(self, as_of):
        """Note that a peer whose view is no newer than ours had it whole then."""
        if self.is_held():
            return
        with self._lock:
            self._peer_as_of = (
                as_of if self._peer_as_of is None else max(as_of, self._peer_as_of)
            )
            self._update_announcement()

    def get_age(self, now):
        """Return how many seconds ago the view was whole at the latest, or None."""
        as_of = self._get_as_of()
        return None if as_of is None else max(0.0, now - as_of)

    def _get_as_of(self):
        if len(self._store_as_of) < _TOPIC_COUNT:
            return self._peer_as_of
        answered = min(self._store_as_of.values())
        return answered if self._peer_as_of is None else max(answered, self._peer_as_of)

    def _update_announcement(self):
        as_of = self._get_as_of()
        if as_of is None:
            return
        if (
            self._announced_as_of is None
            or as_of - self._announced_as_of >= _MIN_ANNOUNCE_STEP_S
        ):
            self._announced_as_of = as_of
            self.announce_version += 1


class Stamps:
    """Stamps of this gateway's clock, and what peers' echoes of them tell.

    Parameters
    ----------
    number : int
        This incarnation, so that echoes to an earlier one are not taken.
    """

    def __init__(self, clock, number):
        self._clock = clock
        self._number = number & _NUMBER_MASK
        self._started_at = clock()

    def make(self):
        """Return a stamp for a report that goes out now."""
        return int(self._clock() * 1000.0)

    def get_time(self, echo):
        """Return the time of one of our stamps that an `Echo` holds, or None."""
        at = echo.stamp / 1000.0
        known = echo.number == self._number
        return at if known and self._started_at <= at <= self._clock() else None


def make_echo(report):
    """Return the `Echo` of a peer's report, which may be None."""
    if report is None:
        return Echo()
    return Echo(report.number & _NUMBER_MASK, report.stamp)
