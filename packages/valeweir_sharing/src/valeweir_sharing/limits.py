"""Admission limits: how much of a router one client account may occupy."""

from typing import NamedTuple

from valeweir.models import WorkClass

_SHARE_FACTOR = 4.0
_MIN_REQUEST_COUNT = 8
_READING_RATIO = 0.75
_MAX_RETRY_AFTER_S = 30.0


class AdmissionLimits(NamedTuple):
    """Limits of one router as a whole; body sizes are in bytes."""

    max_waiting: int
    max_waiting_body: int
    max_body: int


class Occupancy:
    """Admitted requests and the bytes of their bodies, in total and by account."""

    def __init__(self):
        self.waiting = 0
        self.body_bytes = 0
        self._by_account = {}

    def get(self, account):
        """Return ``(requests, bytes)`` of an account."""
        return self._by_account.get(account, (0, 0))

    def add(self, account, body_size):
        """Count a request on admission."""
        count, body_bytes = self.get(account)
        self._by_account[account] = (count + 1, body_bytes + body_size)
        self.waiting += 1
        self.body_bytes += body_size

    def remove(self, account, body_size):
        """Remove a request from the counts when it ends."""
        count, body_bytes = self.get(account)
        if count <= 1:
            self._by_account.pop(account, None)
        else:
            self._by_account[account] = (count - 1, body_bytes - body_size)
        self.waiting -= 1
        self.body_bytes -= body_size


def get_max_requests(limits, weight_ratio, work_class):
    """Return how many requests an account may have at this router at once.

    Parameters
    ----------
    weight_ratio : float
        The account's weight over the sum of all weights, 0 to 1.
    """
    max_requests = limits.max_waiting * min(1.0, _SHARE_FACTOR * weight_ratio)
    if work_class is WorkClass.READING:
        max_requests *= _READING_RATIO
    return max(_MIN_REQUEST_COUNT, int(max_requests))


def find_exceeded_limit(
    limits, occupancy, account, weight_ratio, work_class, body_size
):
    """Return the name of the limit that a new request would exceed, or None."""
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
    """Return the whole seconds after which a refused client should retry.

    This is the time to serve half of the waiting requests, with random jitter
    so that refused clients do not all retry at the same time.
    """
    wait_s = waiting / max(rate, 1.0) / 2
    spread_factor = rng.uniform(0.5, 1.5)
    return max(1, round(min(wait_s, _MAX_RETRY_AFTER_S) * spread_factor))


class RetryBudget:
    """Token buckets that limit an account's retries to a ratio of its requests.

    Parameters
    ----------
    ratio : float
        Tokens added for each request; a retry uses one token.
    reserve : float
        Tokens of an account at the start; a bucket holds at most twice as many.
    """

    def __init__(self, ratio=0.1, reserve=5.0):
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = {}

    def earn(self, account):
        """Add the tokens of one request."""
        tokens = self._tokens.get(account, self._reserve)
        self._tokens[account] = min(self._reserve * 2, tokens + self._ratio)

    def spend(self, account):
        """Use one token for a retry; return False if none is left."""
        tokens = self._tokens.get(account, self._reserve)
        if tokens < 1.0:
            return False
        self._tokens[account] = tokens - 1.0
        return True
