"""How far each client account is in its fair share of what the fleet serves.

Refusing at once keeps no order: the account that tries most often gets the next free
place, however low its limit on waiting. So the tries of an account that asks for more
than its share are thinned first, before engines are looked at, until what is left of
them is its share (approximate fair dropping: Pan, Breslau, Prabhakar and Shenker,
2003). Each gateway draws by itself, and one that sees only a part of the fleet shares
that part out.
"""

import threading
from typing import NamedTuple

from ..digests import get_digest
from ..fleet.sums import add_rows
from .usage import TokenUsage, compute_share_level

# Seconds for which one reckoning of the level serves.
_REFRESH_INTERVAL_S = 0.05
# Factors of the limit on waiting, by the part of its share that an account has had.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 1.4
_EXCESS_SLOPE_FACTOR = 3.0
_LOW_USE_RATIO = 0.5
# An account that has had less than this part of its due, by some of its requests, may
# wait still longer, by as much as is added to its factor: late is better than never.
_STARVED_RATIO = 0.8
_STARVED_REQUEST_COUNT = 2
_STARVED_EXTRA_FACTOR = 1.5
# How many times its share an account's tries may make up, where nothing waits at the
# engine and where much does. The first keeps engines busy and finds out when more can
# be served.
_MAX_HEADROOM_FACTOR = 8.0
_MIN_HEADROOM_FACTOR = 1.0
# Exponent of its lead by which an account beyond its share is thinned further.
_EXCESS_EXPONENT = 2.0
_NO_USAGE = TokenUsage(0, 0)


class AccountShare(NamedTuple):
    """What is known of an account, in tokens of the window.

    ``own_begun`` is this gateway's part of ``begun``. ``level`` is what nobody should
    exceed, None where all have what they ask; ``declared_level`` is what it would be if
    upstreams made what they are declared to make.
    """

    asked: float = 0
    begun: float = 0
    own_begun: float = 0
    level: float | None = None
    declared_level: float = 0


class ShareStatus(NamedTuple):
    """How far an account is in its share.

    ``share_factor`` is by how much its wait limit differs, about 1: an account beyond
    its share meets a lower limit at once, and one far below it a higher one, so
    that what is left of the engines' queues goes to those below their share.
    """

    share_factor: float
    share: AccountShare = AccountShare()


# Of a request without an account.
UNLIMITED = ShareStatus(1.0)


class Shares:
    """Standing of accounts by the fleet-wide usage window.

    The level is max-min over what accounts asked of what was begun for all of them.
    What is declared counts on idle engines only: those that are slow or down make less.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._window = cfg.window
        self._lock = threading.Lock()
        self._refreshed_at = -1.0
        self._level = float("inf")
        self._declared_level = 0.0
        self._fleet_usage = {}
        self._remote = {}

    def note_asked(self, account, cost, now):
        """Count the tokens of a request that has come."""
        self._usage.add(get_digest(account), cost, 0, now)

    def note_begun(self, account, cost, now):
        """Count the tokens of a request that an upstream was sent."""
        self._usage.add(get_digest(account), 0, cost, now)

    def set_remote(self, usage_by_account):
        """Take in what the other gateways were asked and began, by account."""
        self._remote = usage_by_account

    def get_share_status(self, account, cost, now, tokens_per_second=0.0):
        """Return the `ShareStatus` of an account that asks for ``cost`` tokens.

        ``tokens_per_second`` is what upstreams are declared to make.
        """
        with self._lock:
            self._refresh(now, tokens_per_second)
            share = self._get_account_share(get_digest(account))
        return ShareStatus(compute_share_factor(share, cost), share)

    def get_level(self):
        """Return the level last reckoned, infinity where there is none."""
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
        usage_by_account = dict(self._usage.get_amounts(now))
        add_rows(usage_by_account, self._remote)
        self._fleet_usage = {
            name: TokenUsage(*row) for name, row in usage_by_account.items()
        }
        begun = sum(usage.begun for usage in self._fleet_usage.values())
        asked = [usage.asked for usage in self._fleet_usage.values()]
        self._level = compute_share_level(asked, begun)
        self._declared_level = compute_share_level(
            asked, tokens_per_second * self._window
        )


def compute_pass_rate(share, cost, crowding):
    """Return the part of an account's tries that may go on to the engines.

    Parameters
    ----------
    view : ShareView
    cost : float
        Tokens of the request at hand. One more than the share allows may always be
        tried, or nothing would begin where nothing has and nothing is declared.
    crowding : float
        From 0 where nothing waits at the engine to 1 where much does.
    """
    if share.level is None or share.asked <= 0:
        return 1.0
    headroom = (
        _MAX_HEADROOM_FACTOR + (_MIN_HEADROOM_FACTOR - _MAX_HEADROOM_FACTOR) * crowding
    )
    # After an outage nothing was begun, and by the level alone a usual load would be
    # thinned for 2 s on idle engines; by what is declared all of it passes.
    # It may be infinite, which times nothing is no number.
    level = share.level
    if crowding < 1.0:
        level = max(level, (1.0 - crowding) * share.declared_level)
    rate = (headroom * level + cost) / share.asked
    if share.begun > level:
        rate *= (level / share.begun) ** _EXCESS_EXPONENT
    return min(1.0, rate)


def compute_share_factor(share, cost):
    """Return the factor of the wait limit of an account that asks for ``cost``."""
    if share.level is None:
        return 1.0
    # The level is 0 where nothing was asked for within the window.
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


def describe_standing(status, oldest_report_age=None):
    """Return a `ShareStatus` for the log; tokens of the window, ages in milliseconds.

    ``oldest_report_age`` is the age in seconds of the oldest report counted in.
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
