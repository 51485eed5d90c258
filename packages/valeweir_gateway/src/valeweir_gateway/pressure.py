"""Whether this gateway's processor keeps up.

A thread that wants to run and has to wait for others shows it: the time by
which a short wait lasts longer than asked grows with what is queued before it.
"""

_MEMORY = 0.2
_HIGH = 0.15
_LOW = 0.05


class Pressure:
    """A moving mean of how late a periodic thread wakes, in seconds."""

    def __init__(self, log):
        self._log = log
        self.lag = 0.0
        self.is_high = False

    def note(self, late, now):
        """Take in by how much a wake-up was late."""
        self.lag += _MEMORY * (max(0.0, late) - self.lag)
        if self.is_high and self.lag < _LOW:
            self.is_high = False
            self._log.note("processor keeps up", lag_ms=round(self.lag * 1000))
        elif not self.is_high and self.lag > _HIGH:
            self.is_high = True
            self._log.note("processor lags", failed=True, lag_ms=round(self.lag * 1000))
