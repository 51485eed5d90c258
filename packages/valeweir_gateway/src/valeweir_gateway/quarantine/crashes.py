"""Crash counts of what was running when upstreams crashed.

Every request that was running at an upstream when it crashed is suspect, and so is each
part of the prompts whose responses had just begun or not begun. What causes crashes
differs from what ran beside it: it is sent again, never gets a complete response, and
its sends crash upstreams one after another. A complete response anywhere in the fleet
clears a request, and a part at the software version that responded. Concurrent sends
count as one run, so that many identical requests are not quarantined when a failure
domain crashes. The threshold is higher while upstreams also crash for other reasons.
"""

import collections
import threading
from typing import NamedTuple

# A suspect takes 0.35 KB. A crash adds at most the requests that were running at the
# upstream, some dozens.
_MAX_SUSPECT_COUNT = 4_000
# Excess suspects are removed in batches, because ranking all of them takes 0.6 ms.
_TRIMMED_RATIO = 0.1
# Crashes kept per request; three suffice for a quarantine.
_MAX_CRASH_COUNT = 8
# Counted from the last crash; far longer than clients retry and upstreams take to
# restart.
_SUSPECT_TTL_S = 600.0
# Two crashes of one upstream within this window are one crash that two gateways
# observed. An upstream takes longer to restart and crash again.
_SAME_CRASH_WINDOW_S = 1.0
# Instance crashes kept, and how long they count as recent.
_MAX_INSTANCE_CRASH_COUNT = 64
_RECENT_CRASH_WINDOW_S = 60.0
# How long after a complete response crash reports for the request are ignored, as other
# gateways may report earlier crashes late.
_CLEARED_TTL_S = 5.0


class Crash(NamedTuple):
    """The crash of an upstream while it ran a request.

    ``instance`` is the digest of the upstream's id. ``sent`` and ``ended`` are when the
    request was sent and when its connection broke, on the gateway's clock. The others
    are set for a part of its prompt only: ``version`` is the digest of the upstream's
    software version, ``request`` that of the request, and ``was_answered`` tells
    whether the reporting gateway had received a complete response to the part.
    """

    instance: int
    sent: float
    ended: float
    version: int = 0
    request: int = 0
    was_answered: bool = False

    @property
    def is_of_part(self):
        """Return whether the suspect is a part of a prompt."""
        return self.version != 0


class CrashCount(NamedTuple):
    """The ``upstreams`` that crashed while they ran a request, and its ``runs``.

    ``runs`` counts consecutive sends, each after the crash that ended the one before.
    A part ``is_varied`` if it was in different requests; otherwise the request may be
    the cause. It ``was_answered`` completely some time before.
    """

    upstreams: int
    runs: int
    is_varied: bool = True
    was_answered: bool = False


class InstanceCrash(NamedTuple):
    """The crash of an instance, with the fingerprints of the requests it ran."""

    instance: int
    ended_at: float
    fingerprints: set


class Suspects:
    """Crashes by the fingerprint of a request or a part; methods are thread-safe."""

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
        """Record a crash; return the new `CrashCount`, or None if unchanged."""
        with self._lock:
            self._record_instance_crash(fingerprint, crash)
            if now - self._cleared.get(fingerprint, -_CLEARED_TTL_S) < _CLEARED_TTL_S:
                return None
            crashes = self._crashes.setdefault(fingerprint, [])
            before = count_crashes(crashes)
            _merge(crashes, crash)
            count = count_crashes(crashes)
            # Keeps the dict in order of the latest crash, the oldest first.
            self._crashes[fingerprint] = self._crashes.pop(fingerprint)
            self._trim()
            return None if count == before else count

    def get_version_crash_count(self, fingerprint, version):
        """Return the `CrashCount` of a part at a software version."""
        with self._lock:
            crashes = self._crashes.get(fingerprint, ())
            return count_crashes(row for row in crashes if row.version == version)

    def get_crash_count(self, fingerprint, causes=frozenset()):
        """Return the `CrashCount` of a suspect.

        Crashes at which one of the other ``causes`` was running are left out.
        """
        with self._lock:
            crashes = self._crashes.get(fingerprint, ())
            others = causes - {fingerprint}
            if not others:
                return count_crashes(crashes)
            explained = [
                known
                for known in self._instance_crashes
                if not known.fingerprints.isdisjoint(others)
            ]
            return count_crashes(
                crash
                for crash in crashes
                if not any(
                    is_same_crash(known.instance, known.ended_at, crash)
                    for known in explained
                )
            )

    def get_versions(self, fingerprint):
        """Return the digests of the versions that crashed while they ran a part."""
        with self._lock:
            crashes = self._crashes.get(fingerprint, ())
            return {crash.version for crash in crashes if crash.is_of_part}

    def has_instance_crashed(self, instance, since):
        """Return whether the crash of an instance after a time is known."""
        with self._lock:
            return any(
                known.instance == instance and known.ended_at >= since
                for known in self._instance_crashes
            )

    def has_rivals(self, fingerprint):
        """Return whether another part was running at all crashes of a part.

        Not all gateways may have reported the last crash yet, so it does not count.
        """
        with self._lock:
            crashes = self._crashes.get(fingerprint, ())
            groups = [
                known.fingerprints
                for crash in crashes[:-1]
                for known in self._instance_crashes
                if is_same_crash(known.instance, known.ended_at, crash)
            ]
            if not groups:
                return False
            others = set.intersection(*groups) - {fingerprint}
            return any(map(self._may_be_cause, others))

    def _may_be_cause(self, fingerprint):
        crashes = self._crashes.get(fingerprint, ())
        return any(row.is_of_part for row in crashes) and not any(
            row.was_answered for row in crashes
        )

    def clear_part(self, fingerprint, version, began):
        """Drop the crashes of a part that a later response of a version disproves.

        ``began`` is when this response began. Returns whether there were any.
        """
        with self._lock:
            crashes = self._crashes.get(fingerprint, ())
            kept = [
                crash
                for crash in crashes
                if crash.version != version or crash.ended > began
            ]
            if len(kept) == len(crashes):
                return False
            if kept:
                self._crashes[fingerprint] = kept
            else:
                del self._crashes[fingerprint]
            return True

    def count_unexplained_crashes(self, fingerprint, quarantined, now):
        """Return the number of recent instance crashes without a known cause.

        These ran neither the request nor any of the ``quarantined`` ones.
        """
        with self._lock:
            return sum(
                now - known.ended_at < _RECENT_CRASH_WINDOW_S
                and fingerprint not in known.fingerprints
                and known.fingerprints.isdisjoint(quarantined)
                for known in self._instance_crashes
            )

    def clear_suspect(self, fingerprint, now):
        """Clear a request after a complete response; return whether it was suspect."""
        with self._lock:
            if self._crashes.pop(fingerprint, None) is None:
                return False
            self._cleared[fingerprint] = now
            while len(self._cleared) > self._max_size:
                del self._cleared[next(iter(self._cleared))]
            return True

    def drop_expired(self, now):
        """Drop requests whose last crash is too long ago."""
        with self._lock:
            for fingerprint, crashes in list(self._crashes.items()):
                if now - crashes[-1].ended > _SUSPECT_TTL_S:
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
        """Drop excess suspects: those with the fewest crashes, the oldest first."""
        excess = len(self._crashes) - self._max_size
        if excess <= _TRIMMED_RATIO * self._max_size:
            return
        ranked = sorted(self._crashes, key=lambda key: len(self._crashes[key]))
        for fingerprint in ranked[:excess]:
            del self._crashes[fingerprint]


def count_crashes(crashes):
    """Return the `CrashCount` of crashes sorted by ``ended``."""
    crashes = list(crashes)
    upstreams = 0
    runs = 0
    last_ended = {}
    run_ended = float("-inf")
    for crash in crashes:
        earlier = last_ended.get(crash.instance)
        if earlier is None or crash.ended - earlier >= _SAME_CRASH_WINDOW_S:
            upstreams += 1
        last_ended[crash.instance] = crash.ended
        if crash.sent > run_ended:
            runs += 1
            run_ended = crash.ended
    requests = {crash.request for crash in crashes if crash.is_of_part}
    was_answered = any(crash.was_answered for crash in crashes)
    return CrashCount(upstreams, runs, len(requests) != 1, was_answered)


def is_same_crash(instance, ended_at, crash):
    """Return whether a crash is the one of ``instance`` at about ``ended_at``."""
    return (
        instance == crash.instance
        and abs(ended_at - crash.ended) < _SAME_CRASH_WINDOW_S
    )


def _merge(crashes, crash):
    """Insert a crash sorted by ``ended``, or merge it with a known report of it."""
    for idx, known in enumerate(crashes):
        if is_same_crash(known.instance, known.ended, crash):
            # The gateway that detected the crash first has the most accurate times.
            crashes[idx] = known._replace(
                sent=max(known.sent, crash.sent),
                ended=min(known.ended, crash.ended),
                was_answered=known.was_answered or crash.was_answered,
            )
            break
    else:
        crashes.append(crash)
    crashes.sort(key=lambda item: item.ended)
    del crashes[:-_MAX_CRASH_COUNT]
