"""Which of the free slots a request takes."""

import collections
from typing import NamedTuple

_PREFIX_WEIGHT = 2.0
_REMOTE_PENALTY = 1.0
_LOAD_WEIGHT = 1.0


class Candidate(NamedTuple):
    """An upstream with a free leased slot.

    ``load`` is its last reported part of slots busy, 0 to 1; ``is_local`` tells
    whether it is in this router's failure domain.
    """

    upstream: str
    load: float
    is_local: bool
    free_slots: int


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

    def __init__(self, max_prefixes=20_000, lifetime_s=120.0):
        self._max_prefixes = max_prefixes
        self._lifetime_s = lifetime_s
        self._hints = collections.OrderedDict()

    def note(self, prefix, upstream, now):
        """Note that ``upstream`` has just read a prompt with ``prefix``."""
        times = self._hints.setdefault(prefix, {})
        times[upstream] = now
        self._hints.move_to_end(prefix)
        if len(self._hints) > self._max_prefixes:
            self._hints.popitem(last=False)

    def remove(self, prefix, upstream):
        """Drop a hint that an eviction event contradicts."""
        self._hints.get(prefix, {}).pop(upstream, None)

    def get(self, prefix, upstream, now):
        """Return how much the hint is worth, 1 when fresh down to 0."""
        recorded_at = self._hints.get(prefix, {}).get(upstream)
        if recorded_at is None:
            return 0.0
        return max(0.0, 1.0 - (now - recorded_at) / self._lifetime_s)


def choose_upstream(candidates, prefix, hints, now):
    """Return the `Choice` among candidates with a free slot, or None.

    The order of client accounts is settled before: a better place for a
    request never makes another account wait.
    """
    best = None
    for cand in candidates:
        hint = hints.get(prefix, cand.upstream, now) if prefix else 0.0
        score = _PREFIX_WEIGHT * hint - _LOAD_WEIGHT * cand.load
        score -= 0.0 if cand.is_local else _REMOTE_PENALTY
        rank = (score, cand.free_slots, cand.upstream)
        if best is None or rank > best[0]:
            best = (rank, cand, hint)
    if best is None:
        return None
    _, cand, hint = best
    return Choice(cand.upstream, _explain(cand, hint))


def _explain(cand, hint):
    if hint > 0.5:
        return "prefix cached"
    return "local slot" if cand.is_local else "remote slot"
