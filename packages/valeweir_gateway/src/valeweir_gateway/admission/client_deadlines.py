"""How long clients of a route are ready to wait, found out from what they say.

A client says with each try how long it will still wait. Its first try says the most, so
what a try says less than the most of late has been spent on tries before it. The
route's own timeout tells nothing of that: it may be shorter or longer. Where clients of
one route differ, the less patient ones count as having come back.
"""

# Seconds for which what clients said counts, at least; twice that at most.
_WINDOW_S = 5.0


class Patience:
    """The longest waits that clients of each route named lately, in seconds."""

    def __init__(self):
        self._window_start = 0.0
        self._current_max = {}
        self._previous_max = {}

    def note(self, route, remaining, now):
        """Note a try; return the seconds spent on tries before it."""
        if now - self._window_start > _WINDOW_S:
            self._window_start = now
            self._previous_max, self._current_max = self._current_max, {}
        max_remaining = max(remaining, self._current_max.get(route, 0.0))
        self._current_max[route] = max_remaining
        return max(max_remaining, self._previous_max.get(route, 0.0)) - remaining
