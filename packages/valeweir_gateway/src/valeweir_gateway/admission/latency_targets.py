"""Latency targets of the routes in use, by service.

An engine reads prompts in order of arrival, so the queue that a patient route
lets grow is met by the others too.
"""

import math
import threading

_IN_USE = 5.0


class RecentTargets:
    """Which latency targets requests of a service had lately, in seconds."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen = {}

    def note(self, service, target, now):
        """Note a request with this latency target; return the least one in use."""
        with self._lock:
            seen = self._seen.setdefault(service, {})
            seen[target] = now
            for old in [g for g, at in seen.items() if now - at > _IN_USE]:
                del seen[old]
            return min(seen)

    def get_least(self, now):
        """Return the least latency target in use at any service, infinity for none."""
        with self._lock:
            rows = [row for seen in self._seen.values() for row in seen.items()]
        return min((g for g, at in rows if now - at <= _IN_USE), default=math.inf)
