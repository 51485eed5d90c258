"""Requests under which upstreams ended, and how often each did.

All that ran at an upstream when it ended is suspect. What tells the one request that
ends upstreams from those that ran beside it: it comes again, is never answered whole,
and its sends end upstreams one after the other. A whole answer anywhere in the fleet
clears it, and sends that ran at the same time count once, so that many requests which
look the same are not blamed for a failure domain that crashed. Where upstreams end
without it as well, more is asked for.
"""

import collections
import threading
from typing import NamedTuple

# Requests known at a time, 0.35 KB each, measured. Each crash adds at most the requests
# that its upstream ran, some dozens.
_MAX_SUSPECT_COUNT = 4_000
# Room is made for this part at once: ranking them all takes 0.6 ms.
_TRIMMED_RATIO = 0.1
# Crashes kept of a request; three decide.
_MAX_CRASH_COUNT = 8
# Seconds after its last crash until a request is no longer suspect: far longer than
# clients go on trying, and than an upstream takes to come back.
_SUSPECT_TTL_S = 600.0
# Two ends of one upstream within so many seconds are the same one, seen by two
# gateways. An upstream takes longer to come back and end once more.
_SAME_CRASH_WINDOW_S = 1.0
# Ends of upstreams kept, and for how many seconds they tell how often upstreams end.
_MAX_INSTANCE_CRASH_COUNT = 64
_RECENT_CRASH_WINDOW_S = 60.0
# Seconds for which a whole answer speaks for a request, also against crashes that
# gateways tell of late.
_CLEARED_TTL_S = 5.0


class Crash(NamedTuple):
    """The end of an upstream under a request.

    ``instance`` is the digest of the upstream's id; ``sent`` and ``ended`` are when the
    request went there and when its connection broke off, on the gateway's clock.
    """

    instance: int
    sent: float
    ended: float


class CrashCount(NamedTuple):
    """What a request has done: ``upstreams`` that ended under it, in ``runs``.

    ``runs`` are the sends that followed one another, each after the end before it.
    """

    upstreams: int
    runs: int


class InstanceCrash(NamedTuple):
    """The end of an upstream, and the fingerprints of what ran there."""

    instance: int
    ended_at: float
    fingerprints: set


class Suspects:
    """Crashes by the fingerprint of the request; all methods may run in any thread."""

    def __init__(self, max_size=_MAX_SUSPECT_COUNT):
        self._max_size = max_size
        self._crashes = {}
        self._cleared = {}
        self._instance_crashes = collections.deque(maxlen=_MAX_INSTANCE_CRASH_COUNT)
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._crashes)

    def __contains__(self, fingerprint):
        return fingerprint in self._crashes

    def add(self, fingerprint, crash, now):
        """Take a crash in; return the new `CrashCount`, None if unchanged."""
        with self._lock:
            self._record_instance_crash(fingerprint, crash)
            if now - self._cleared.get(fingerprint, -_CLEARED_TTL_S) < _CLEARED_TTL_S:
                return None
            rows = self._crashes.setdefault(fingerprint, [])
            before = count_crashes(rows)
            _merge(rows, crash)
            count = count_crashes(rows)
            # The latest crash last, so that the first is the first to be forgotten.
            self._crashes[fingerprint] = self._crashes.pop(fingerprint)
            self._trim()
            return None if count == before else count

    def get_crash_count(self, fingerprint):
        """Return the `CrashCount` of a request."""
        with self._lock:
            return count_crashes(self._crashes.get(fingerprint, ()))

    def count_unexplained_crashes(self, fingerprint, quarantined, now):
        """Return how many upstreams ended of late for reasons that are not known.

        Neither the request nor any ``quarantined`` one ran there.
        """
        with self._lock:
            return sum(
                now - known.ended_at < _RECENT_CRASH_WINDOW_S
                and fingerprint not in known.fingerprints
                and known.fingerprints.isdisjoint(quarantined)
                for known in self._instance_crashes
            )

    def clear_suspect(self, fingerprint, now):
        """Note a whole answer; return whether the request was suspect."""
        with self._lock:
            if self._crashes.pop(fingerprint, None) is None:
                return False
            self._cleared[fingerprint] = now
            while len(self._cleared) > self._max_size:
                del self._cleared[next(iter(self._cleared))]
            return True

    def drop_expired(self, now):
        """Forget requests whose crashes are long ago."""
        with self._lock:
            for fingerprint, rows in list(self._crashes.items()):
                if now - rows[-1].ended > _SUSPECT_TTL_S:
                    del self._crashes[fingerprint]
            for fingerprint, cleared_at in list(self._cleared.items()):
                if now - cleared_at > _CLEARED_TTL_S:
                    del self._cleared[fingerprint]

    def _record_instance_crash(self, fingerprint, crash):
        for known in self._instance_crashes:
            if is_same_crash(known.instance, known.ended_at, crash):
                known.fingerprints.add(fingerprint)
                return
        self._instance_crashes.append(
            InstanceCrash(crash.instance, crash.ended, {fingerprint})
        )

    def _trim(self):
        """Make room; who has done least and longest ago goes first."""
        excess = len(self._crashes) - self._max_size
        if excess <= _TRIMMED_RATIO * self._max_size:
            return
        ranked = sorted(self._crashes, key=lambda key: len(self._crashes[key]))
        for fingerprint in ranked[:excess]:
            del self._crashes[fingerprint]


def count_crashes(rows):
    """Return the `CrashCount` of crashes that are in order of their ends."""
    upstreams = 0
    runs = 0
    last_ended = {}
    run_ended = float("-inf")
    for crash in rows:
        earlier = last_ended.get(crash.instance)
        if earlier is None or crash.ended - earlier >= _SAME_CRASH_WINDOW_S:
            upstreams += 1
        last_ended[crash.instance] = crash.ended
        if crash.sent > run_ended:
            runs += 1
            run_ended = crash.ended
    return CrashCount(upstreams, runs)


def is_same_crash(instance, ended_at, crash):
    """Return whether a crash tells of the end of an instance at a time."""
    return (
        instance == crash.instance
        and abs(ended_at - crash.ended) < _SAME_CRASH_WINDOW_S
    )


def _merge(rows, crash):
    """Add a crash in order of ends, unless it is one that is known."""
    for idx, known in enumerate(rows):
        if is_same_crash(known.instance, known.ended, crash):
            # The gateway that noticed first has the most accurate times.
            sent = max(known.sent, crash.sent)
            rows[idx] = Crash(known.instance, sent, min(known.ended, crash.ended))
            break
    else:
        rows.append(crash)
    rows.sort(key=lambda row: row.ended)
    del rows[:-_MAX_CRASH_COUNT]
