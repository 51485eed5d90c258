"""For how long this process stood still: paused, or with no processor to run on.

Time that passes unnoticed makes others look late or away, who are not.
"""

from typing import NamedTuple

# Seconds between two ticks that are no stall: five times the longest interval of a
# relay with many links.
_LONGEST_GAP = 0.15
# Seconds from which a stall gets a line of its own in the log.
_TOLD = 0.5


class Stall(NamedTuple):
    """A time without a tick: when it ended, on the steady clock, and its seconds."""

    ended: float
    seconds: float


class Stalls:
    """Sums up the times without a tick; one thread ticks, any may ask.

    Parameters
    ----------
    note : callable
        Called with an event and its fields.
    """

    def __init__(self, clock, note):
        self._clock = clock
        self._note = note
        self._ticked = None
        self._total = 0.0
        self._last = None

    def tick(self):
        """Note that the process runs."""
        now = self._clock()
        stalled = self._get_current(now)
        self._ticked = now
        self._total += stalled
        if stalled:
            self._last = Stall(now, stalled)
        if stalled > _TOLD:
            self._note("process stalled", failed=True, seconds=round(stalled, 3))

    def get_total(self):
        """Return seconds stalled since the start, one that lasts included."""
        return self._total + self._get_current(self._clock())

    def get_last(self):
        """Return the last `Stall`, None without one; one that lasts ends now."""
        now = self._clock()
        current = self._get_current(now)
        return Stall(now, current) if current else self._last

    def _get_current(self, now):
        if self._ticked is None:
            return 0.0
        gap = now - self._ticked
        return gap if gap > _LONGEST_GAP else 0.0
