"""How long clients of a route are ready to wait, found out from what they say.

A client says with each try how long it will still wait. Its first try says the most, so
what a try says less than the most of late has been spent on tries before it. The
route's own timeout tells nothing of that: it may be shorter or longer. Where clients of
one route differ, the less patient ones count as having come back.
"""

# Seconds for which what clients said counts, at least; twice that at most.
_WINDOW = 5.0


class Patience:
    """The longest waits that clients of each route named lately, in seconds."""

    def __init__(self):
        self._began = 0.0
        self._now = {}
        self._before = {}

    def note(self, route, wait, now):
        """Note a try; return the seconds spent on tries before it."""
        if now - self._began > _WINDOW:
            self._began = now
            self._before, self._now = self._now, {}
        most = max(wait, self._now.get(route, 0.0))
        self._now[route] = most
        return max(most, self._before.get(route, 0.0)) - wait
