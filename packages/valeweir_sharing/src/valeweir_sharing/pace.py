"""How often a router reports, so that control traffic keeps to its budget."""

_STRETCH = 1.15
_SHRINK = 0.95
_COMFORT = 0.8
_MEMORY = 0.3
INTERVALS_IN_LEASE = 6


class Pace:
    """The interval between digests.

    It is stretched while more than the budget goes out, up to a sixth of a
    lease, and shrinks again, down to the setting, when there is room.

    Parameters
    ----------
    cfg : FleetSettings
    """

    def __init__(self, cfg):
        self._shortest = cfg["interval"]
        self._longest = max(cfg["interval"], cfg["lease"] / INTERVALS_IN_LEASE)
        self._budget = cfg["byte_budget"]
        self._interval = self._shortest
        self._last = None
        self._rate = 0.0

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
            self._interval = min(self._interval * _STRETCH, self._longest)
        elif self._rate < _COMFORT * self._budget:
            self._interval = max(self._interval * _SHRINK, self._shortest)
