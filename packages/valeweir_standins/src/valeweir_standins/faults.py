"""Faults that a stand-in injects, set through its ``/faults`` resource."""

import random
import threading

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults to inject; probabilities are from 0 to 1, times in seconds.

    ``late`` delays each response. ``cut`` ends a response half-way, ``crossed``
    sends the response of another request, ``refuse`` sends status 503 and ``drop``
    closes the connection after the work is done. ``outage`` refuses every request.
    ``lose_answer`` is the number of appends that take effect without a response.
    ``lag`` delays the visibility of changes to the membership list.
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
    """The current faults, with a seeded random generator."""

    def __init__(self, seed=0):
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()

    def serve(self, request, reply):
        """Handle ``/faults``: PUT replaces the faults, and any method returns them."""
        if request.method == "PUT":
            self.faults = msgspec.json.decode(request.body, type=Faults)
        reply.send_json(200, self.faults)

    def should_inject(self, probability):
        """Return whether to inject a fault of this probability now."""
        if probability <= 0:
            return False
        with self._lock:
            return self._rng.random() < probability
