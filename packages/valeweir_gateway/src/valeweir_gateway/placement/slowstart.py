"""Slow start: what may be sent to upstreams that have just come into use.

A warming upstream bears few requests a second and fails beyond that, while it
looks best to every gateway at once, being idle. Gateways cannot count each other's
sends within a second, so each draws at random the times of permits to send one
request there, at a rate that is its even part of a fleet-wide mean. All permits
together are then a Poisson process of that mean, however gateways come and go or
differ in what they know: one that is cut off or gone only leaves its part unused,
and none has to be heard from.

The mean is so far below the bound that a second goes beyond it once in a million,
with every permit used: 2.6 a second where the bound is 14.
"""

import functools
import math

# Chance that one second's permits go beyond the bound.
_EXCESS_PROBABILITY = 1e-6
_BISECTION_COUNT = 40
# Seconds in which a permit must be used. Longer ones would let what was not used in one
# second be sent in the next.
_PERMIT_LIFETIME_S = 0.25
# Seconds after the start in which the size of the fleet may not be known yet.
_MEMBERSHIP_WAIT_S = 2.0


class SlowStart:
    """Which instances warm up, and when this gateway may send to each.

    Parameters
    ----------
    rng : random.Random
    count_gateways : callable
        Returns how many gateways there are, or None while that is not known.
    bound : settings.SlowStart
    """

    def __init__(self, rng, count_gateways, bound):
        self._rng = rng
        self._count_gateways = count_gateways
        self._bound = bound
        # Until when each warms up, on the steady clock.
        self._end_times = {}
        self._permit_times = {}

    def __len__(self):
        return len(self._end_times)

    def note(self, instance_id, until, now):
        """Note that an instance warms up; return whether that is news."""
        is_new = not self.is_warming(instance_id, now)
        self._end_times[instance_id] = max(until, self.get_end(instance_id))
        return is_new

    def forget(self, instance_id):
        """Note that an instance is warm, or gone; return whether it was warming."""
        self._permit_times.pop(instance_id, None)
        return self._end_times.pop(instance_id, None) is not None

    def is_warming(self, instance_id, now):
        """Return whether sends to the instance need a permit."""
        return self.get_end(instance_id) > now

    def get_end(self, instance_id):
        """Return when the instance is warm (steady clock), 0 where it always was."""
        return self._end_times.get(instance_id, 0.0)

    def take_ended(self, now):
        """Return and forget the ids of instances whose time of warming up is over."""
        ended = [name for name, until in self._end_times.items() if now >= until]
        for name in ended:
            self.forget(name)
        return ended

    def has_permit(self, instance_id, rate, now):
        """Return whether this gateway has a permit for the instance now.

        Parameters
        ----------
        rate : float
            Requests a second that the instance bears while it warms up.
        """
        at = self._permit_times.get(instance_id)
        if at is None or now > at + _PERMIT_LIFETIME_S:
            at = self._draw_permit_time(instance_id, rate, now)
        return at is not None and at <= now

    def use_permit(self, instance_id, rate, now):
        """Use the permit for one send; return whether there was one."""
        if not self.has_permit(instance_id, rate, now):
            return False
        self._draw_permit_time(instance_id, rate, now)
        return True

    def _draw_permit_time(self, instance_id, rate, now):
        """Draw the next permit's time, passing over those that nobody came for."""
        mean = self._compute_own_rate(rate)
        if mean is None:
            return None
        at = self._permit_times.get(instance_id, now)
        at = max(at, now - _PERMIT_LIFETIME_S) + self._rng.expovariate(mean)
        self._permit_times[instance_id] = at
        return at

    def _compute_own_rate(self, rate):
        gateways = self._count_gateways()
        if gateways is None:
            return None
        max_rate = rate * self._bound.factor + self._bound.slack
        return min(rate, compute_poisson_mean(max_rate)) / gateways


@functools.cache
def compute_poisson_mean(bound):
    """Return the mean of a Poisson count that rarely goes beyond ``bound``.

    By Chernoff's inequality, which errs on the safe side.
    """
    min_excess = math.floor(bound) + 1
    low, high = 0.0, float(min_excess)
    for _ in range(_BISECTION_COUNT):
        mean = (low + high) / 2
        if min_excess - mean + min_excess * math.log(mean / min_excess) > math.log(
            _EXCESS_PROBABILITY
        ):
            high = mean
        else:
            low = mean
    return low


def create_gateway_count(state):
    """Return a function that counts the fleet, for `SlowStart`.

    A gateway that has just started may know nobody and would take the whole rate
    for itself; it waits until it has read the list of members, or heard reports.
    """
    started = state.clock()

    def count():
        if not state.members_known and state.clock() - started < _MEMBERSHIP_WAIT_S:
            return None
        return max(1, len(state.members), state.retries.gateways)

    return count
