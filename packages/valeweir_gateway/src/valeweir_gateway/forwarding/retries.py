"""This gateway's part of the fleet's retry budget."""

import collections
import threading

_SAFETY_FACTOR = 0.7


class RetryBudget:
    """Budget of retries per service within a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window, fleet-wide.
    slack : float
        Further retries allowed, fleet-wide; divided among the gateways.
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

    def record_request(self, service, now):
        """Count the first send of a request."""
        with self._lock:
            self._requests.setdefault(service, collections.deque()).append(now)

    def spend(self, service, now):
        """Spend one retry; return False if the budget is used up."""
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
