"""Detects pauses of this process (SIGSTOP, CPU starvation, suspend).

A pause makes timers fire late, so peers and the store look unresponsive.
"""

import collections

# Largest delay of a tick that does not count as a pause.
_MAX_LATENESS_S = 0.13
_DEFAULT_INTERVAL_S = 0.02
# Time for which a pause is kept after its end.
_HISTORY_S = 2.0
# Longer pauses are logged.
_MIN_LOGGED_S = 0.5


class PauseDetector:
    """Measures pauses as gaps between ticks.

    A single thread calls `tick`; the other methods may be called from any thread.

    Parameters
    ----------
    log_event : callable
        Function that logs an event with its fields.
    """

    def __init__(self, clock, log_event):
        self._clock = clock
        self._log_event = log_event
        self._last_tick = None
        self._max_gap = _DEFAULT_INTERVAL_S + _MAX_LATENESS_S
        self._total = 0.0
        # Rows (end, duration) of the recent pauses.
        self._recent = collections.deque()

    def set_interval(self, interval):
        """Set the interval of the next ticks in seconds."""
        self._max_gap = interval + _MAX_LATENESS_S

    def tick(self):
        """Record that the process is running."""
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
        """Return the seconds of all pauses since the start, including a current one."""
        return self._total + self._get_current(self._clock())

    def get_recent_total(self, within):
        """Return the seconds of all pauses that ended in the last ``within`` seconds.

        Pauses are kept for 2 seconds only. A current pause counts as ending now.
        """
        now = self._clock()
        recent = sum(row[1] for row in list(self._recent) if now - row[0] < within)
        return recent + self._get_current(now)

    def _get_current(self, now):
        if self._last_tick is None:
            return 0.0
        gap = now - self._last_tick
        return gap if gap > self._max_gap else 0.0
