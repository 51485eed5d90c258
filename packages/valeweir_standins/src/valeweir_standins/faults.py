"""Faults that a stand-in shows, switched over its own port."""

import random
import threading

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Switches; probabilities from 0 to 1, times in seconds.

    ``late`` delays answers. ``cut`` ends them half-way, ``crossed`` sends
    another request's answer, ``refuse`` answers 503, ``drop`` closes the
    connection after the work was done. ``outage`` refuses everything;
    ``lose_answer`` does the work of an append and then says nothing.
    """

    late: float = 0.0
    cut: float = 0.0
    crossed: float = 0.0
    refuse: float = 0.0
    drop: float = 0.0
    outage: bool = False
    lose_answer: int = 0
    lag: float = 0.0


class FaultSwitch:
    """The faults in force, with a seeded source of chance."""

    def __init__(self, seed=0):
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def serve(self, request, reply):
        """Handle ``/faults``: GET shows, PUT replaces."""
        if request.method == "PUT":
            self.faults = msgspec.json.decode(request.body, type=Faults)
        reply.send_json(200, self.faults)

    def should_inject(self, probability):
        """Return whether a fault of this probability strikes now."""
        if probability <= 0:
            return False
        with self._lock:
            return self._rng.random() < probability
