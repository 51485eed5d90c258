"""Bounds how many new requests one iteration of the event loop admits.

The admission decision is the longest step in the work of a gateway. After a burst, the
remaining requests wait for later iterations, so that active streams, reports and the
load balancer's readiness checks are not queued behind the whole burst.
"""

import asyncio
import collections

from valeweir.timers import get_lease_time

# Takes about 4 ms on half a core, a fifth of the interval between reports: 0.25 ms for
# a stream (valeweir_standin.path) and 0.1 ms for a placement among 30 engines.
_MAX_REQUESTS_PER_ITERATION = 6
_EWMA_ALPHA = 0.1
# Used until iterations with waiting requests give samples.
_INITIAL_REQUEST_TIME_S = 0.001


class IntakeQueue:
    """Admits requests in order of arrival, a few per iteration of the event loop."""

    def __init__(self, clock=get_lease_time):
        self._clock = clock
        self._waiting = collections.deque()
        self._request_time = _INITIAL_REQUEST_TIME_S
        self._released_at = None
        self._admitted_count = 0
        self._is_scheduled = False

    def __len__(self):
        return len(self._waiting)

    def estimate_wait(self):
        """Return the seconds until a request that arrives now is admitted."""
        return len(self._waiting) * self._request_time

    async def enter(self):
        """Wait until this request is admitted."""
        if self._admitted_count < _MAX_REQUESTS_PER_ITERATION and not self._waiting:
            self._count_admission()
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiting.append(fut)
        self._schedule_release()
        await fut

    def _count_admission(self):
        self._admitted_count += 1
        self._schedule_release()

    def _schedule_release(self):
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._release)

    def _update_request_time(self):
        """Update the mean time per request from iterations with waiting requests."""
        now = self._clock()
        if self._released_at is not None and self._waiting and self._admitted_count:
            spent = (now - self._released_at) / self._admitted_count
            self._request_time += _EWMA_ALPHA * (spent - self._request_time)
        self._released_at = now

    def _release(self):
        self._is_scheduled = False
        self._update_request_time()
        self._admitted_count = 0
        while self._waiting and self._admitted_count < _MAX_REQUESTS_PER_ITERATION:
            fut = self._waiting.popleft()
            if not fut.done():
                self._admitted_count += 1
                fut.set_result(None)
        if self._admitted_count:
            self._schedule_release()
