"""Backoffs that upstreams request, and the gradual return of requests after them.

An upstream that sheds load rejects a request and states for how long this gateway
should send it nothing more. It rejects immediately and so looks idle, which would make
it the first choice for all following requests. After the backoff, the number of
concurrent requests is limited at first: sending all withheld requests at the same time
would make the upstream shed load again.
"""

import threading

# Longer backoffs are cut to this, so that a faulty response cannot take an upstream out
# of use permanently.
MAX_BACKOFF_S = 600.0
# After the backoff, the limit of concurrent requests doubles with each step.
_STEP_S = 0.2
_STEP_COUNT = 6
# Maximum jitter of ``Retry-After``, relative to the time until the first backoff ends,
# with a lower bound.
_MAX_JITTER_RATIO = 0.3
_MIN_JITTER_S = 0.2


class Backoffs:
    """Backoffs that upstream instances requested from this gateway, by instance id."""

    def __init__(self):
        # End of each backoff on the monotonic clock. An entry is kept until the limit
        # of concurrent requests is lifted.
        self._end_times = {}
        # Instances whose end of backoff `take_ended` has not returned yet.
        self._unreported = set()
        # Responses add backoffs on the event loop; a timer and the threads that read
        # the store remove them.
        self._lock = threading.Lock()

    def __bool__(self):
        return bool(self._end_times)

    def add(self, instance_id, seconds, now):
        """Add a backoff that starts now; return whether none was active.

        It never shortens an active backoff.
        """
        end = now + min(seconds, MAX_BACKOFF_S)
        with self._lock:
            is_new = not self.is_active(instance_id, now)
            self._end_times[instance_id] = max(end, self.get_end(instance_id))
            self._unreported.add(instance_id)
        return is_new

    def is_active(self, instance_id, now):
        """Return whether the instance is backing off."""
        return now < self.get_end(instance_id)

    def may_send(self, instance_id, running, now):
        """Return whether a request may be sent in addition to ``running`` ones."""
        end = self._end_times.get(instance_id)
        if end is None:
            return True
        limit = compute_concurrency_limit(now - end)
        return limit is None or running < limit

    def get_end(self, instance_id):
        """Return the end of the backoff (monotonic clock), 0 if there is none."""
        return self._end_times.get(instance_id, 0.0)

    def compute_retry_after(self, instance_ids, now, rng):
        """Return the seconds after which a client may retry at one of the instances.

        The first backoff has ended by then. Jitter keeps clients from retrying at the
        same moment.
        """
        ends = [self.get_end(instance_id) for instance_id in instance_ids]
        wait = max(0.0, min(ends, default=now) - now)
        return wait + rng.uniform(0.0, max(_MIN_JITTER_S, _MAX_JITTER_RATIO * wait))

    def count_active(self, now):
        """Return the number of instances that are backing off."""
        return sum(now < end for end in list(self._end_times.values()))

    def take_ended(self, now):
        """Return the ids of instances whose backoff has ended, each only once."""
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
        """Remove the backoff of an instance that no longer exists."""
        with self._lock:
            self._end_times.pop(instance_id, None)
            self._unreported.discard(instance_id)


def compute_concurrency_limit(since_end):
    """Return the limit of concurrent requests, None for no limit.

    ``since_end`` is the time since the end of the backoff in seconds.
    """
    if since_end < 0.0:
        return 0
    step = int(since_end / _STEP_S)
    return None if step >= _STEP_COUNT else 1 << step
