"""Telling the store where this gateway listens, so that others find it."""

import threading

from valeweir.exceptions import PlatformUnavailable

_FIRST_RETRY_DELAY_S = 0.3
_MAX_RETRY_DELAY_S = 5.0
# How long to wait for the list of members, which may hold this gateway's record.
_LISTING_TIMEOUT_S = 1.0
_LISTING_CHECK_S = 0.02


class Publisher:
    """Writes this gateway's address once, trying again until it is taken.

    A gateway that was here before has its record in the list of members, and writes
    none. Writing it twice does no harm: the record is the same.
    """

    def __init__(self, state, adapter, address):
        self._state = state
        self._store = adapter.store
        self._topic = adapter.member_topic
        self._address = address

    def start(self, stopped):
        """Publish in a thread of its own."""
        threading.Thread(
            target=self.run, args=(stopped,), name="publish", daemon=True
        ).start()

    def run(self, stopped):
        """Publish, with pauses that double, until done or ``stopped``."""
        delay = _FIRST_RETRY_DELAY_S
        record = self.make_record()
        self._wait_for_listing(stopped)
        while not stopped.is_set() and self._state.member_record != record:
            try:
                self._store.put(self._topic, self._state.cfg.host, record)
                return
            except PlatformUnavailable as exc:
                self._state.log.note("address not published", failed=True, why=str(exc))
            stopped.wait(delay)
            delay = min(delay * 2, _MAX_RETRY_DELAY_S)

    def make_record(self):
        """Return the bytes that tell others where this gateway listens."""
        cfg = self._state.cfg
        return f"{cfg.domain} {self._address} {cfg.processor.capacity:g}".encode()

    def _wait_for_listing(self, stopped):
        end = self._state.clock() + _LISTING_TIMEOUT_S
        while self._state.clock() < end and not self._state.members_known:
            if stopped.wait(_LISTING_CHECK_S):
                return
