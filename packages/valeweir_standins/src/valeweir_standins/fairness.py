"""Detects starved client accounts in the requests recorded by callers and upstreams.

An account is starved if it had a refused or late request in every second of a
span, and in the whole span received far less than it asked for and far less than
another account received.
"""

import collections
from typing import NamedTuple

# Seconds in which an account must have refused or late requests to be starved.
SPAN = 6
# Distance between the starts of the spans that are checked.
_STEP_S = 0.5
# An account is not starved if it received this part of the smaller of two amounts:
# what it asked for, and what the account with the most service received. A shortfall
# of a few of the largest requests is tolerated in addition.
_FAIR_RATIO = 0.5
_TOLERATED_REQUEST_COUNT = 3


class Attempt(NamedTuple):
    """One request of an account.

    ``at`` is its arrival time in seconds and ``cost`` is in tokens. ``begun`` is
    true if an upstream started it, ``short`` if it was refused or its first event
    was late.
    """

    at: float
    account: str
    cost: float
    begun: bool
    short: bool


class Starved(NamedTuple):
    """An account that was starved in the span from ``start``; amounts are in tokens."""

    start: float
    account: str
    asked: float
    got: float
    most_account: str
    most: float


def find_starved(attempts, span=SPAN):
    """Return a `Starved` for each span and each account starved in it.

    Parameters
    ----------
    attempts : list of `Attempt`
    span : int
        Length in seconds of the spans to check.
    """
    if not attempts:
        return []
    tolerance_tokens = _TOLERATED_REQUEST_COUNT * max(row.cost for row in attempts)
    first = min(row.at for row in attempts)
    last = max(row.at for row in attempts)
    found = []
    start = first
    while start + span <= last:
        attempts_in_span = [row for row in attempts if start <= row.at < start + span]
        found += _find_in_span(attempts_in_span, start, span, tolerance_tokens)
        start += _STEP_S
    return found


def _find_in_span(attempts_in_span, start, span, tolerance_tokens):
    asked = collections.Counter()
    got = collections.Counter()
    short_seconds = collections.defaultdict(set)
    for row in attempts_in_span:
        asked[row.account] += row.cost
        if row.begun:
            got[row.account] += row.cost
        if row.short:
            short_seconds[row.account].add(int(row.at - start))
    if not got:
        return []
    most_account, most = got.most_common(1)[0]
    return [
        Starved(start, account, asked[account], got[account], most_account, most)
        for account, seconds in short_seconds.items()
        if len(seconds) == span
        and got[account] + tolerance_tokens < _FAIR_RATIO * min(asked[account], most)
    ]
