"""Requests that are not sent any more, since upstreams end under them.

A quarantine outlasts the gateways: its record stands in a topic of the fleet's own in
the platform's store. It ends with a whole answer to a trial, by an operator's word, or
after a day. Trials are few, and further apart each time, as each may cost an upstream
and all that runs there.
"""

import threading
from typing import NamedTuple

import msgspec

# Upstreams that may end under a request before it is held. With one, each that ran
# beside a crash would be.
MIN_CRASHED_UPSTREAM_COUNT = 3
# How many more make it sure where upstreams end without it as well. Where one of six is
# killed each 0.7 s for other reasons, one request in fifty of those tried up to four
# times has seen three ends (30 simulated minutes).
_EXTRA_UPSTREAM_COUNT = 1
# Sends one after the other that tell a request from others that ran at the same time.
_MIN_RUN_COUNT = 2
# Seconds until the first trial, and how many times longer the next wait is: clients
# that try again at once have given up by then, and operators had time for the second.
_FIRST_TRIAL_DELAY_S = 15.0
_TRIAL_DELAY_FACTOR = 4.0
# Trials without a whole answer, then only an operator lets the request go.
_MAX_TRIAL_COUNT = 2
# Where it is not sure a trial goes out at once, and so many seconds later another if
# that one brought nothing; longer than a stream's first event takes.
_UNCONFIRMED_TRIAL_INTERVAL_S = 5.0
# Seconds after which a quarantine ends by itself, so that records do not pile up, and
# one that is not sure: what has ended is remembered for longer.
_CONFIRMED_TTL_S = 86_400.0
_UNCONFIRMED_TTL_S = 60.0
# Requests held at a time; each took three upstreams, or two at least.
_MAX_ENTRY_COUNT = 1_000


class QuarantineEntry(NamedTuple):
    """A request in quarantine.

    ``since`` is on the gateway's clock: when this gateway learned of its newest record.
    ``record`` is what all gateways know of it.
    """

    since: float
    record: "QuarantineRecord"

    @property
    def due(self):
        """Return when the next trial may go out, None for never."""
        record = self.record
        if not record.is_sure:
            return self.since + (
                _UNCONFIRMED_TRIAL_INTERVAL_S if record.trials else 0.0
            )
        if record.trials >= _MAX_TRIAL_COUNT:
            return None
        return self.since + _FIRST_TRIAL_DELAY_S * _TRIAL_DELAY_FACTOR**record.trials

    def is_trial_due(self, now):
        """Return whether a trial may go out now."""
        return self.due is not None and now >= self.due


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A quarantine as it stands in the store, as JSON.

    ``upstreams`` ended in ``runs`` sends after each other; ``trials`` were made since.
    It ``is_sure`` where nothing else may have ended them.
    ``account``, ``target`` and ``host``, the gateway that wrote it, are for operators,
    as is ``at``, the time of day in seconds.
    """

    upstreams: int = MIN_CRASHED_UPSTREAM_COUNT
    runs: int = _MIN_RUN_COUNT
    trials: int = 0
    is_sure: bool = True
    account: str | None = None
    target: str = ""
    host: str = ""
    at: float = 0.0

    def count_trial(self):
        """Return the record with one trial more."""
        return msgspec.structs.replace(self, trials=self.trials + 1)


_decoder = msgspec.json.Decoder(QuarantineRecord)


def encode_record(record):
    """Return the bytes of a record."""
    return msgspec.json.encode(record)


def decode_record(data):
    """Return the `QuarantineRecord` in bytes; raises ValueError."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as exc:
        raise ValueError(str(exc)) from exc


def needs_quarantine(count):
    """Return whether a request with this `crashes.CrashCount` is held."""
    return count.upstreams >= MIN_CRASHED_UPSTREAM_COUNT


def is_confirmed(count, unexplained):
    """Return whether nothing else may have ended the upstreams.

    ``unexplained`` is how many ended without it, for reasons that are not known.
    """
    needed = MIN_CRASHED_UPSTREAM_COUNT + (_EXTRA_UPSTREAM_COUNT if unexplained else 0)
    return count.upstreams >= needed and count.runs >= _MIN_RUN_COUNT


class Quarantine:
    """What this gateway knows to be held; all methods may run in any thread."""

    def __init__(self):
        self._entries = {}
        # Fingerprints whose record has been seen in the store.
        self._stored = set()
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._entries)

    def get(self, fingerprint):
        """Return the `QuarantineEntry` of a request, None where it may be sent."""
        return self._entries.get(fingerprint)

    def __contains__(self, fingerprint):
        return fingerprint in self._entries

    def get_all(self):
        """Return {fingerprint: Held}."""
        with self._lock:
            return dict(self._entries)

    def is_stored(self, fingerprint):
        """Return whether the store is known to hold the newest record."""
        return fingerprint in self._stored

    def put(self, fingerprint, record, now, stored=False):
        """Hold a request back; return whether that is new.

        A record that says more replaces the one known, and its waits begin anew.
        """
        with self._lock:
            known = self._entries.get(fingerprint)
            if known is None or _get_rank(record) > _get_rank(known.record):
                self._entries[fingerprint] = QuarantineEntry(now, record)
                self._stored.discard(fingerprint)
            elif _get_rank(record) < _get_rank(known.record):
                stored = False
            if stored:
                self._stored.add(fingerprint)
            if len(self._entries) > _MAX_ENTRY_COUNT:
                self._drop(self._find_least_certain())
            return known is None

    def remove(self, fingerprint):
        """Let a request go; return whether it was held."""
        with self._lock:
            return self._drop(fingerprint)

    def find_expired(self, now):
        """Return the fingerprints whose time is over."""
        return [
            key
            for key, entry in self.get_all().items()
            if now - entry.since
            > (_CONFIRMED_TTL_S if entry.record.is_sure else _UNCONFIRMED_TTL_S)
        ]

    def _find_least_certain(self):
        """Return the fingerprint that is least sure, of those the oldest."""
        return min(self._entries, key=lambda key: self._entries[key].record.is_sure)

    def _drop(self, fingerprint):
        self._stored.discard(fingerprint)
        return self._entries.pop(fingerprint, None) is not None


def _get_rank(record):
    return (record.is_sure, record.trials)
