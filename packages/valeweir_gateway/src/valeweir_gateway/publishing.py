"""Telling the store where this gateway listens, so that others find it."""

import threading

from valeweir.exceptions import PlatformUnavailable

_FIRST_PAUSE = 0.3
_MAX_PAUSE = 5.0


class Publisher:
    """Writes this gateway's address once, trying again until it is taken.

    Writing it twice does no harm: the record is the same.
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
        pause = _FIRST_PAUSE
        cfg = self._state.cfg
        capacity = cfg.processor.capacity
        record = f"{cfg.domain} {self._address} {capacity:g}"
        while not stopped.is_set():
            try:
                self._store.put(self._topic, cfg.host, record.encode())
                return
            except PlatformUnavailable as exc:
                self._state.log.note("address not published", failed=True, why=str(exc))
            stopped.wait(pause)
            pause = min(pause * 2, _MAX_PAUSE)
