"""What is counted of service, by router incarnation and client account."""

from typing import NamedTuple


class Key(NamedTuple):
    """What service is accounted for."""

    pool: str
    account: str


class Report(NamedTuple):
    """One incarnation's figures for one key.

    ``settled`` only grows; ``inflight`` is the charge for running requests;
    ``lift`` is a fleet-wide maximum; ``waiting`` counts queued requests.
    """

    settled: float
    inflight: float
    lift: float
    waiting: int


class History(NamedTuple):
    """Service that a router which starts empty cannot hear of otherwise.

    ``base`` is the settled service of ``retired`` incarnations, summed;
    ``silent`` that of incarnations not heard from, by name.
    """

    base: dict[Key, float]
    retired: list[str]
    lifts: dict[Key, float]
    silent: dict[str, dict[Key, float]]


class Usage:
    """This incarnation's own figures for one key."""

    __slots__ = ("inflight", "settled", "waiting")

    def __init__(self):
        self.settled = 0.0
        self.inflight = 0.0
        self.waiting = 0


class SourceState:
    """What another incarnation reported last."""

    __slots__ = ("deducted", "live", "reports", "seq", "waiting")

    def __init__(self):
        self.seq = -1
        self.live = True
        self.reports = {}
        # {pool: {account: requests}}, for the demand that owners ask for.
        self.waiting = {}
        # Requests that slots were given for since the last report.
        self.deducted = {}

    def set_waiting(self, key, count):
        """Note how many requests of ``key`` wait there."""
        set_count(self.waiting, key, count)


def set_count(counts, key, count):
    """Set ``counts[pool][account]``; what is not positive is left out."""
    pool = counts.setdefault(key.pool, {})
    if count > 0:
        pool[key.account] = count
    else:
        pool.pop(key.account, None)
