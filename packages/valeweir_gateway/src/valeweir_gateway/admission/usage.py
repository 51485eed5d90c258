"""Tokens asked and begun by client account in a sliding window."""

import collections
import threading
from typing import NamedTuple

_BUCKET_COUNT = 8


class TokenUsage(NamedTuple):
    """Tokens of one account within the window."""

    asked: float
    begun: float


class UsageWindow:
    """Sums of this gateway over the last ``window`` seconds, kept in buckets."""

    def __init__(self, window):
        self._bucket_width = window / _BUCKET_COUNT
        self._lock = threading.Lock()
        self._buckets = collections.deque()
        self._sums = {}
        # Rises with each amount that is added.
        self.version = 0

    def add(self, account, asked, begun, now):
        """Count tokens of a request at this gateway."""
        with self._lock:
            self.version += 1
            self._expire(now)
            bucket_number = int(now / self._bucket_width)
            if not self._buckets or self._buckets[-1][0] != bucket_number:
                self._buckets.append((bucket_number, {}))
            for table in (self._buckets[-1][1], self._sums):
                old_asked, old_begun = table.get(account, (0, 0))
                table[account] = (old_asked + asked, old_begun + begun)

    def get_amounts(self, now):
        """Return {account: Amount} within the window."""
        with self._lock:
            self._expire(now)
            return {
                name: TokenUsage(asked, begun)
                for name, (asked, begun) in self._sums.items()
            }

    def _expire(self, now):
        oldest = int(now / self._bucket_width) - _BUCKET_COUNT
        while self._buckets and self._buckets[0][0] <= oldest:
            for account, (asked, begun) in self._buckets.popleft()[1].items():
                remaining_asked = self._sums[account][0] - asked
                remaining_begun = self._sums[account][1] - begun
                if remaining_asked <= 0 and remaining_begun <= 0:
                    del self._sums[account]
                else:
                    self._sums[account] = (remaining_asked, remaining_begun)


def compute_share_level(asked, capacity):
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
    remaining = capacity
    amounts = sorted(asked)
    for index, amount in enumerate(amounts):
        even_share = remaining / (len(amounts) - index)
        if amount > even_share:
            return even_share
        remaining -= amount
    return float("inf")
