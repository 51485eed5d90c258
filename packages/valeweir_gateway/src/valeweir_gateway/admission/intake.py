"""Bounds how many new requests one turn of the event loop takes up.

Deciding on a request takes the longest of all that a gateway does. After a burst
the rest wait for the next turns, so that streams under way, reports and the
balancer's questions are never behind all of it.
"""

import asyncio
import collections

from valeweir.timers import get_lease_time

# About 4 ms on half a core, a fifth of the interval between reports: 0.25 ms for a
# stream (valeweir_standin.path) and 0.1 ms for a placement among 30 engines.
_REQUESTS_A_TURN = 6
# Part of the mean time a request that a new figure makes up.
_MEMORY = 0.1
# Seconds a request to begin with; the turns of the first crowded moment teach more.
_FIRST_TIME = 0.001


class Intake:
    """Lets requests pass in order of arrival, a few for each turn of the loop."""

    def __init__(self, clock=get_lease_time):
        self._clock = clock
        self._waiting = collections.deque()
        self._time = _FIRST_TIME
        self._turned = None
        self._passed = 0
        self._is_turning = False

    def __len__(self):
        return len(self._waiting)

    def estimate_wait(self):
        """Return seconds until a request that comes now has its turn."""
        return len(self._waiting) * self._time

    async def enter(self):
        """Wait for this request's turn."""
        if self._passed < _REQUESTS_A_TURN and not self._waiting:
            self._count()
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._ask_for_turn()
        await fut

    def _count(self):
        self._passed += 1
        self._ask_for_turn()

    def _ask_for_turn(self):
        if not self._is_turning:
            self._is_turning = True
            asyncio.get_running_loop().call_soon(self._turn)

    def _learn(self):
        """Learn the time a request from that between turns with some waiting."""
        now = self._clock()
        if self._turned is not None and self._waiting and self._passed:
            spent = (now - self._turned) / self._passed
            self._time += _MEMORY * (spent - self._time)
        self._turned = now

    def _turn(self):
        self._is_turning = False
        self._learn()
        self._passed = 0
        while self._waiting and self._passed < _REQUESTS_A_TURN:
            fut = self._waiting.popleft()
            if not fut.done():
                self._passed += 1
                fut.set_result(None)
        if self._passed:
            self._ask_for_turn()
