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
_CHECK = 0.05
_IDLE_CHECK = 1.0
_PAUSE = 0.5
# Seconds that a request waits for the store to grant a trial, some dozen times its
# usual answer, and from one request that asks to the next.
_CLAIM_WAIT = 0.3
_CLAIM_PAUSE = 0.5
# Seconds that others leave to the gateway that saw the end; the one that is due first
# writes, and the rest then see its record.
_OTHERS_WAIT = (0.5, 2.0)


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
        self._next_claim = 0.0
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
                self._changed.wait(_CHECK if self._due else _IDLE_CHECK)
            self.write_due(self._state.clock())

    def keep(self, fingerprint, observed):
        """Have a quarantine written; ``observed`` where this gateway saw the end.

        Others write it too, a while later and only where it is still missing: the
        one that saw it may be gone.
        """
        self._schedule(fingerprint, observed)

    def forget(self, fingerprint, observed=True):
        """Have the record of a released request removed, as `keep` writes it."""
        with self._changed:
            self._due.pop(fingerprint, None)
        self._schedule(fingerprint, observed)

    def note_gone(self, fingerprint):
        """Note that the store holds no record: there is none to remove."""
        if self._state.quarantine.get(fingerprint) is None:
            with self._changed:
                self._due.pop(fingerprint, None)

    def _schedule(self, fingerprint, observed):
        """Write soon; those that take their view from a relay, hundreds, do not."""
        if not observed and not self._state.reads_store:
            return
        wait = 0.0 if observed else self._state.rng.uniform(*_OTHERS_WAIT)
        due = self._state.clock() + wait
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

    async def claim(self, fingerprint):
        """Return whether this gateway may make the next trial; its record counts it.

        One request at a time waits for the store's word, and not for long.
        """
        now = self._state.clock()
        if now < self._next_claim:
            return False
        self._next_claim = now + _CLAIM_PAUSE
        loop = asyncio.get_running_loop()
        asked = loop.run_in_executor(None, self.try_claim, fingerprint)
        try:
            return await asyncio.wait_for(asked, _CLAIM_WAIT)
        except TimeoutError:
            return False

    def try_claim(self, fingerprint):
        """Count a trial in the store; return whether it was taken from here."""
        state = self._state
        known = state.quarantine.get(fingerprint)
        if known is None:
            return True
        try:
            return self._claim(fingerprint, known.record)
        except (PlatformUnavailable, ValueError) as exc:
            text = format_fingerprint(fingerprint)
            state.log.note("no word on trial", fingerprint=text, why=str(exc))
        if known.record.is_sure:
            # Without the store nobody knows who else would try.
            return False
        # Else an outage of the store would keep requests back that only ran where
        # upstreams ended.
        state.quarantine.put(fingerprint, known.record.count_trial(), state.clock())
        return True

    def _claim(self, fingerprint, record):
        state = self._state
        key = format_fingerprint(fingerprint)
        listing = self._store.list_newest(self._topic)
        found = [entry.value for entry in listing.entries if entry.key == key]
        if found:
            newest = decode_record(found[0])
            if newest.trials > record.trials:
                state.quarantine.put(fingerprint, newest, state.clock(), kept=True)
                return False
        elif state.quarantine.is_kept(fingerprint):
            # Let go meanwhile; the follower of the topic will say so.
            return False
        counted = record.count_trial()
        try:
            self._store.put(self._topic, key, encode_record(counted), at=listing.end)
        except Conflict:
            return False
        state.quarantine.put(fingerprint, counted, state.clock(), kept=True)
        return True

    def _write(self, fingerprint, now):
        state = self._state
        held = state.quarantine.get(fingerprint)
        if held is not None and state.quarantine.is_kept(fingerprint):
            return
        value = None
        if held is not None:
            at = round(time.time(), 3)
            value = encode_record(msgspec.structs.replace(held.record, at=at))
        key = format_fingerprint(fingerprint)
        try:
            self._store.put(self._topic, key, value)
        except PlatformUnavailable as exc:
            state.log.note(
                "quarantine not written", failed=True, fingerprint=key, why=str(exc)
            )
            with self._changed:
                self._due.setdefault(fingerprint, now + _PAUSE)
