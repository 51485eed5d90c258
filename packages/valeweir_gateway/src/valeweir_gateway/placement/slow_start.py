"""Slow start: a fleet-wide limit on requests to upstreams that are new in use.

A warming upstream handles only a few requests per second and fails beyond that, while
it looks best to all gateways at the same time because it is idle. Gateways cannot count
each other's requests within a second. Each gateway therefore draws random times at
which it gets a permit to send one request, at an equal share of a fleet-wide mean rate.
All permits together form a Poisson process with that mean, however gateways join, leave
or differ in their state. A gateway that is unreachable or stopped only leaves its share
unused, and gateways need no messages from each other.

The mean is so far below the bound that one second in a million exceeds the bound if all
permits are used: 2.6 per second for a bound of 14.
"""

import functools
import math

# Probability that the permits of one second exceed the bound.
_EXCESS_PROBABILITY = 1e-6
_BISECTION_COUNT = 40
# With a longer lifetime, unused permits of one second could be used in the next.
_PERMIT_LIFETIME_S = 0.25
# Time after the start during which the size of the fleet may still be unknown.
_MEMBERSHIP_WAIT_S = 2.0


class SlowStart:
    """The warming instances, and the permits of this gateway to send to them.

    Parameters
    ----------
    rng : random.Random
    count_gateways : callable
        Returns the number of gateways, or None while it is unknown.
    bound : settings.SlowStart
    """

    def __init__(self, rng, count_gateways, bound):
        self._rng = rng
        self._count_gateways = count_gateways
        self._bound = bound
        # End of each warm-up, on the monotonic clock.
        self._end_times = {}
        self._permit_times = {}

    def __len__(self):
        return len(self._end_times)

    def mark_warming(self, instance_id, end_time, now):
        """Mark an instance as warming; return whether it was not before.

        A warm-up already recorded is never shortened.
        """
        is_new = not self.is_warming(instance_id, now)
        self._end_times[instance_id] = max(end_time, self.get_end(instance_id))
        return is_new

    def forget(self, instance_id):
        """Remove an instance that is warm or gone; return whether it was present."""
        self._permit_times.pop(instance_id, None)
        return self._end_times.pop(instance_id, None) is not None

    def is_warming(self, instance_id, now):
        """Return whether requests to the instance need a permit."""
        return self.get_end(instance_id) > now

    def get_end(self, instance_id):
        """Return the end of the warm-up (monotonic clock), 0 if there was none."""
        return self._end_times.get(instance_id, 0.0)

    def take_ended(self, now):
        """Return and remove the ids of instances whose warm-up has ended."""
        ended = [
            instance_id
            for instance_id, end_time in self._end_times.items()
            if now >= end_time
        ]
        for instance_id in ended:
            self.forget(instance_id)
        return ended

    def has_permit(self, instance_id, rate, now):
        """Return whether this gateway has a permit for the instance now.

        Parameters
        ----------
        rate : float
            Requests per second that the instance can handle while warming.
        """
        permit_time = self._permit_times.get(instance_id)
        if permit_time is None or now > permit_time + _PERMIT_LIFETIME_S:
            permit_time = self._draw_permit_time(instance_id, rate, now)
        return permit_time is not None and permit_time <= now

    def use_permit(self, instance_id, rate, now):
        """Use the permit to send one request; return whether there was one."""
        if not self.has_permit(instance_id, rate, now):
            return False
        self._draw_permit_time(instance_id, rate, now)
        return True

    def _draw_permit_time(self, instance_id, rate, now):
        """Draw the time of the next permit; expired permits are skipped."""
        mean = self._compute_own_rate(rate)
        if mean is None:
            return None
        permit_time = self._permit_times.get(instance_id, now)
        permit_time = max(
            permit_time, now - _PERMIT_LIFETIME_S
        ) + self._rng.expovariate(mean)
        self._permit_times[instance_id] = permit_time
        return permit_time

    def _compute_own_rate(self, rate):
        gateway_count = self._count_gateways()
        if gateway_count is None:
            return None
        max_rate = rate * self._bound.factor + self._bound.slack
        return min(rate, compute_poisson_mean(max_rate)) / gateway_count


@functools.cache
def compute_poisson_mean(bound):
    """Return the mean of a Poisson distribution that rarely exceeds ``bound``.

    It follows from the Chernoff bound, which overestimates the probability.
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


def create_gateway_counter(state):
    """Return the function that counts the gateways of the fleet, for `SlowStart`.

    A gateway that has just started may have no other members in its list, and would use
    the whole rate itself. The function therefore returns None until the gateway has
    read the list of members, or has run long enough to receive reports of others.
    """
    started = state.clock()

    def count():
        if not state.members_known and state.clock() - started < _MEMBERSHIP_WAIT_S:
            return None
        return max(1, len(state.members), state.retries.gateways)

    return count
