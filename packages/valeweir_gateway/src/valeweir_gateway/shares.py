"""How far each client account is in its fair share of what the fleet serves."""

import threading
from typing import NamedTuple

from .reports import get_digest
from .sums import add_rows
from .usage import Amount, compute_level

_REFRESH = 0.05
_LEAST_FACTOR = 0.25
_GREATEST_FACTOR = 1.4
_STEEPNESS = 3.0
_SMALL_PART = 0.5
# An account gets less than its due by more than this part, and by more than
# some of the largest requests, before others are held back for it.
_STARVED_PART = 0.6
_TOLERATED_REQUESTS = 3
_MOST_TIMES_LEAST = 1.7
_LEAST_CAP_PART = 0.6


class Standing(NamedTuple):
    """How far an account is in its share.

    ``factor`` is by how much its wait limit differs, about 1: an account beyond
    its share meets a lower limit at once, and one far below it a higher one, so
    that what is left of the engines' queues goes to those below their share.
    ``capped`` accounts have to wait for one that is starved. Elsewhere capacity
    may idle meanwhile: the gap between two accounts with work waiting is bounded
    also where one of them meets a crowded gateway.
    """

    factor: float
    capped: bool


# Of a request without an account, and of all where everybody can have what it asks.
UNLIMITED = Standing(1.0, False)


class Shares:
    """Standing of accounts by the fleet-wide usage window.

    The level is max-min over what accounts asked; what can be given is what
    the configuration declares, or what was begun if that is more: prompt
    parts read before cost less than declared, and engines must not idle.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._window = cfg.window
        self._lock = threading.Lock()
        self._at = -1.0
        self._level = float("inf")
        self._amounts = {}
        self._remote = {}
        self._largest = 0
        self._cap = float("inf")

    def note_asked(self, account, cost, now):
        """Count the tokens of a request that has come."""
        self._largest = max(self._largest, cost)
        self._usage.add(get_digest(account), cost, 0, now)

    def note_begun(self, account, cost, now):
        """Count the tokens of a request that an upstream was sent."""
        self._usage.add(get_digest(account), 0, cost, now)

    def set_remote(self, amounts):
        """Take in what the other gateways were asked and began, by account."""
        self._remote = amounts

    def get_standing(self, account, tokens_per_second, now):
        """Return the `Standing` of an account."""
        with self._lock:
            self._refresh(tokens_per_second, now)
            amount = self._amounts.get(get_digest(account))
            if self._level == float("inf"):
                return UNLIMITED
            # The level is 0 where nothing was asked for within the window.
            used = amount.begun / self._level if amount else 0.0
            capped = amount is not None and amount.begun > self._cap
            return Standing(compute_factor(used), capped)

    def get_level(self):
        """Return the level in tokens a window, None where all have what they ask."""
        return None if self._level == float("inf") else round(self._level)

    def _refresh(self, tokens_per_second, now):
        if now - self._at < _REFRESH:
            return
        self._at = now
        amounts = dict(self._usage.get_amounts(now))
        add_rows(amounts, self._remote)
        self._amounts = {name: Amount(*row) for name, row in amounts.items()}
        begun = sum(amount.begun for amount in self._amounts.values())
        capacity = max(begun, tokens_per_second * self._window)
        asked = [amount.asked for amount in self._amounts.values()]
        self._level = compute_level(asked, capacity)
        slack = _TOLERATED_REQUESTS * self._largest
        self._cap = compute_cap(self._amounts.values(), self._level, slack)


def compute_cap(amounts, level, slack):
    """Return the tokens that no account may exceed, infinite if none is starved."""
    starved = [
        amount.begun
        for amount in amounts
        if amount.begun + slack < _STARVED_PART * min(amount.asked, level)
    ]
    if not starved or level == float("inf"):
        return float("inf")
    return max(_MOST_TIMES_LEAST * min(starved), _LEAST_CAP_PART * level)


def compute_factor(standing):
    """Return the factor of the wait limit for a part of the share used up."""
    if standing > 1.0:
        return max(_LEAST_FACTOR, 1.0 - _STEEPNESS * (standing - 1.0))
    if standing <= _SMALL_PART:
        return _GREATEST_FACTOR
    below = (1.0 - standing) / (1.0 - _SMALL_PART)
    return 1.0 + below * (_GREATEST_FACTOR - 1.0)
