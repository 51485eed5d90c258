"""Limits at the entry: how much of a router one client account may occupy."""

from typing import NamedTuple

from valeweir.models import WorkClass

_SHARE_FACTOR = 4.0
_MIN_PLACES = 8
_READING_RATIO = 0.75
_MAX_RETRY_AFTER = 30.0


class EntryLimits(NamedTuple):
    """Totals of one router; sizes in bytes."""

    max_waiting: int
    max_waiting_body: int
    max_body: int


class Occupancy:
    """Queue places and body memory in use, in total and by account."""

    def __init__(self):
        self.waiting = 0
        self.body = 0
        self._by_account = {}

    def get(self, account):
        """Return ``(requests, bytes)`` of an account."""
        return self._by_account.get(account, (0, 0))

    def add(self, account, size):
        """Count a request from its arrival."""
        count, body = self.get(account)
        self._by_account[account] = (count + 1, body + size)
        self.waiting += 1
        self.body += size

    def remove(self, account, size):
        """Count a request's end."""
        count, body = self.get(account)
        if count <= 1:
            self._by_account.pop(account, None)
        else:
            self._by_account[account] = (count - 1, body - size)
        self.waiting -= 1
        self.body -= size


def get_places(limits, part, work_class):
    """Return how many requests an account may have at this router.

    Parameters
    ----------
    part : float
        The account's weight over the sum of all weights, 0 to 1.
    """
    places = limits.max_waiting * min(1.0, _SHARE_FACTOR * part)
    if work_class is WorkClass.READING:
        places *= _READING_RATIO
    return max(_MIN_PLACES, int(places))


def find_excess(limits, occupancy, account, part, work_class, size):
    """Return the name of the limit that a new request breaks, or None."""
    if occupancy.waiting >= limits.max_waiting:
        return "router-full"
    if occupancy.body + size > limits.max_waiting_body:
        return "router-memory"
    count, body = occupancy.get(account)
    if count >= get_places(limits, part, work_class):
        return "account-places"
    memory = limits.max_waiting_body * min(1.0, _SHARE_FACTOR * part)
    if body + size > max(memory, limits.max_body):
        return "account-memory"
    return None


def get_retry_after(waiting, rate, rng):
    """Return whole seconds after which a refused caller should come back.

    The time to work off half of what waits, spread so that refused callers
    do not all return together.
    """
    expected = waiting / max(rate, 1.0) / 2
    spread = rng.uniform(0.5, 1.5)
    return max(1, round(min(expected, _MAX_RETRY_AFTER) * spread))


class RetryBudget:
    """Tokens that bound an account's retries to a part of its requests."""

    def __init__(self, part=0.1, reserve=5.0):
        self._part = part
        self._reserve = reserve
        self._tokens = {}

    def earn(self, account):
        """Credit one request."""
        tokens = self._tokens.get(account, self._reserve)
        self._tokens[account] = min(self._reserve * 2, tokens + self._part)

    def spend(self, account):
        """Take one retry; False where the budget is used up."""
        tokens = self._tokens.get(account, self._reserve)
        if tokens < 1.0:
            return False
        self._tokens[account] = tokens - 1.0
        return True
