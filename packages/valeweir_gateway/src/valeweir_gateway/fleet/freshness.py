"""The time as of which this gateway's view of the store is complete.

A gateway that reads the store takes this time from the store's responses. The others
rely on a peer's report that its view, up to the same offsets, was complete some seconds
before the report was sent. The time of sending is unknown, but the report echoes a
stamp of this gateway's own clock and so was sent after it. Network delay, queues and
pauses therefore make a view look older than it is, never younger, and an age that
gateways report to each other in a cycle does not become younger.
"""

import threading
from typing import NamedTuple

# The topics are the configuration and the upstream instances.
_TOPIC_COUNT = 2
# A view that has become newer by at least this is reported to peers before the next
# heartbeat is due.
_MIN_ANNOUNCE_STEP_S = 0.5
# Incarnation numbers are compared by their low 16 bits. One in 65,536 collides, and a
# stamp from it is accepted only if it lies within the lifetime of this process.
_NUMBER_MASK = 0xFFFF


class Echo(NamedTuple):
    """The newest stamp received from a peer, sent back to it; see `Stamps`.

    ``number`` identifies the peer's incarnation; ``stamp`` is in milliseconds on the
    peer's clock.
    """

    number: int = -1
    stamp: int = -1


class Freshness:
    """The times, on the monotonic clock, as of which the view is complete."""

    def __init__(self):
        self._store_as_of = {}
        self._peer_as_of = None
        self._announced_as_of = None
        # Times are recorded by the threads that read the store and by the event loop.
        self._lock = threading.Lock()
        # Increases when the new time should be reported to peers early.
        self.announce_version = 0
        # Returns whether a record has been read but is not in force. The topic offsets
        # then claim more than the view contains, and the view is not marked as newer.
        self.has_unapplied_records = lambda: False

    def record_store_read(self, topic, as_of):
        """Record that the store's responses on a topic are complete as of a time."""
        if self.has_unapplied_records():
            return
        with self._lock:
            self._store_as_of[topic] = max(as_of, self._store_as_of.get(topic, as_of))
            self._update_announcement()

    def record_peer_view(self, as_of):
        """Record a time as of which a peer with no newer view had it complete."""
        if self.has_unapplied_records():
            return
        with self._lock:
            self._peer_as_of = (
                as_of if self._peer_as_of is None else max(as_of, self._peer_as_of)
            )
            self._update_announcement()

    def get_age(self, now):
        """Return an upper bound of the view's age in seconds, or None if unknown."""
        as_of = self._get_as_of()
        return None if as_of is None else max(0.0, now - as_of)

    def get_rounded_age(self, now):
        """Return the age as a field for the log, None if it is unknown."""
        age = self.get_age(now)
        return None if age is None else round(age, 3)

    def _get_as_of(self):
        if len(self._store_as_of) < _TOPIC_COUNT:
            return self._peer_as_of
        store_as_of = min(self._store_as_of.values())
        return (
            store_as_of
            if self._peer_as_of is None
            else max(store_as_of, self._peer_as_of)
        )

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
    """Stamps of this gateway's clock, and the times in peers' echoes of them.

    Parameters
    ----------
    number : int
        Number of this incarnation; echoes of stamps of other incarnations are ignored.
    """

    def __init__(self, clock, number):
        self._clock = clock
        self._number = number & _NUMBER_MASK
        self._started_at = clock()

    def make(self):
        """Return a stamp for a report that is sent now."""
        return int(self._clock() * 1000.0)

    def get_time(self, echo):
        """Return the time of this gateway's stamp in an `Echo`, or None."""
        at = echo.stamp / 1000.0
        known = echo.number == self._number
        return at if known and self._started_at <= at <= self._clock() else None


def make_echo(report):
    """Return the `Echo` of a peer's report; an empty one if the report is None."""
    if report is None:
        return Echo()
    return Echo(report.number & _NUMBER_MASK, report.stamp)
