"""Goals of the routes in use, by service.

An engine reads prompts in order of arrival, so the queue that a patient route
lets grow is met by the others too.
"""

import math
import threading

_IN_USE = 5.0


class RecentGoals:
    """Which goals requests of a service had lately, in seconds."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen = {}

    def note(self, service, goal, now):
        """Note a request with this goal; return the least one in use."""
        with self._lock:
            goals = self._seen.setdefault(service, {})
            goals[goal] = now
            for old in [g for g, at in goals.items() if now - at > _IN_USE]:
                del goals[old]
            return min(goals)

    def get_least(self, now):
        """Return the least goal in use at any service, infinity for none."""
        with self._lock:
            rows = [row for goals in self._seen.values() for row in goals.items()]
        return min((g for g, at in rows if now - at <= _IN_USE), default=math.inf)
