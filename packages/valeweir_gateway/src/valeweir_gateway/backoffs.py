"""Pauses that upstreams ask for, and how sends come back after them.

An upstream that sheds load rejects a request and says for how long it wants nothing
more from this gateway. It rejects at once and so looks idle, which would make it the
first choice for every request that follows.
"""

# Seconds; longer pauses are cut to this, so that a faulty answer cannot take an
# upstream out of use for good.
MAX_BACKOFF_S = 600.0


class Backoffs:
    """Upstream instances that asked this gateway for a pause, by instance id."""

    def __init__(self):
        # When each pause ends, on the steady clock.
        self._ends = {}

    def add(self, instance_id, seconds, now):
        """Note a pause asked for now; return whether none was in force.

        A later, shorter one does not shorten one that is in force.
        """
        end = now + min(seconds, MAX_BACKOFF_S)
        is_new = not self.is_active(instance_id, now)
        self._ends[instance_id] = max(end, self.get_end(instance_id))
        return is_new

    def is_active(self, instance_id, now):
        """Return whether the instance wants nothing from this gateway now."""
        return now < self.get_end(instance_id)

    def get_end(self, instance_id):
        """Return when the pause ends (steady clock), 0 where none was asked for."""
        return self._ends.get(instance_id, 0.0)

    def count_active(self, now):
        """Return how many instances are paused."""
        return sum(now < end for end in list(self._ends.values()))

    def take_ended(self, now):
        """Return and forget the ids of instances whose pause is over."""
        ended = [name for name, end in list(self._ends.items()) if now >= end]
        for name in ended:
            self._ends.pop(name, None)
        return ended

    def forget(self, instance_id):
        """Drop what is known of an instance that is gone."""
        self._ends.pop(instance_id, None)
