"""Pauses that upstreams ask for, and how sends come back after them.

An upstream that sheds load rejects a request and says for how long it wants nothing
more from this gateway. It rejects at once and so looks idle, which would make it the
first choice for every request that follows. Once its pause is over, requests come back
a few at a time: all that were kept from it would make it shed again.
"""

# Seconds; longer pauses are cut to this, so that a faulty answer cannot take an
# upstream out of use for good.
MAX_BACKOFF_S = 600.0
# After the pause the requests that may run there double with each step.
_STEP_S = 0.2
_STEPS = 6
# A client that is told to come back does so at most so much later than it could, as a
# ratio of the time until then and in seconds.
_SPREAD_RATIO = 0.3
_MIN_SPREAD_S = 0.2


class Backoffs:
    """Upstream instances that asked this gateway for a pause, by instance id."""

    def __init__(self):
        # When each pause ends, on the steady clock; kept until all may come back.
        self._ends = {}
        # Those whose end was not told yet.
        self._untold = set()

    def __bool__(self):
        return bool(self._ends)

    def add(self, instance_id, seconds, now):
        """Note a pause asked for now; return whether none was in force.

        A later, shorter one does not shorten one that is in force.
        """
        end = now + min(seconds, MAX_BACKOFF_S)
        is_new = not self.is_active(instance_id, now)
        self._ends[instance_id] = max(end, self.get_end(instance_id))
        self._untold.add(instance_id)
        return is_new

    def is_active(self, instance_id, now):
        """Return whether the instance wants nothing from this gateway now."""
        return now < self.get_end(instance_id)

    def may_send(self, instance_id, running, now):
        """Return whether one more request may go there beside ``running`` ones."""
        end = self._ends.get(instance_id)
        if end is None:
            return True
        window = compute_window(now - end)
        return window is None or running < window

    def get_end(self, instance_id):
        """Return when the pause ends (steady clock), 0 where none was asked for."""
        return self._ends.get(instance_id, 0.0)

    def compute_return(self, instance_ids, now, rng):
        """Return the seconds after which a client may come back to one of these.

        True, as the first of them takes something then, and spread, so that not all
        come back at that moment.
        """
        ends = [self.get_end(instance_id) for instance_id in instance_ids]
        wait = max(0.0, min(ends, default=now) - now)
        return wait + rng.uniform(0.0, max(_MIN_SPREAD_S, _SPREAD_RATIO * wait))

    def count_active(self, now):
        """Return how many instances are paused."""
        return sum(now < end for end in list(self._ends.values()))

    def take_ended(self, now):
        """Return the ids of instances whose pause is over, each once."""
        ended = [name for name in list(self._untold) if now >= self.get_end(name)]
        self._untold.difference_update(ended)
        for name, end in list(self._ends.items()):
            if compute_window(now - end) is None:
                self.forget(name)
        return ended

    def forget(self, instance_id):
        """Drop what is known of an instance that is gone."""
        self._ends.pop(instance_id, None)
        self._untold.discard(instance_id)


def compute_window(since_end):
    """Return how many requests may run some seconds after a pause, None for any."""
    if since_end < 0.0:
        return 0
    step = int(since_end / _STEP_S)
    return None if step >= _STEPS else 1 << step
