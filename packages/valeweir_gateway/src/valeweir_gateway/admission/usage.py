"""Tokens asked and begun by client account in a sliding window.

Asked tokens are those of all requests received, begun tokens those of requests that
were sent to an upstream.
"""

import collections
import threading
from typing import NamedTuple

_BUCKET_COUNT = 8


class TokenUsage(NamedTuple):
    """Tokens of one account within the window."""

    asked: float
    begun: float


class UsageWindow:
    """Usage at this gateway over the last ``window`` seconds, kept in buckets."""

    def __init__(self, window):
        self._bucket_width = window / _BUCKET_COUNT
        self._lock = threading.Lock()
        self._buckets = collections.deque()
        self._sums = {}
        # Incremented by each `add`.
        self.version = 0

    def add(self, account, asked, begun, now):
        """Add the tokens of a request at this gateway."""
        with self._lock:
            self.version += 1
            self._expire(now)
            bucket_number = int(now / self._bucket_width)
            if not self._buckets or self._buckets[-1][0] != bucket_number:
                self._buckets.append((bucket_number, {}))
            for table in (self._buckets[-1][1], self._sums):
                old_asked, old_begun = table.get(account, (0, 0))
                table[account] = (old_asked + asked, old_begun + begun)

    def get_token_usage(self, now):
        """Return {account: TokenUsage} within the window."""
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
    """Return the share level of a max-min fair division.

    No account gets more than the level, and accounts with a lower demand get all of it.

    Parameters
    ----------
    asked : iterable of float
        Demand of each account.
    capacity : float
        Total to divide, in the same unit.

    Returns
    -------
    float
        Infinity if the capacity covers the demand of all accounts.
    """
    remaining = capacity
    amounts = sorted(asked)
    for index, amount in enumerate(amounts):
        even_share = remaining / (len(amounts) - index)
        if amount > even_share:
            return even_share
        remaining -= amount
    return float("inf")
