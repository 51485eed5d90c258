"""Choice of the upstream, among those with a free slot, for a request."""

import collections
from typing import NamedTuple

_PREFIX_WEIGHT = 2.0
_REMOTE_PENALTY = 1.0
_LOAD_WEIGHT = 1.0


class Candidate(NamedTuple):
    """An upstream with a free leased slot.

    ``load`` is the last reported fraction of its slots in use, 0 to 1;
    ``is_local`` is true if it is in this router's failure domain.
    """

    upstream: str
    load: float
    is_local: bool
    free_slots: int


class Choice(NamedTuple):
    """The chosen upstream and the reason for the choice."""

    upstream: str
    reason: str


class PrefixHints:
    """Upstreams that probably cache a prompt prefix.

    A hint may be wrong, so it only affects the choice among usable upstreams.

    Parameters
    ----------
    max_prefixes : int
        Number of prefixes kept; the least recently updated are dropped first.
    lifetime_s : float
        Age in seconds from which a hint has no weight.
    """

    def __init__(self, max_prefixes=20_000, lifetime_s=120.0):
        self._max_prefixes = max_prefixes
        self._lifetime_s = lifetime_s
        self._hints = collections.OrderedDict()

    def note(self, prefix, upstream, now):
        """Record that ``upstream`` has just processed a prompt with ``prefix``."""
        times = self._hints.setdefault(prefix, {})
        times[upstream] = now
        self._hints.move_to_end(prefix)
        if len(self._hints) > self._max_prefixes:
            self._hints.popitem(last=False)

    def remove(self, prefix, upstream):
        """Remove a hint after ``upstream`` has evicted ``prefix`` from its cache."""
        self._hints.get(prefix, {}).pop(upstream, None)

    def get(self, prefix, upstream, now):
        """Return the weight of a hint, from 1 when new down to 0 with age."""
        recorded_at = self._hints.get(prefix, {}).get(upstream)
        if recorded_at is None:
            return 0.0
        return max(0.0, 1.0 - (now - recorded_at) / self._lifetime_s)


def choose_upstream(candidates, prefix, hints, now):
    """Return the `Choice` among candidates with a free slot, or None.

    The request, and with it the account, is selected before the upstream, so
    a preference for an upstream never delays another account.
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
