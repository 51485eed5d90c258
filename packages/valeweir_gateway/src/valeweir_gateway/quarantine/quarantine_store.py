"""Persistence of quarantines in the platform's store, so that they survive gateways.

Each is a record in a topic of the fleet, written by the gateway that observed the last
crash. The store also decides which gateway may send a trial: of several concurrent
conditional appends, it accepts only one.
"""

import asyncio
import threading
import time
from typing import NamedTuple

import msgspec
from valeweir.exceptions import PlatformUnavailable

from ..stores import Conflict
from .fingerprints import format_fingerprint
from .records import decode_record, encode_record

# Poll intervals of the writing thread with and without pending writes; the idle one is
# longer because each wake-up of a thread has a cost.
_WRITE_POLL_S = 0.05
_IDLE_POLL_S = 1.0
_WRITE_RETRY_S = 0.5
# How long a request waits for the store to grant a trial, about a dozen times its usual
# response time, and the interval between such requests.
_CLAIM_TIMEOUT_S = 0.3
_CLAIM_INTERVAL_S = 0.5
# A trial that is granted late and not sent within this time is lost.
_LATE_GRANT_TTL_S = 5.0
# Random delay before a gateway that did not observe the crash writes the record. The
# first one that is due writes, and the others then read its record.
_BACKUP_WRITE_DELAY_S = (0.5, 2.0)


class LateGrant(NamedTuple):
    """A trial at a software version that may be sent ``until`` a time."""

    version: int | None
    until: float


class QuarantineStore:
    """Writes quarantine records and claims trials.

    Parameters
    ----------
    store : stores.Store
    topic : str
        Topic of the records, keyed by the formatted fingerprint.
    """

    def __init__(self, state, store, topic):
        self._state = state
        self._store = store
        self._topic = topic
        # {fingerprint: when to write, on the gateway's clock}.
        self._due = {}
        self._next_claim_at = 0.0
        self._late_grants = {}
        self._changed = threading.Condition()

    def start(self, stopped):
        """Start the thread that writes records."""
        threading.Thread(
            target=self.run, args=(stopped,), name="quarantine", daemon=True
        ).start()

    def run(self, stopped):
        """Write due records until ``stopped`` is set."""
        while not stopped.is_set():
            with self._changed:
                self._changed.wait(_WRITE_POLL_S if self._due else _IDLE_POLL_S)
            self.write_due(self._state.clock())

    def schedule_write(self, fingerprint, observed):
        """Schedule the record of a quarantine to be written.

        A gateway that has not ``observed`` the crash writes after a delay and only if
        the record is still missing, since the observing gateway may have terminated.
        """
        self._schedule(fingerprint, observed)

    def schedule_removal(self, fingerprint, observed=True):
        """Schedule the record of a released request to be removed."""
        with self._changed:
            self._due.pop(fingerprint, None)
        self._schedule(fingerprint, observed)

    def cancel_write(self, fingerprint):
        """Cancel what is scheduled for a suspect that is not in quarantine any more."""
        if self._state.quarantine.get(fingerprint) is None:
            with self._changed:
                self._due.pop(fingerprint, None)

    def _schedule(self, fingerprint, observed):
        """Schedule a write.

        Gateways that get their view from a relay instead of the store only write what
        they observed, because there may be hundreds of them.
        """
        if not observed and not self._state.reads_store:
            return
        delay = 0.0 if observed else self._state.rng.uniform(*_BACKUP_WRITE_DELAY_S)
        due = self._state.clock() + delay
        with self._changed:
            self._due[fingerprint] = min(due, self._due.get(fingerprint, due))
            self._changed.notify()

    def write_due(self, now):
        """Write due records; failed writes are retried."""
        with self._changed:
            due = [key for key, at in self._due.items() if at <= now]
            for key in due:
                del self._due[key]
        for key in due:
            self._write(key, now)

    async def claim_trial(self, fingerprint, version=None):
        """Return whether this gateway may send the next trial, and count it.

        Only one request at a time waits for the store, for a limited time. If the store
        grants the trial later than that, the next request has it.
        """
        now = self._state.clock()
        granted = self._late_grants.pop(fingerprint, None)
        if granted is not None and granted.version == version and now < granted.until:
            return True
        if now < self._next_claim_at:
            return False
        self._next_claim_at = now + _CLAIM_INTERVAL_S
        loop = asyncio.get_running_loop()
        claimed = loop.run_in_executor(
            None, self.claim_trial_blocking, fingerprint, version
        )
        try:
            return await asyncio.wait_for(asyncio.shield(claimed), _CLAIM_TIMEOUT_S)
        except TimeoutError:
            claimed.add_done_callback(
                lambda fut: self.keep_late_grant(fingerprint, version, fut.result())
            )
            return False

    def keep_late_grant(self, fingerprint, version, granted):
        """Keep a trial that was granted after its request had given up."""
        if granted:
            until = self._state.clock() + _LATE_GRANT_TTL_S
            self._late_grants[fingerprint] = LateGrant(version, until)

    def claim_trial_blocking(self, fingerprint, version=None):
        """Count a trial in the store; return whether this gateway's claim won."""
        state = self._state
        entry = state.quarantine.get(fingerprint)
        if entry is None:
            return True
        try:
            return self._claim_in_store(fingerprint, entry.record, version)
        except (PlatformUnavailable, ValueError) as exc:
            text = format_fingerprint(fingerprint)
            state.log.note("no word on trial", fingerprint=text, why=str(exc))
        if entry.record.is_sure:
            # Without the store, other gateways could send the same trial.
            return False
        # Otherwise an outage of the store would block requests that merely ran beside
        # a crash.
        counted = entry.record.count_trial(version)
        state.quarantine.put(fingerprint, counted, state.clock())
        return True

    def _claim_in_store(self, fingerprint, record, version):
        state = self._state
        key = format_fingerprint(fingerprint)
        listing = self._store.list_newest(self._topic)
        stored_values = [entry.value for entry in listing.entries if entry.key == key]
        if stored_values:
            newest = decode_record(stored_values[0])
            if newest.trials > record.trials:
                state.quarantine.put(fingerprint, newest, state.clock(), stored=True)
                return False
        elif state.quarantine.is_stored(fingerprint):
            # Released meanwhile; the follower of the topic will apply that.
            return False
        counted = record.count_trial(version)
        try:
            era = self._store.put(
                self._topic, key, encode_record(counted), at=listing.end
            )
        except Conflict:
            return False
        if era != listing.era:
            # The restored store has assigned the offset again.
            return False
        state.quarantine.put(fingerprint, counted, state.clock(), stored=True)
        return True

    def _write(self, fingerprint, now):
        state = self._state
        entry = state.quarantine.get(fingerprint)
        if entry is not None and state.quarantine.is_stored(fingerprint):
            return
        value = None
        if entry is not None:
            at = round(time.time(), 3)
            value = encode_record(msgspec.structs.replace(entry.record, at=at))
        key = format_fingerprint(fingerprint)
        try:
            self._store.put(self._topic, key, value)
        except PlatformUnavailable as exc:
            state.log.note(
                "quarantine not written", failed=True, fingerprint=key, why=str(exc)
            )
            with self._changed:
                self._due.setdefault(fingerprint, now + _WRITE_RETRY_S)
