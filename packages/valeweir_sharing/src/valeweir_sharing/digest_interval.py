"""Interval between a router's digests, adapted to a budget for control traffic."""

_LENGTHEN_FACTOR = 1.15
_SHORTEN_FACTOR = 0.95
_SHORTEN_BELOW_RATIO = 0.8
_EWMA_ALPHA = 0.3
_MAX_PRESSURE_FACTOR = 8.0
MIN_INTERVALS_PER_LEASE = 6


class DigestInterval:
    """The interval between digests, and a factor that reduces slot transfers.

    While the router sends more bytes than the budget allows, the interval
    grows, up to a sixth of a lease. If that is not enough, `pressure` grows and
    widens the hand-back slack, so that fewer slots are returned to their
    owners. When the rate falls below the budget both shrink again, `pressure`
    first.

    Parameters
    ----------
    cfg : FleetSettings

    Attributes
    ----------
    pressure : float
        Factor on the hand-back slack, from 1 to 8.
    """

    def __init__(self, cfg):
        self._min_interval = cfg["interval"]
        self._max_interval = max(
            cfg["interval"], cfg["lease"] / MIN_INTERVALS_PER_LEASE
        )
        self._budget = cfg["byte_budget"]
        self._interval = self._min_interval
        self._last_sample = None
        self._rate = 0.0
        self.pressure = 1.0

    def get_interval(self):
        """Return the seconds until the next digest."""
        return self._interval

    def note(self, sent_bytes, now):
        """Update the send rate and adapt the interval and the pressure to it.

        Parameters
        ----------
        sent_bytes : int
            Bytes sent since the start. A decrease is a restart of the counter:
            that sample only becomes the base of the next one.
        """
        last_sample, self._last_sample = self._last_sample, (sent_bytes, now)
        if last_sample is None or now <= last_sample[1] or sent_bytes < last_sample[0]:
            return
        rate = (sent_bytes - last_sample[0]) / (now - last_sample[1])
        self._rate += _EWMA_ALPHA * (rate - self._rate)
        if self._rate > self._budget:
            self._reduce_rate()
        elif self._rate < _SHORTEN_BELOW_RATIO * self._budget:
            self._raise_rate()

    def _reduce_rate(self):
        if self._interval < self._max_interval:
            self._interval = min(self._interval * _LENGTHEN_FACTOR, self._max_interval)
        else:
            self.pressure = min(self.pressure * _LENGTHEN_FACTOR, _MAX_PRESSURE_FACTOR)

    def _raise_rate(self):
        if self.pressure > 1.0:
            self.pressure = max(self.pressure * _SHORTEN_FACTOR, 1.0)
        else:
            self._interval = max(self._interval * _SHORTEN_FACTOR, self._min_interval)
