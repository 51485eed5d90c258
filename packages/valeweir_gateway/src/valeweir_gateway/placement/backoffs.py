"""Pauses that upstreams ask for, and how sends come back after them.

An upstream that sheds load rejects a request and says for how long it wants nothing
more from this gateway. It rejects at once and so looks idle, which would make it the
first choice for every request that follows. Once its pause is over, requests come back
a few at a time: all that were kept from it would make it shed again.
"""

import threading

# Seconds; longer pauses are cut to this, so that a faulty answer cannot take an
# upstream out of use for good.
MAX_BACKOFF_S = 600.0
# After the pause the requests that may run there double with each step.
_STEP_S = 0.2
_STEP_COUNT = 6
# Jitter of ``Retry-After``: a ratio of the time until the first pause ends, and seconds
# that it has at least.
_MAX_JITTER_RATIO = 0.3
_MIN_JITTER_S = 0.2


class Backoffs:
    """Upstream instances that asked this gateway for a pause, by instance id."""

    def __init__(self):
        # When each pause ends, on the steady clock; kept until all may come back.
        self._end_times = {}
        # Those whose end was not reported yet.
        self._unreported = set()
        # Answers come on the event loop; a timer and the store's readers forget pauses.
        self._lock = threading.Lock()

    def __bool__(self):
        return bool(self._end_times)

    def add(self, instance_id, seconds, now):
        """Note a pause asked for now; return whether none was in force.

        A later, shorter one does not shorten one that is in force.
        """
        end = now + min(seconds, MAX_BACKOFF_S)
        with self._lock:
            is_new = not self.is_active(instance_id, now)
            self._end_times[instance_id] = max(end, self.get_end(instance_id))
            self._unreported.add(instance_id)
        return is_new

    def is_active(self, instance_id, now):
        """Return whether the instance wants nothing from this gateway now."""
        return now < self.get_end(instance_id)

    def may_send(self, instance_id, running, now):
        """Return whether one more request may go there beside ``running`` ones."""
        end = self._end_times.get(instance_id)
        if end is None:
            return True
        limit = compute_concurrency_limit(now - end)
        return limit is None or running < limit

    def get_end(self, instance_id):
        """Return when the pause ends (steady clock), 0 where none was asked for."""
        return self._end_times.get(instance_id, 0.0)

    def compute_retry_after(self, instance_ids, now, rng):
        """Return the seconds after which a client may come back to one of these.

        The first pause is over then; jitter keeps clients from returning all at once.
        """
        ends = [self.get_end(instance_id) for instance_id in instance_ids]
        wait = max(0.0, min(ends, default=now) - now)
        return wait + rng.uniform(0.0, max(_MIN_JITTER_S, _MAX_JITTER_RATIO * wait))

    def count_active(self, now):
        """Return how many instances are paused."""
        return sum(now < end for end in list(self._end_times.values()))

    def take_ended(self, now):
        """Return the ids of instances whose pause is over, each once."""
        with self._lock:
            ended = [
                instance_id
                for instance_id in self._unreported
                if now >= self.get_end(instance_id)
            ]
            self._unreported.difference_update(ended)
            for instance_id, end in list(self._end_times.items()):
                if compute_concurrency_limit(now - end) is None:
                    del self._end_times[instance_id]
        return ended

    def forget(self, instance_id):
        """Drop what is known of an instance that is gone."""
        with self._lock:
            self._end_times.pop(instance_id, None)
            self._unreported.discard(instance_id)


def compute_concurrency_limit(since_end):
    """Return how many requests may run some seconds after a pause, None for any."""
    if since_end < 0.0:
        return 0
    step = int(since_end / _STEP_S)
    return None if step >= _STEP_COUNT else 1 << step
