"""Service figures, by router incarnation, pool and client account.

An incarnation is one run of a router process.
"""

from typing import NamedTuple


class ServiceKey(NamedTuple):
    """Key of the service accounting."""

    pool: str
    account: str


class Report(NamedTuple):
    """One incarnation's figures for one key.

    ``settled`` is the settled service, which only grows; ``inflight`` is the
    charge for running requests; ``lift`` is a maximum over the fleet;
    ``waiting`` is the number of queued requests.
    """

    settled: float
    inflight: float
    lift: float
    waiting: int


class History(NamedTuple):
    """Service that a starting router cannot learn from current reports.

    ``base`` is the sum of the settled service of ``retired`` incarnations;
    ``silent`` is the settled service of incarnations that do not report now,
    by their names.
    """

    base: dict[ServiceKey, float]
    retired: list[str]
    lifts: dict[ServiceKey, float]
    silent: dict[str, dict[ServiceKey, float]]


class Usage:
    """The figures of this router's own incarnation for one key."""

    __slots__ = ("inflight", "settled", "waiting")

    def __init__(self):
        self.settled = 0.0
        self.inflight = 0.0
        self.waiting = 0


class SourceState:
    """The last reported figures of another incarnation."""

    __slots__ = ("deducted", "live", "reports", "seq", "waiting")

    def __init__(self):
        self.seq = -1
        self.live = True
        self.reports = {}
        # {pool: {account: requests}}, read by owners to find demand.
        self.waiting = {}
        # {key: requests} that were granted slots since the last report.
        self.deducted = {}

    def set_waiting(self, key, count):
        """Set the number of requests of ``key`` that wait at the incarnation."""
        set_count(self.waiting, key, count)


def set_count(counts, key, count):
    """Set ``counts[pool][account]``, or remove it if not positive."""
    pool = counts.setdefault(key.pool, {})
    if count > 0:
        pool[key.account] = count
    else:
        pool.pop(key.account, None)
