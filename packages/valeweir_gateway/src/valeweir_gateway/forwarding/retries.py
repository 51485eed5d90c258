"""This gateway's part of the fleet's budget of repeated sends."""

import collections
import threading

_SAFETY_FACTOR = 0.7


class RetryBudget:
    """Repeated sends by service within a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request of the window, fleet-wide.
    slack : float
        Repeats allowed besides, fleet-wide; dealt out among the gateways.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, ratio, slack, window):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.gateways = 1
        self._lock = threading.Lock()
        self._requests = {}
        self._retries = {}

    def note_request(self, service, now):
        """Count the first send of a request."""
        with self._lock:
            self._requests.setdefault(service, collections.deque()).append(now)

    def spend(self, service, now):
        """Take one repeat; return False where the budget is used up."""
        with self._lock:
            requests = self._trim(self._requests, service, now)
            retries = self._trim(self._retries, service, now)
            allowed = self.ratio * len(requests) + self.slack / self.gateways
            if len(retries) + 1 > _SAFETY_FACTOR * allowed:
                return False
            retries.append(now)
            return True

    def _trim(self, table, service, now):
        times = table.setdefault(service, collections.deque())
        while times and times[0] < now - self.window:
            times.popleft()
        return times
