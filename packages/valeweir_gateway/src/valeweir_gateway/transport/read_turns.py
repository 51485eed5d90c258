"""Turns of the connections that are read without a pause.

A connection whose peer sends faster than it is read never lets the event loop go on by
waiting. However many there are, one of them is read in each iteration of the loop.
"""

import asyncio
import collections

from .socket_waits import set_result_if_pending


class ReadTurns:
    """The queue of connections that wait for their next turn."""

    def __init__(self):
        self._waiters = collections.deque()

    async def wait(self):
        """Wait for a turn, at least until the next iteration of the event loop."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiters.append(waiter)
        if len(self._waiters) == 1:
            loop.call_soon(self._start_next, loop)
        await waiter

    def _start_next(self, loop):
        set_result_if_pending(self._waiters.popleft())
        if self._waiters:
            loop.call_soon(self._start_next, loop)
