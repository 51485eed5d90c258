"""Learning what engines hold in their caches when this gateway starts.

From then on gateways tell each other what they have engines read. A list holds
an engine's work up, so each engine is asked once, when it becomes known.
"""

import queue
import threading

from valeweir.exceptions import PlatformUnavailable

from .reports import get_digest

_RETRY = 0.5
_TRIES = 3


class CacheScout:
    """Asks every new engine which prompt parts it holds.

    Parameters
    ----------
    list_parts : callable
        Takes an address and returns the ids of the parts held there; raises
        `PlatformUnavailable`.
    """

    def __init__(self, state, list_parts):
        self._state = state
        self._list_parts = list_parts
        self._queue = queue.SimpleQueue()
        self._asked = set()

    def start(self, stopped):
        """Ask in a thread of its own."""
        threading.Thread(
            target=self._run, args=(stopped,), name="caches", daemon=True
        ).start()

    def find_new(self):
        """Queue engines that were not asked yet."""
        catalog = self._state.catalog
        if catalog is None:
            return
        known = set(self._state.directory.by_id)
        self._asked &= known
        for instance_id in known - self._asked:
            instance = self._state.directory.by_id.get(instance_id)
            service = catalog.services.get(instance.service) if instance else None
            if service is not None and service.engine is not None:
                self._asked.add(instance_id)
                self._learn(instance)

    def _learn(self, instance):
        """Take a warming engine's cache as empty; ask the others for theirs.

        One that has just started has read nothing, and calls of every gateway at
        once are what it bears least.
        """
        state = self._state
        now = state.clock()
        if state.slow_start.is_warming(instance.id, now):
            state.loads.note_listed(instance.id, [], now)
        else:
            self._queue.put(instance)

    def ask(self, instance):
        """Take in what one engine holds; return whether it answered."""
        try:
            parts = self._list_parts(instance.address)
        except PlatformUnavailable as exc:
            self._state.log.note(
                "cache not listed", failed=True, upstream=instance.id, why=str(exc)
            )
            return False
        digests = [get_digest(part) for part in parts]
        self._state.loads.note_listed(instance.id, digests, self._state.clock())
        self._state.log.note("cache listed", upstream=instance.id, parts=len(parts))
        return True

    def _run(self, stopped):
        while not stopped.is_set():
            try:
                instance = self._queue.get(timeout=_RETRY)
            except queue.Empty:
                continue
            for _ in range(_TRIES):
                if self.ask(instance) or stopped.wait(_RETRY):
                    break
