"""Publication of this gateway's address in the store, so that others find it."""

import threading

from valeweir.exceptions import PlatformUnavailable

_FIRST_RETRY_DELAY_S = 0.3
_MAX_RETRY_DELAY_S = 5.0
# Maximum wait for the list of members, which may contain this gateway's record.
_LISTING_TIMEOUT_S = 1.0
_LISTING_CHECK_S = 0.02


class Publisher:
    """Writes this gateway's address to the store, with retries until it succeeds.

    A restarted gateway whose record is in the list of members writes nothing. Writing
    the record twice is harmless, because both records are equal.
    """

    def __init__(self, state, adapter, address):
        self._state = state
        self._store = adapter.store
        self._topic = adapter.member_topic
        self._address = address

    def start(self, stopped):
        """Publish in a separate thread."""
        threading.Thread(
            target=self.run, args=(stopped,), name="publish", daemon=True
        ).start()

    def run(self, stopped):
        """Publish with exponential backoff until it succeeds or ``stopped`` is set."""
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
        """Return the record with this gateway's domain, address and capacity."""
        cfg = self._state.cfg
        return f"{cfg.domain} {self._address} {cfg.processor.capacity:g}".encode()

    def _wait_for_listing(self, stopped):
        deadline = self._state.clock() + _LISTING_TIMEOUT_S
        while self._state.clock() < deadline and not self._state.members_known:
            if stopped.wait(_LISTING_CHECK_S):
                return
