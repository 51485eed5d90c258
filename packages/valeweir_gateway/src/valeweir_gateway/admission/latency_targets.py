"""Latency targets of the routes in use, by service.

An engine reads prompts in order of arrival, so a queue that a route with a long
latency target allows also delays the requests of other routes.
"""

import math
import threading

_RETENTION_S = 5.0


class RecentLatencyTargets:
    """Latency targets of the recent requests to each service, in seconds."""

    def __init__(self):
        self._lock = threading.Lock()
        self._used_at = {}

    def observe(self, service, target, now):
        """Record a request with this latency target; return the shortest in use."""
        with self._lock:
            used_at = self._used_at.setdefault(service, {})
            used_at[target] = now
            for expired in [
                value for value, at in used_at.items() if now - at > _RETENTION_S
            ]:
                del used_at[expired]
            return min(used_at)

    def get_min_target(self, now):
        """Return the shortest latency target in use at any service, or infinity."""
        with self._lock:
            rows = [
                row for used_at in self._used_at.values() for row in used_at.items()
            ]
        return min(
            (value for value, at in rows if now - at <= _RETENTION_S), default=math.inf
        )
