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
_NOTHING = Amount(0, 0)


class ShareView(NamedTuple):
    """What a standing was worked out from, in tokens of the window.

    ``own_begun`` is this gateway's part of ``begun``. ``level`` and ``cap`` are
    None where there is none.
    """

    asked: float = 0
    begun: float = 0
    own_begun: float = 0
    level: float | None = None
    cap: float | None = None


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
    view: ShareView = ShareView()


# Of a request without an account.
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
            digest = get_digest(account)
            amount = self._amounts.get(digest, _NOTHING)
            view = self._make_view(digest, amount)
            if self._level == float("inf"):
                return Standing(1.0, False, view)
            # The level is 0 where nothing was asked for within the window.
            used = amount.begun / self._level if amount.begun else 0.0
            capped = amount.begun > self._cap
            return Standing(compute_factor(used), capped, view)

    def _make_view(self, digest, amount):
        begun_elsewhere = self._remote.get(digest, _NOTHING)[1]
        return ShareView(
            round(amount.asked),
            round(amount.begun),
            round(amount.begun - begun_elsewhere),
            _round_finite(self._level),
            _round_finite(self._cap),
        )

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


def _round_finite(tokens):
    return None if tokens == float("inf") else round(tokens)


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


def describe_standing(standing, oldest_report=None):
    """Return a `Standing` for the log; tokens of the window, ages in milliseconds.

    ``oldest_report`` is the age in seconds of the oldest report counted in.
    """
    view = standing.view
    fields = {
        "share_factor": round(standing.factor, 2),
        "share_level": view.level,
        "share_cap": view.cap,
        "account_asked": view.asked,
        "account_begun": view.begun,
        "account_begun_here": view.own_begun,
    }
    if oldest_report is not None:
        fields["oldest_report_ms"] = round(oldest_report * 1000)
    return fields
