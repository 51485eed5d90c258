"""Which of the free slots a request takes."""

import collections
from typing import NamedTuple

_PREFIX_WEIGHT = 2.0
_REMOTE_COST = 1.0
_LOAD_WEIGHT = 1.0


class Candidate(NamedTuple):
    """An upstream with a free leased slot.

    ``load`` is its last reported part of slots busy, 0 to 1; ``local`` tells
    whether it is in this router's failure domain.
    """

    upstream: str
    load: float
    local: bool
    free: int


class Choice(NamedTuple):
    """The upstream chosen and why."""

    upstream: str
    reason: str


class PrefixHints:
    """Which upstreams probably cache a prompt prefix; a hint, never trusted.

    Parameters
    ----------
    capacity : int
        Prefixes remembered; the oldest go first.
    lifetime : float
        Seconds after which a hint counts no more.
    """

    def __init__(self, capacity=20_000, lifetime=120.0):
        self._capacity = capacity
        self._lifetime = lifetime
        self._seen = collections.OrderedDict()

    def note(self, prefix, upstream, now):
        """Note that ``upstream`` has just read a prompt with ``prefix``."""
        holders = self._seen.setdefault(prefix, {})
        holders[upstream] = now
        self._seen.move_to_end(prefix)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)

    def forget(self, prefix, upstream):
        """Drop a hint that an eviction event contradicts."""
        self._seen.get(prefix, {}).pop(upstream, None)

    def get(self, prefix, upstream, now):
        """Return how much the hint is worth, 1 when fresh down to 0."""
        at = self._seen.get(prefix, {}).get(upstream)
        if at is None:
            return 0.0
        return max(0.0, 1.0 - (now - at) / self._lifetime)


def choose_upstream(candidates, prefix, hints, now):
    """Return the `Choice` among candidates with a free slot, or None.

    The order of client accounts is settled before: a better place for a
    request never makes another account wait.
    """
    best = None
    for cand in candidates:
        hint = hints.get(prefix, cand.upstream, now) if prefix else 0.0
        score = _PREFIX_WEIGHT * hint - _LOAD_WEIGHT * cand.load
        score -= 0.0 if cand.local else _REMOTE_COST
        ranked = (score, cand.free, cand.upstream)
        if best is None or ranked > best[0]:
            best = (ranked, cand, hint)
    if best is None:
        return None
    _, cand, hint = best
    return Choice(cand.upstream, _explain(cand, hint))


def _explain(cand, hint):
    if hint > 0.5:
        return "prefix cached"
    return "local slot" if cand.local else "remote slot"
