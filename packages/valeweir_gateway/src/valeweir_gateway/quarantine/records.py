"""Quarantine records of what is not forwarded because it crashes upstreams.

That is a request, or a part of prompts at the software versions that it may crash. A
quarantine survives restarts of gateways: its record is kept in a topic of the fleet
in the platform's store. It ends when a trial gets a complete response, when an operator
releases it, or after a day. Trials are few and their delay grows, as each may crash an
upstream with all requests running there.
"""

import collections
import threading
from typing import NamedTuple

import msgspec

# Crashed upstreams after which a request is quarantined. With one, every request that
# ran beside a crash would be.
MIN_CRASHED_UPSTREAM_COUNT = 3
# The same for a part of prompts that was answered recently. While upstreams crash one
# after another, no response may end in time to clear the parts that many prompts share.
_MIN_COUNT_OF_ANSWERED_PART = 5
# Further crashes needed to confirm the cause while upstreams also crash without the
# request. With one of six upstreams killed every 0.7 s for other reasons, one in fifty
# of the requests sent up to four times met three crashes (30 simulated minutes).
_EXTRA_UPSTREAM_COUNT = 1
# Further crashes that confirm the cause although other parts may be to blame as well,
# as some parts are always sent together.
_CERTAIN_EXTRA_COUNT = 2
# Consecutive sends that distinguish a request from those that ran concurrently.
_MIN_RUN_COUNT = 2
# By the first trial, clients that retry at once have given up; before the second,
# operators have had time to act.
_FIRST_TRIAL_DELAY_S = 15.0
_TRIAL_DELAY_FACTOR = 4.0
# After this many trials without a complete response, only an operator can release the
# request before it expires.
_MAX_TRIAL_COUNT = 2
# Trials that are due at once because a version has not been tried yet count as well,
# but may be one more.
_MAX_VERSION_TRIAL_COUNT = 3
# The first trial of an unconfirmed quarantine is due at once, further ones after this
# interval, which is longer than a stream takes to its first event.
_UNCONFIRMED_TRIAL_INTERVAL_S = 5.0
# Quarantines expire so that records do not accumulate. An unconfirmed one may expire
# early, because the crash counts are kept for longer.
_CONFIRMED_TTL_S = 86_400.0
_UNCONFIRMED_TTL_S = 60.0
# Each quarantine follows three crashed upstreams, or at least two.
_MAX_ENTRY_COUNT = 1_000


class QuarantineEntry(NamedTuple):
    """A request in quarantine.

    ``since`` is the time on the gateway's clock when this gateway received the newest
    ``record``, which all gateways share.
    """

    since: float
    record: "QuarantineRecord"

    @property
    def due(self):
        """Return when the next trial may be sent, or None for never."""
        record = self.record
        if not record.is_sure:
            return self.since + (
                _UNCONFIRMED_TRIAL_INTERVAL_S if record.trials else 0.0
            )
        if record.trials >= _MAX_TRIAL_COUNT:
            return None
        return self.since + _FIRST_TRIAL_DELAY_S * _TRIAL_DELAY_FACTOR**record.trials

    def is_trial_due(self, now, version=None):
        """Return whether a trial may be sent now, to an upstream of a version."""
        if version is not None and version not in self.record.versions:
            return self.record.trials < _MAX_VERSION_TRIAL_COUNT
        return self.due is not None and now >= self.due


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A quarantine as stored, in JSON.

    ``upstreams`` crashed in ``runs`` consecutive sends; ``trials`` were sent since. It
    ``is_sure`` if nothing else can have caused the crashes. ``account``, ``target``,
    ``host`` (the gateway that wrote it) and ``at`` (Unix time in seconds) are
    information for operators, as are ``part`` and ``service`` of a part of prompts.
    Digests of software versions are in ``versions`` if the part may crash them, and in
    ``sound`` if they have answered it completely since.
    """

    upstreams: int = MIN_CRASHED_UPSTREAM_COUNT
    runs: int = _MIN_RUN_COUNT
    trials: int = 0
    is_sure: bool = True
    account: str | None = None
    target: str = ""
    host: str = ""
    at: float = 0.0
    part: str | None = None
    service: str | None = None
    versions: tuple[int, ...] = ()
    sound: tuple[int, ...] = ()

    def count_trial(self, version=None):
        """Return a copy of the record with one more trial, sent to a version."""
        versions = self.versions
        if version is not None and version not in versions:
            versions = (*versions, version)
        return msgspec.structs.replace(self, trials=self.trials + 1, versions=versions)

    def add_sound_version(self, version):
        """Return a copy of the record with one more version that has answered."""
        return msgspec.structs.replace(self, sound=(*self.sound, version))

    @property
    def is_disproved(self):
        """Return whether every version that may crash has answered since."""
        return set(self.versions) <= set(self.sound)

    def pick_trial_version(self, versions):
        """Return the one of the ``versions`` in service to try next, None for any."""
        if not self.versions:
            return None
        untried = [version for version in versions if version not in self.versions]
        return min(untried or versions)


_decoder = msgspec.json.Decoder(QuarantineRecord)


def encode_record(record):
    """Return a record encoded as JSON bytes."""
    return msgspec.json.encode(record)


def decode_record(data):
    """Return the `QuarantineRecord` in JSON bytes; raises ValueError if malformed."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        raise ValueError(str(exc)) from exc


def needs_quarantine(count):
    """Return whether a suspect with this `crashes.CrashCount` is quarantined."""
    return count.is_varied and count.upstreams >= _get_min_count(count)


def is_confirmed(count, unexplained):
    """Return whether nothing but the suspect can have caused the crashes.

    ``unexplained`` is the number of crashes without the suspect or a known cause, or
    of other suspects that may have caused all of its crashes.
    """
    needed = _get_min_count(count) + (_EXTRA_UPSTREAM_COUNT if unexplained else 0)
    return count.upstreams >= needed and count.runs >= _MIN_RUN_COUNT


def is_certain(count):
    """Return whether so many upstreams crashed that other causes do not matter."""
    needed = _get_min_count(count) + _CERTAIN_EXTRA_COUNT
    return count.upstreams >= needed and count.runs >= _MIN_RUN_COUNT


def _get_min_count(count):
    if count.was_answered:
        return _MIN_COUNT_OF_ANSWERED_PART
    return MIN_CRASHED_UPSTREAM_COUNT


class Quarantine:
    """The quarantines known to this gateway; all methods are thread-safe."""

    def __init__(self):
        self._entries = {}
        # Fingerprints whose newest record is in the store.
        self._stored = set()
        # Requests that this gateway has refused, by fingerprint.
        self._refused = collections.Counter()
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._entries)

    def get(self, fingerprint):
        """Return the `QuarantineEntry` of a request, or None if it may be sent."""
        return self._entries.get(fingerprint)

    def __contains__(self, fingerprint):
        return fingerprint in self._entries

    def get_all(self):
        """Return {fingerprint: QuarantineEntry}."""
        with self._lock:
            return dict(self._entries)

    def count_parts(self):
        """Return the number of quarantined parts of prompts."""
        return sum(bool(row.record.versions) for row in self.get_all().values())

    def record_refusal(self, fingerprint):
        """Count a request that this gateway refuses because of a quarantine."""
        with self._lock:
            if fingerprint in self._entries:
                self._refused[fingerprint] += 1

    def get_refusal_count(self, fingerprint):
        """Return how many requests this gateway refused because of a quarantine."""
        return self._refused[fingerprint]

    def is_stored(self, fingerprint):
        """Return whether the newest record is known to be in the store."""
        return fingerprint in self._stored

    def mark_not_stored(self, fingerprint):
        """Record that the store has lost the newest record of a request."""
        self._stored.discard(fingerprint)

    def put(self, fingerprint, record, now, stored=False):
        """Quarantine a request; return whether it was not quarantined before.

        A record of higher rank replaces the known one and restarts its delays.
        """
        with self._lock:
            known = self._entries.get(fingerprint)
            if known is not None:
                known, record = _share_part_name(known, record)
                self._entries[fingerprint] = known
            if known is None or _get_rank(record) > _get_rank(known.record):
                self._entries[fingerprint] = QuarantineEntry(now, record)
                self._stored.discard(fingerprint)
            elif _get_rank(record) < _get_rank(known.record):
                stored = False
                self._stored.discard(fingerprint)
            if stored:
                self._stored.add(fingerprint)
            if len(self._entries) > _MAX_ENTRY_COUNT:
                self._drop(self._find_least_certain())
            return known is None

    def remove(self, fingerprint):
        """Release a request; return whether it was quarantined."""
        with self._lock:
            return self._drop(fingerprint)

    def find_expired(self, now):
        """Return the fingerprints of expired quarantines."""
        return [
            key
            for key, entry in self.get_all().items()
            if now - entry.since
            > (_CONFIRMED_TTL_S if entry.record.is_sure else _UNCONFIRMED_TTL_S)
        ]

    def _find_least_certain(self):
        """Return the oldest unconfirmed fingerprint, or else the oldest one."""
        return min(self._entries, key=lambda key: self._entries[key].record.is_sure)

    def _drop(self, fingerprint):
        self._stored.discard(fingerprint)
        self._refused.pop(fingerprint, None)
        return self._entries.pop(fingerprint, None) is not None


def _share_part_name(entry, record):
    """Return an entry and a record of the same part, each with its name if known.

    Only gateways that have received a request with the part know it.
    """
    part = record.part or entry.record.part
    service = record.service or entry.record.service
    named = msgspec.structs.replace(entry.record, part=part, service=service)
    return entry._replace(record=named), msgspec.structs.replace(
        record, part=part, service=service
    )


def _get_rank(record):
    return (record.is_sure, record.trials, len(record.sound))
