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
from .usage import Amount, compute_level

# Seconds for which one reckoning of the level serves.
_REFRESH = 0.05
# Factors of the limit on waiting, by the part of its share that an account has had.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 1.4
_STEEPNESS = 3.0
_SMALL_RATIO = 0.5
# An account that has had less than this part of its due, by some of its requests, may
# wait still longer, by as much as is added to its factor: late is better than never.
_STARVED_RATIO = 0.8
_STARVED_REQUESTS = 2
_STARVED_FACTOR = 1.5
# How many times its share an account's tries may make up, where nothing waits at the
# engine and where much does. The first keeps engines busy and finds out when more can
# be served.
_MAX_HEADROOM = 8.0
_MIN_HEADROOM = 1.0
# Exponent of its lead by which an account beyond its share is thinned further.
_CORRECTION = 2.0
_NOTHING = Amount(0, 0)


class ShareView(NamedTuple):
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


class Standing(NamedTuple):
    """How far an account is in its share.

    ``factor`` is by how much its wait limit differs, about 1: an account beyond
    its share meets a lower limit at once, and one far below it a higher one, so
    that what is left of the engines' queues goes to those below their share.
    """

    factor: float
    view: ShareView = ShareView()


# Of a request without an account.
UNLIMITED = Standing(1.0)


class Shares:
    """Standing of accounts by the fleet-wide usage window.

    The level is max-min over what accounts asked of what was begun for all of them.
    What is declared counts on idle engines only: those that are slow or down make less.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._window = cfg.window
        self._lock = threading.Lock()
        self._at = -1.0
        self._level = float("inf")
        self._declared_level = 0.0
        self._amounts = {}
        self._remote = {}

    def note_asked(self, account, cost, now):
        """Count the tokens of a request that has come."""
        self._usage.add(get_digest(account), cost, 0, now)

    def note_begun(self, account, cost, now):
        """Count the tokens of a request that an upstream was sent."""
        self._usage.add(get_digest(account), 0, cost, now)

    def set_remote(self, amounts):
        """Take in what the other gateways were asked and began, by account."""
        self._remote = amounts

    def get_standing(self, account, cost, now, tokens_per_second=0.0):
        """Return the `Standing` of an account that asks for ``cost`` tokens.

        ``tokens_per_second`` is what upstreams are declared to make.
        """
        with self._lock:
            self._refresh(now, tokens_per_second)
            view = self._get_view(get_digest(account))
        return Standing(compute_factor(view, cost), view)

    def get_level(self):
        """Return the level last reckoned, infinity where there is none."""
        return self._level

    def _get_view(self, digest):
        amount = self._amounts.get(digest, _NOTHING)
        begun_elsewhere = self._remote.get(digest, _NOTHING)[1]
        return ShareView(
            amount.asked,
            amount.begun,
            amount.begun - begun_elsewhere,
            None if self._level == float("inf") else self._level,
            self._declared_level,
        )

    def _refresh(self, now, tokens_per_second):
        if now - self._at < _REFRESH:
            return
        self._at = now
        amounts = dict(self._usage.get_amounts(now))
        add_rows(amounts, self._remote)
        self._amounts = {name: Amount(*row) for name, row in amounts.items()}
        begun = sum(amount.begun for amount in self._amounts.values())
        asked = [amount.asked for amount in self._amounts.values()]
        self._level = compute_level(asked, begun)
        self._declared_level = compute_level(asked, tokens_per_second * self._window)


def compute_pass_rate(view, cost, crowding):
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
    if view.level is None or view.asked <= 0:
        return 1.0
    headroom = _MAX_HEADROOM + (_MIN_HEADROOM - _MAX_HEADROOM) * crowding
    # After an outage nothing was begun, and by the level alone a usual load would be
    # thinned for 2 s on idle engines; by what is declared all of it passes.
    # It may be infinite, which times nothing is no number.
    level = view.level
    if crowding < 1.0:
        level = max(level, (1.0 - crowding) * view.declared_level)
    rate = (headroom * level + cost) / view.asked
    if view.begun > level:
        rate *= (level / view.begun) ** _CORRECTION
    return min(1.0, rate)


def compute_factor(view, cost):
    """Return the factor of the wait limit of an account that asks for ``cost``."""
    if view.level is None:
        return 1.0
    # The level is 0 where nothing was asked for within the window.
    used = view.begun / view.level if view.begun else 0.0
    if used > 1.0:
        return max(_MIN_FACTOR, 1.0 - _STEEPNESS * (used - 1.0))
    return max(_compute_factor_below(used), _compute_starved_factor(view, cost))


def _compute_factor_below(used):
    if used <= _SMALL_RATIO:
        return _MAX_FACTOR
    below = (1.0 - used) / (1.0 - _SMALL_RATIO)
    return 1.0 + below * (_MAX_FACTOR - 1.0)


def _compute_starved_factor(view, cost):
    due = min(view.asked, view.level)
    missing = _STARVED_RATIO * due - view.begun
    if missing <= 0 or cost <= 0:
        return 0.0
    part = min(1.0, missing / (_STARVED_REQUESTS * cost))
    return _MAX_FACTOR + part * _STARVED_FACTOR


def describe_standing(standing, oldest_report=None):
    """Return a `Standing` for the log; tokens of the window, ages in milliseconds.

    ``oldest_report`` is the age in seconds of the oldest report counted in.
    """
    view = standing.view
    fields = {
        "share_factor": round(standing.factor, 2),
        "share_level": None if view.level is None else round(view.level),
        "account_asked": round(view.asked),
        "account_begun": round(view.begun),
        "account_begun_here": round(view.own_begun),
    }
    if oldest_report is not None:
        fields["oldest_report_ms"] = round(oldest_report * 1000)
    return fields
