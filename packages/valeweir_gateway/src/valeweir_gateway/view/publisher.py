"""Publication of this gateway's address in the store, so that others find it."""

import threading

from valeweir.exceptions import PlatformUnavailable

_FIRST_RETRY_DELAY_S = 0.3
_MAX_RETRY_DELAY_S = 5.0
# Maximum wait for the list of members, which may contain this gateway's record.
_LISTING_TIMEOUT_S = 1.0
_LISTING_CHECK_S = 0.02
# Bounds of the delay before a gateway checks whether a restored store has its record.
# The upper one grows with the fleet, as all its gateways check.
_MIN_CHECK_DELAY_S = 0.5
_CHECK_DELAY_PER_MEMBER_S = 0.1


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
        self._wait_for_listing(stopped)
        self._publish(stopped, lambda: self._state.member_record)

    def check_restored_store(self, stopped):
        """Publish again, in a separate thread, if the store has lost the record."""
        threading.Thread(
            target=self.publish_if_lost,
            args=(stopped,),
            name="publish-again",
            daemon=True,
        ).start()

    def publish_if_lost(self, stopped):
        """Publish after a random delay if the store has lost the record."""
        state = self._state
        spread = _CHECK_DELAY_PER_MEMBER_S * len(state.members)
        delay = state.rng.uniform(_MIN_CHECK_DELAY_S, _MIN_CHECK_DELAY_S + spread)
        if not stopped.wait(delay):
            self._publish(stopped, self._get_stored_record)

    def _get_stored_record(self):
        entries = self._store.list_newest(self._topic).entries
        rows = {entry.key: entry.value for entry in entries}
        return rows.get(self._state.cfg.host)

    def _publish(self, stopped, get_known):
        """Publish unless ``get_known`` returns the record; it may call the store."""
        delay = _FIRST_RETRY_DELAY_S
        record = self.make_record()
        while not stopped.is_set():
            try:
                if get_known() != record:
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
