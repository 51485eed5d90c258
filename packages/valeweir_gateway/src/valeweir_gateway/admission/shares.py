"""Max-min fair shares of client accounts in what the fleet serves.

Immediate refusal keeps no queue order: the account that retries most often gets the
next free slot, however low its wait limit. Attempts of an account that asks for more
than its share are therefore dropped at random before placement, until the rest amounts
to its share (approximate fair dropping: Pan, Breslau, Prabhakar and Shenker, 2003).
Each gateway draws independently. A gateway that sees only a part of the fleet divides
the capacity of that part.
"""

import threading
from typing import NamedTuple

from ..digests import get_digest
from ..fleet.totals import add_rows
from .usage import TokenUsage, compute_share_level

# The share level is computed at most once per interval.
_REFRESH_INTERVAL_S = 0.05
# Factors of the wait limit, by the part of its share that an account has used.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 1.4
_EXCESS_SLOPE_FACTOR = 3.0
_LOW_USE_RATIO = 0.5
# An account is starved if it has begun less than this part of its entitlement. Its
# shortfall raises its factor, by the whole extra factor if it amounts to this many of
# its requests: a late response is better than none.
_STARVED_RATIO = 0.8
_STARVED_REQUEST_COUNT = 2
_STARVED_EXTRA_FACTOR = 1.5
# Attempts that pass, as a multiple of the account's share: the maximum if nothing is
# queued at the engine, the minimum if much is. The maximum keeps engines busy and
# detects when more can be served.
_MAX_HEADROOM_FACTOR = 8.0
_MIN_HEADROOM_FACTOR = 1.0
# The pass rate of an account beyond its share falls by this power of its excess.
_EXCESS_EXPONENT = 2.0
_NO_USAGE = TokenUsage(0, 0)


class AccountShare(NamedTuple):
    """Usage of an account in the whole fleet and share levels, in tokens of the window.

    ``own_begun`` is this gateway's part of ``begun``. ``level`` is the share level that
    no account should exceed, None if the demand of all accounts is met.
    ``declared_level`` is the share level at the declared rate of the upstreams.
    """

    asked: float = 0
    begun: float = 0
    own_begun: float = 0
    level: float | None = None
    declared_level: float = 0


class ShareStatus(NamedTuple):
    """Usage of an account relative to its share, and the resulting wait limit.

    ``share_factor`` multiplies the wait limit. It is below 1 as soon as an account
    exceeds its share and above 1 for accounts far below it, so that the rest of the
    engines' queues goes to accounts below their share.
    """

    share_factor: float
    share: AccountShare = AccountShare()


class FleetUsage(NamedTuple):
    """Tokens refused in the last ``window`` seconds, and those begun per second."""

    refused_tokens: float
    tokens_per_second: float
    window: float


# Status of a request without an account.
UNLIMITED = ShareStatus(1.0)


class Shares:
    """Share status of accounts, from their usage in the whole fleet.

    The share level divides the tokens begun for all accounts among them by max-min
    fairness over the tokens that they asked for. The declared rate counts at idle
    engines only, since slow or failed upstreams serve less.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._window = cfg.window
        self._lock = threading.Lock()
        self._refreshed_at = -1.0
        self._level = float("inf")
        self._declared_level = 0.0
        self._fleet_usage = {}
        self._asked = 0.0
        self._begun = 0.0
        self._remote = {}

    def count_asked_tokens(self, account, cost, now):
        """Count the tokens of a received request."""
        self._usage.add(get_digest(account), cost, 0, now)

    def count_begun_tokens(self, account, cost, now):
        """Count the tokens of a request that was sent to an upstream."""
        self._usage.add(get_digest(account), 0, cost, now)

    def set_remote(self, usage_by_account):
        """Replace the usage at the other gateways, by account digest."""
        self._remote = usage_by_account

    def get_share_status(self, account, cost, now, tokens_per_second=0.0):
        """Return the `ShareStatus` of an account for a request of ``cost`` tokens.

        ``tokens_per_second`` is the declared rate of the upstreams.
        """
        with self._lock:
            self._refresh(now, tokens_per_second)
            share = self._get_account_share(get_digest(account))
        return ShareStatus(compute_share_factor(share, cost), share)

    def get_fleet_usage(self, now, tokens_per_second=0.0):
        """Return the `FleetUsage` of all accounts.

        ``tokens_per_second`` is the declared rate of the upstreams.
        """
        with self._lock:
            self._refresh(now, tokens_per_second)
            refused = max(0.0, self._asked - self._begun)
            return FleetUsage(refused, self._begun / self._window, self._window)

    def get_share_level(self):
        """Return the share level last computed, infinity if all demand is met."""
        return self._level

    def _get_account_share(self, digest):
        usage = self._fleet_usage.get(digest, _NO_USAGE)
        remote_begun = self._remote.get(digest, _NO_USAGE)[1]
        return AccountShare(
            usage.asked,
            usage.begun,
            usage.begun - remote_begun,
            None if self._level == float("inf") else self._level,
            self._declared_level,
        )

    def _refresh(self, now, tokens_per_second):
        if now - self._refreshed_at < _REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        usage_by_account = dict(self._usage.get_token_usage(now))
        add_rows(usage_by_account, self._remote)
        self._fleet_usage = {
            name: TokenUsage(*row) for name, row in usage_by_account.items()
        }
        self._begun = sum(usage.begun for usage in self._fleet_usage.values())
        asked = [usage.asked for usage in self._fleet_usage.values()]
        self._asked = sum(asked)
        self._level = compute_share_level(asked, self._begun)
        self._declared_level = compute_share_level(
            asked, tokens_per_second * self._window
        )


def compute_pass_rate(share, cost, crowding):
    """Return the probability that an attempt of an account passes on to placement.

    Parameters
    ----------
    share : AccountShare
    cost : float
        Tokens of the request. One request more than the share allows may always be
        attempted; otherwise none could begin if none has and no rate is declared.
    crowding : float
        From 0 if nothing is queued at the engine to 1 if much is.
    """
    if share.level is None or share.asked <= 0:
        return 1.0
    headroom = (
        _MAX_HEADROOM_FACTOR + (_MIN_HEADROOM_FACTOR - _MAX_HEADROOM_FACTOR) * crowding
    )
    # After an outage no tokens were begun, and by the share level alone a usual load
    # would be reduced for 2 s at idle engines. By the declared level all of it passes.
    # The declared level may be infinite, and zero times infinity is NaN.
    level = share.level
    if crowding < 1.0:
        level = max(level, (1.0 - crowding) * share.declared_level)
    rate = (headroom * level + cost) / share.asked
    if share.begun > level:
        rate *= (level / share.begun) ** _EXCESS_EXPONENT
    return min(1.0, rate)


def compute_share_factor(share, cost):
    """Return the wait-limit factor of an account for a request of ``cost`` tokens."""
    if share.level is None:
        return 1.0
    # The level is 0 if no tokens were begun within the window.
    used_ratio = share.begun / share.level if share.begun else 0.0
    if used_ratio > 1.0:
        return max(_MIN_FACTOR, 1.0 - _EXCESS_SLOPE_FACTOR * (used_ratio - 1.0))
    return max(
        _compute_in_share_factor(used_ratio), _compute_starved_factor(share, cost)
    )


def _compute_in_share_factor(used_ratio):
    if used_ratio <= _LOW_USE_RATIO:
        return _MAX_FACTOR
    unused_ratio = (1.0 - used_ratio) / (1.0 - _LOW_USE_RATIO)
    return 1.0 + unused_ratio * (_MAX_FACTOR - 1.0)


def _compute_starved_factor(share, cost):
    entitlement = min(share.asked, share.level)
    shortfall = _STARVED_RATIO * entitlement - share.begun
    if shortfall <= 0 or cost <= 0:
        return 0.0
    shortfall_ratio = min(1.0, shortfall / (_STARVED_REQUEST_COUNT * cost))
    return _MAX_FACTOR + shortfall_ratio * _STARVED_EXTRA_FACTOR


def describe_share_status(status, oldest_report_age=None):
    """Return the log fields of a `ShareStatus`; tokens of the window, ages in ms.

    ``oldest_report_age`` is the age in seconds of the oldest report in the sums.
    """
    share = status.share
    fields = {
        "share_factor": round(status.share_factor, 2),
        "share_level": None if share.level is None else round(share.level),
        "account_asked": round(share.asked),
        "account_begun": round(share.begun),
        "account_begun_here": round(share.own_begun),
    }
    if oldest_report_age is not None:
        fields["oldest_report_ms"] = round(oldest_report_age * 1000)
    return fields
