"""How often a router reports, so that control traffic keeps to its budget."""

_STRETCH = 1.15
_SHRINK = 0.95
_COMFORT = 0.8
_MEMORY = 0.3
_MAX_PRESSURE = 8.0
INTERVALS_IN_LEASE = 6


class Pace:
    """The interval between digests, and the pressure to move fewer slots.

    While more than the budget goes out, the interval is stretched, up to a
    sixth of a lease; when that is not enough, pressure widens the hand-back
    slack. Both go back when there is room, pressure first.

    Parameters
    ----------
    cfg : FleetSettings

    Attributes
    ----------
    pressure : float
        Factor on the slack, from 1 to 8.
    """

    def __init__(self, cfg):
        self._shortest = cfg["interval"]
        self._longest = max(cfg["interval"], cfg["lease"] / INTERVALS_IN_LEASE)
        self._budget = cfg["byte_budget"]
        self._interval = self._shortest
        self._last = None
        self._rate = 0.0
        self.pressure = 1.0

    def get_interval(self):
        """Return seconds until the next digest."""
        return self._interval

    def note(self, sent_bytes, now):
        """Take in the bytes sent since the start, and adapt."""
        last, self._last = self._last, (sent_bytes, now)
        if last is None or now <= last[1] or sent_bytes < last[0]:
            return
        rate = (sent_bytes - last[0]) / (now - last[1])
        self._rate += _MEMORY * (rate - self._rate)
        if self._rate > self._budget:
            self._save()
        elif self._rate < _COMFORT * self._budget:
            self._relax()

    def _save(self):
        if self._interval < self._longest:
            self._interval = min(self._interval * _STRETCH, self._longest)
        else:
            self.pressure = min(self.pressure * _STRETCH, _MAX_PRESSURE)

    def _relax(self):
        if self.pressure > 1.0:
            self.pressure = max(self.pressure * _SHRINK, 1.0)
        else:
            self._interval = max(self._interval * _SHRINK, self._shortest)
