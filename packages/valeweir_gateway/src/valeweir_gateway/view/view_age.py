"""Log lines on a view that is older than operators allow, and counts of its effects."""

from ..view_source import describe_catalog, get_version
from .store_read_policy import get_allowed_delay


def is_outdated(state, now):
    """Return whether a change may be in force elsewhere for longer than allowed."""
    age = state.freshness.get_age(now)
    return age is not None and age > get_allowed_delay(state.cfg)


def count_outdated_request(state, outcome, now):
    """Count a request if it is decided while the view is outdated.

    Parameters
    ----------
    outcome : str
        "sent" to an upstream, or "denied": a 503 instead of a response that would have
        blamed the client.
    """
    if is_outdated(state, now):
        state.outdated_requests[outcome] += 1


class ViewAgeMonitor:
    """Logs when the view becomes outdated and when it no longer is.

    The second line tells how many requests were decided meanwhile. A line for each of
    them would be left out under load.
    """

    def __init__(self, state):
        self._state = state
        self._outdated_since = None
        self._counts_before = {}

    def check(self):
        """Log a change since the last check."""
        now = self._state.clock()
        if is_outdated(self._state, now):
            if self._outdated_since is None:
                self._outdated_since = now
                self._counts_before = dict(self._state.outdated_requests)
                self._log("view outdated", now)
        elif self._outdated_since is not None:
            self._log(
                "view recent",
                now,
                outdated_s=round(now - self._outdated_since, 3),
                **{
                    name: count - self._counts_before.get(name, 0)
                    for name, count in self._state.outdated_requests.items()
                },
            )
            self._outdated_since = None

    def _log(self, event, now, **fields):
        state = self._state
        state.log.note(
            event, version=get_version(state), **describe_catalog(state, now), **fields
        )
