"""Limits at the entry: how much of a router one client account may occupy."""

from typing import NamedTuple

from valeweir.models import WorkClass

_SHARE_FACTOR = 4.0
_MIN_REQUEST_COUNT = 8
_READING_RATIO = 0.75
_MAX_RETRY_AFTER_S = 30.0


class EntryLimits(NamedTuple):
    """Totals of one router; sizes in bytes."""

    max_waiting: int
    max_waiting_body: int
    max_body: int


class Occupancy:
    """Queue places and body memory in use, in total and by account."""

    def __init__(self):
        self.waiting = 0
        self.body_bytes = 0
        self._by_account = {}

    def get(self, account):
        """Return ``(requests, bytes)`` of an account."""
        return self._by_account.get(account, (0, 0))

    def add(self, account, body_size):
        """Count a request from its arrival."""
        count, body_bytes = self.get(account)
        self._by_account[account] = (count + 1, body_bytes + body_size)
        self.waiting += 1
        self.body_bytes += body_size

    def remove(self, account, body_size):
        """Count a request's end."""
        count, body_bytes = self.get(account)
        if count <= 1:
            self._by_account.pop(account, None)
        else:
            self._by_account[account] = (count - 1, body_bytes - body_size)
        self.waiting -= 1
        self.body_bytes -= body_size


def get_max_requests(limits, weight_ratio, work_class):
    """Return how many requests an account may have at this router.

    Parameters
    ----------
    weight_ratio : float
        The account's weight over the sum of all weights, 0 to 1.
    """
    max_requests = limits.max_waiting * min(1.0, _SHARE_FACTOR * weight_ratio)
    if work_class is WorkClass.READING:
        max_requests *= _READING_RATIO
    return max(_MIN_REQUEST_COUNT, int(max_requests))


def find_excess(limits, occupancy, account, weight_ratio, work_class, body_size):
    """Return the name of the limit that a new request breaks, or None."""
    if occupancy.waiting >= limits.max_waiting:
        return "router-full"
    if occupancy.body_bytes + body_size > limits.max_waiting_body:
        return "router-memory"
    count, body_bytes = occupancy.get(account)
    if count >= get_max_requests(limits, weight_ratio, work_class):
        return "account-places"
    max_body_bytes = limits.max_waiting_body * min(1.0, _SHARE_FACTOR * weight_ratio)
    if body_bytes + body_size > max(max_body_bytes, limits.max_body):
        return "account-memory"
    return None


def get_retry_after(waiting, rate, rng):
    """Return whole seconds after which a refused caller should come back.

    The time to work off half of what waits, spread so that refused callers
    do not all return together.
    """
    wait_s = waiting / max(rate, 1.0) / 2
    spread_factor = rng.uniform(0.5, 1.5)
    return max(1, round(min(wait_s, _MAX_RETRY_AFTER_S) * spread_factor))


class RetryBudget:
    """Tokens that bound an account's retries to a part of its requests."""

    def __init__(self, ratio=0.1, reserve=5.0):
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = {}

    def earn(self, account):
        """Credit one request."""
        tokens = self._tokens.get(account, self._reserve)
        self._tokens[account] = min(self._reserve * 2, tokens + self._ratio)

    def spend(self, account):
        """Take one retry; False where the budget is used up."""
        tokens = self._tokens.get(account, self._reserve)
        if tokens < 1.0:
            return False
        self._tokens[account] = tokens - 1.0
        return True
