"""Time that clients have spent on earlier attempts, derived from their deadlines.

Each attempt carries the time that its client will still wait. The first attempt of a
request carries the longest time, so the difference to the longest recent one on the
route is taken as spent on earlier attempts. The route's timeout cannot serve as the
reference, since it may be shorter or longer than the clients' deadlines. If clients of
one route use different deadlines, requests with the shorter ones count as retries.
"""

# Values are kept for at least this long and at most twice as long.
_WINDOW_S = 5.0


class ClientDeadlines:
    """The longest remaining times of recent attempts, by route and in seconds."""

    def __init__(self):
        self._window_start = 0.0
        self._current_max = {}
        self._previous_max = {}

    def observe(self, route, remaining, now):
        """Record an attempt; return the seconds spent on earlier attempts."""
        if now - self._window_start > _WINDOW_S:
            self._window_start = now
            self._previous_max, self._current_max = self._current_max, {}
        max_remaining = max(remaining, self._current_max.get(route, 0.0))
        self._current_max[route] = max_remaining
        return max(max_remaining, self._previous_max.get(route, 0.0)) - remaining
