"""Idempotency keys: a call that must not be repeated is sent once per key.

Each key has `HOLDER_COUNT` holders, chosen by rendezvous hashing over all
members, reachable or not. A router sends a keyed call only after a majority of
them has recorded its claim. Any two majorities have a holder in common, so a
second claim of the key is always detected, also during a network partition.
Holders keep claims in memory only.
"""

from enum import StrEnum
from typing import NamedTuple

import xxhash

HOLDER_COUNT = 3
RETENTION_S = 300.0


class ClaimAnswer(StrEnum):
    """A holder's answer to a claim.

    ``DUPLICATE``: another request has claimed the key. ``INCOMPLETE``: the claim
    is recorded, but the holder may have lost earlier claims in a restart, so its
    answer does not count towards the majority.
    """

    GRANTED = "granted"
    DUPLICATE = "known"
    INCOMPLETE = "young"


class ClaimRecord(NamedTuple):
    """A claim of a key, with its request and the time of recording."""

    key: bytes
    request: int
    recorded_at: float


class KeyTable:
    """The claims that one holder has recorded.

    Attributes
    ----------
    complete : bool
        Whether the table includes the claims from before this router's start.
    """

    def __init__(self):
        self.records = {}
        self.complete = False

    def claim(self, key, request, now):
        """Record a claim and return the `ClaimAnswer` answer.

        A holder that has just started may have lost a claim of the key. It
        records new claims, but its answers do not count towards a majority
        until it has merged the claims of the other holders.
        """
        record = self.records.get(key)
        if record is not None and record.request != request:
            return ClaimAnswer.DUPLICATE
        self.records[key] = ClaimRecord(key, request, now)
        return ClaimAnswer.GRANTED if self.complete else ClaimAnswer.INCOMPLETE

    def release(self, key, request):
        """Delete a claim whose call was certainly not run."""
        record = self.records.get(key)
        if record is not None and record.request == request:
            del self.records[key]

    def merge(self, rows, now):
        """Add another holder's claims, rows of ``(key, request, age)``."""
        for key, request, age in rows:
            self.records.setdefault(key, ClaimRecord(key, request, now - age))

    def get_rows(self, now):
        """Return all claims as rows of ``(key, request, age)``."""
        return [(r.key, r.request, now - r.recorded_at) for r in self.records.values()]

    def expire(self, now):
        """Delete claims older than `RETENTION_S`."""
        cutoff = now - RETENTION_S
        expired = [
            key for key, record in self.records.items() if record.recorded_at < cutoff
        ]
        for key in expired:
            del self.records[key]


def get_holders(key, members):
    """Return the hosts that record the claims of a key."""
    ranked = sorted(members, key=lambda h: (_hash(key + h.encode()), h), reverse=True)
    return ranked[:HOLDER_COUNT]


def evaluate_claim(answers, holder_count):
    """Return True to send the call, False to refuse it, None if undecided.

    Parameters
    ----------
    answers : dict of host to ClaimAnswer
        Answers received so far.
    holder_count : int
        Number of holders of the key.
    """
    statuses = list(answers.values())
    if ClaimAnswer.DUPLICATE in statuses:
        return False
    majority = holder_count // 2 + 1
    if statuses.count(ClaimAnswer.GRANTED) >= majority:
        return True
    return None


def _hash(data):
    return xxhash.xxh64_intdigest(data)
