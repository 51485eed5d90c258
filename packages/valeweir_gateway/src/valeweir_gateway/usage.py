"""Tokens asked and begun by client account, fleet-wide, in a sliding window."""

import collections
import threading
from typing import NamedTuple

_BUCKETS = 8


class Amount(NamedTuple):
    """Tokens of one account within the window."""

    asked: float
    begun: float


class UsageWindow:
    """Sums over the last ``window`` seconds, kept in buckets.

    Own requests are added as they come; figures of peers arrive as totals
    since their start, of which only the growth counts.
    """

    def __init__(self, window):
        self._width = window / _BUCKETS
        self._lock = threading.Lock()
        self._buckets = collections.deque()
        self._sums = {}
        self._own = {}
        self._peers = {}

    def add(self, account, asked, begun, now):
        """Count tokens of a request at this gateway."""
        with self._lock:
            total_asked, total_begun = self._own.get(account, (0, 0))
            self._own[account] = (total_asked + asked, total_begun + begun)
            self._add(account, asked, begun, now)

    def get_totals(self):
        """Return {account: (asked, begun)} of this gateway since its start."""
        with self._lock:
            return dict(self._own)

    def merge(self, peer, totals, now):
        """Take in a peer's totals; ``peer`` names its incarnation."""
        with self._lock:
            known = self._peers.setdefault(peer, {})
            for account, (asked, begun) in totals.items():
                old_asked, old_begun = known.get(account, (0, 0))
                grown = (max(0, asked - old_asked), max(0, begun - old_begun))
                known[account] = (max(asked, old_asked), max(begun, old_begun))
                if any(grown):
                    self._add(account, *grown, now)

    def forget(self, peer):
        """Drop the totals of an incarnation that is gone."""
        with self._lock:
            self._peers.pop(peer, None)

    def get_amounts(self, now):
        """Return {account: Amount} within the window."""
        with self._lock:
            self._expire(now)
            return {name: Amount(a, b) for name, (a, b) in self._sums.items()}

    def _add(self, account, asked, begun, now):
        self._expire(now)
        slot = int(now / self._width)
        if not self._buckets or self._buckets[-1][0] != slot:
            self._buckets.append((slot, {}))
        rows = self._buckets[-1][1]
        for table in (rows, self._sums):
            old_asked, old_begun = table.get(account, (0, 0))
            table[account] = (old_asked + asked, old_begun + begun)

    def _expire(self, now):
        oldest = int(now / self._width) - _BUCKETS
        while self._buckets and self._buckets[0][0] <= oldest:
            for account, (asked, begun) in self._buckets.popleft()[1].items():
                left_asked = self._sums[account][0] - asked
                left_begun = self._sums[account][1] - begun
                if left_asked <= 0 and left_begun <= 0:
                    del self._sums[account]
                else:
                    self._sums[account] = (left_asked, left_begun)


def compute_level(asked, capacity):
    """Return the max-min level: nobody gets more, all below get what they ask.

    Parameters
    ----------
    asked : iterable of float
        What each account asks.
    capacity : float
        What can be given in all, in the same unit.

    Returns
    -------
    float
        Infinity where all can have what they ask.
    """
    left = capacity
    rows = sorted(asked)
    for index, amount in enumerate(rows):
        share = left / (len(rows) - index)
        if amount > share:
            return share
        left -= amount
    return float("inf")
