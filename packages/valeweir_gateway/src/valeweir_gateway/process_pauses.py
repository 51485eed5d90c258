"""Detects pauses of this process (SIGSTOP, CPU starvation, suspend).

A pause makes timers fire late, so peers and the store look unresponsive.
"""

import collections

# Seconds by which a tick may be late without a stall.
_MAX_LATENESS_S = 0.13
_DEFAULT_INTERVAL_S = 0.02
# Seconds for which the end of a stall is kept.
_HISTORY_S = 2.0
# Seconds from which a stall gets a line of its own in the log.
_MIN_LOGGED_S = 0.5


class Stalls:
    """Sums up the times without a tick; one thread ticks, any may ask.

    Parameters
    ----------
    log_event : callable
        Called with an event and its fields.
    """

    def __init__(self, clock, log_event):
        self._clock = clock
        self._log_event = log_event
        self._last_tick = None
        self._max_gap = _DEFAULT_INTERVAL_S + _MAX_LATENESS_S
        self._total = 0.0
        # The (end, seconds) of those that ended lately.
        self._recent = collections.deque()

    def expect(self, interval):
        """Set after how many seconds the next ticks are due."""
        self._max_gap = interval + _MAX_LATENESS_S

    def tick(self):
        """Record that the process runs."""
        now = self._clock()
        pause = self._get_current(now)
        self._last_tick = now
        self._total += pause
        if pause:
            self._recent.append((now, pause))
        while self._recent and now - self._recent[0][0] > _HISTORY_S:
            self._recent.popleft()
        if pause > _MIN_LOGGED_S:
            self._log_event("process stalled", failed=True, seconds=round(pause, 3))

    def get_total(self):
        """Return seconds stalled since the start, one that lasts included."""
        return self._total + self._get_current(self._clock())

    def get_lately(self, within):
        """Return seconds stalled in what ended in the last seconds, 2 at most.

        One that lasts ends now.
        """
        now = self._clock()
        recent = sum(row[1] for row in list(self._recent) if now - row[0] < within)
        return recent + self._get_current(now)

    def _get_current(self, now):
        if self._last_tick is None:
            return 0.0
        gap = now - self._last_tick
        return gap if gap > self._max_gap else 0.0
