"""Quarantines in the platform's store, so that they outlast the gateways.

Each is a record of a topic of the fleet's own, written by the gateway that saw the last
upstream end. The store also decides who may make a trial: an append under a condition
is taken from one gateway only, however many ask at the same moment.
"""

import asyncio
import threading
import time

import msgspec
from valeweir.exceptions import PlatformUnavailable

from ..stores import Conflict
from .fingerprints import format_fingerprint
from .records import decode_record, encode_record

# Seconds between looks at what is to be written, where there is anything and where not,
# as each wake-up of a thread has its price; and until a write is tried again.
_WRITE_POLL_S = 0.05
_IDLE_POLL_S = 1.0
_WRITE_RETRY_S = 0.5
# Seconds that a request waits for the store to grant a trial, some dozen times its
# usual answer, and from one request that asks to the next.
_CLAIM_TIMEOUT_S = 0.3
_CLAIM_INTERVAL_S = 0.5
# Seconds that others leave to the gateway that saw the end; the one that is due first
# writes, and the rest then see its record.
_BACKUP_WRITE_DELAY_S = (0.5, 2.0)


class QuarantineStore:
    """Writes records of quarantines, and asks for trials.

    Parameters
    ----------
    store : stores.Store
    topic : str
        Keyed by the fingerprint as text.
    """

    def __init__(self, state, store, topic):
        self._state = state
        self._store = store
        self._topic = topic
        # Fingerprint: when to write, on the gateway's clock; a thread writes.
        self._due = {}
        self._next_claim_at = 0.0
        self._changed = threading.Condition()

    def start(self, stopped):
        """Write in a thread of its own."""
        threading.Thread(
            target=self.run, args=(stopped,), name="quarantine", daemon=True
        ).start()

    def run(self, stopped):
        """Write what is due until ``stopped``."""
        while not stopped.is_set():
            with self._changed:
                self._changed.wait(_WRITE_POLL_S if self._due else _IDLE_POLL_S)
            self.write_due(self._state.clock())

    def schedule_write(self, fingerprint, observed):
        """Have a quarantine written; ``observed`` where this gateway saw the end.

        Others write it too, a while later and only where it is still missing: the
        one that saw it may be gone.
        """
        self._schedule(fingerprint, observed)

    def schedule_removal(self, fingerprint, observed=True):
        """Have the record of a released request removed, as `keep` writes it."""
        with self._changed:
            self._due.pop(fingerprint, None)
        self._schedule(fingerprint, observed)

    def on_record_removed(self, fingerprint):
        """Note that the store holds no record: there is none to remove."""
        if self._state.quarantine.get(fingerprint) is None:
            with self._changed:
                self._due.pop(fingerprint, None)

    def _schedule(self, fingerprint, observed):
        """Write soon; those that take their view from a relay, hundreds, do not."""
        if not observed and not self._state.reads_store:
            return
        delay = 0.0 if observed else self._state.rng.uniform(*_BACKUP_WRITE_DELAY_S)
        due = self._state.clock() + delay
        with self._changed:
            self._due[fingerprint] = min(due, self._due.get(fingerprint, due))
            self._changed.notify()

    def write_due(self, now):
        """Write what is due; what fails is tried again."""
        with self._changed:
            due = [key for key, at in self._due.items() if at <= now]
            for key in due:
                del self._due[key]
        for key in due:
            self._write(key, now)

    async def claim_trial(self, fingerprint):
        """Return whether this gateway may make the next trial; its record counts it.

        One request at a time waits for the store's word, and not for long.
        """
        now = self._state.clock()
        if now < self._next_claim_at:
            return False
        self._next_claim_at = now + _CLAIM_INTERVAL_S
        loop = asyncio.get_running_loop()
        claimed = loop.run_in_executor(None, self.claim_trial_blocking, fingerprint)
        try:
            return await asyncio.wait_for(claimed, _CLAIM_TIMEOUT_S)
        except TimeoutError:
            return False

    def claim_trial_blocking(self, fingerprint):
        """Count a trial in the store; return whether it was taken from here."""
        state = self._state
        entry = state.quarantine.get(fingerprint)
        if entry is None:
            return True
        try:
            return self._claim_in_store(fingerprint, entry.record)
        except (PlatformUnavailable, ValueError) as exc:
            text = format_fingerprint(fingerprint)
            state.log.note("no word on trial", fingerprint=text, why=str(exc))
        if entry.record.is_sure:
            # Without the store nobody knows who else would try.
            return False
        # Else an outage of the store would keep requests back that only ran where
        # upstreams ended.
        state.quarantine.put(fingerprint, entry.record.count_trial(), state.clock())
        return True

    def _claim_in_store(self, fingerprint, record):
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
            # Let go meanwhile; the follower of the topic will say so.
            return False
        counted = record.count_trial()
        try:
            self._store.put(self._topic, key, encode_record(counted), at=listing.end)
        except Conflict:
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
