"""Idempotency keys: a call that may not be repeated is sent once per key.

Each key has `HOLDER_COUNT` holders, chosen by rendezvous hashing over all members,
reachable or not. A router sends a keyed call only after a majority of them
has recorded its claim; two majorities share a holder, so a second claim of the
key is always seen, also across a cut. Holders keep claims in memory only.
"""

from enum import StrEnum
from typing import NamedTuple

import xxhash

HOLDER_COUNT = 3
RETENTION_S = 300.0


class Claimed(StrEnum):
    """What a holder says to a claim."""

    GRANTED = "granted"
    DUPLICATE = "known"
    INCOMPLETE = "young"


class ClaimRecord(NamedTuple):
    """A claim of a key: the request that has it, and since when."""

    key: bytes
    request: int
    recorded_at: float


class KeyTable:
    """The claims that one holder has recorded.

    Attributes
    ----------
    complete : bool
        Whether the table holds what was recorded before this router started.
    """

    def __init__(self):
        self.records = {}
        self.complete = False

    def claim(self, key, request, now):
        """Record a claim and return whether it may go ahead.

        A holder that has just started may have forgotten the key: it records
        the claim, but counts for nothing until it has learned from the others.
        """
        record = self.records.get(key)
        if record is not None and record.request != request:
            return Claimed.DUPLICATE
        self.records[key] = ClaimRecord(key, request, now)
        return Claimed.GRANTED if self.complete else Claimed.INCOMPLETE

    def release(self, key, request):
        """Forget a claim whose call was certainly not run."""
        record = self.records.get(key)
        if record is not None and record.request == request:
            del self.records[key]

    def merge(self, rows, now):
        """Take in claims of another holder: ``(key, request, age)``."""
        for key, request, age in rows:
            self.records.setdefault(key, ClaimRecord(key, request, now - age))

    def get_rows(self, now):
        """Return all claims as ``(key, request, age)``."""
        return [(r.key, r.request, now - r.recorded_at) for r in self.records.values()]

    def expire(self, now):
        """Drop claims older than `RETENTION_S`."""
        cutoff = now - RETENTION_S
        expired = [
            key for key, record in self.records.items() if record.recorded_at < cutoff
        ]
        for key in expired:
            del self.records[key]


def get_holders(key, members):
    """Return the hosts that hold a key."""
    ranked = sorted(members, key=lambda h: (_hash(key + h.encode()), h), reverse=True)
    return ranked[:HOLDER_COUNT]


def judge_claim(answers, holder_count):
    """Return True to send, False to refuse, None while answers are missing.

    Parameters
    ----------
    answers : dict of host to Claimed
    holders : int
        Number of holders of the key.
    """
    statuses = list(answers.values())
    if Claimed.DUPLICATE in statuses:
        return False
    majority = holder_count // 2 + 1
    if statuses.count(Claimed.GRANTED) >= majority:
        return True
    return None


def _hash(data):
    return xxhash.xxh64_intdigest(data)
