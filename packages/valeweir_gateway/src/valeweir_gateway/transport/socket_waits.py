"""Waits on the event loop that end at a deadline or when the client disconnects."""

import asyncio
from enum import Enum


class WaitResult(Enum):
    """Why a wait ended: its object ready, deadline passed or client disconnected."""

    READY = 1
    TIMED_OUT = 2
    GONE = 3


async def wait_for_socket(sock, deadline, client, reading=True, writing=False):
    """Wait for a non-blocking socket; return the `WaitResult` that ended the wait.

    Parameters
    ----------
    deadline : float
        Time at which the wait ends, on the event loop's clock, which never goes back.
    client : object
        Has ``is_disconnected`` and ``watch``, such as `replies.Reply`.
    """
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()
    fd = sock.fileno()
    if reading:
        loop.add_reader(fd, set_result_if_pending, waiter, WaitResult.READY)
    if writing:
        loop.add_writer(fd, set_result_if_pending, waiter, WaitResult.READY)
    try:
        return await wait_for_future(waiter, deadline, client)
    finally:
        if reading:
            loop.remove_reader(fd)
        if writing:
            loop.remove_writer(fd)


async def wait_for_future(waiter, deadline, client):
    """Wait for a future; return its result, or the `WaitResult` that ended the wait."""
    if client.is_disconnected:
        return WaitResult.GONE
    loop = asyncio.get_running_loop()
    timer = loop.call_at(deadline, set_result_if_pending, waiter, WaitResult.TIMED_OUT)
    client.watch(lambda: set_result_if_pending(waiter, WaitResult.GONE))
    try:
        return await waiter
    finally:
        client.watch(None)
        timer.cancel()


def set_result_if_pending(fut, result=None):
    """Set the result of a future unless it is None or already done."""
    if fut is not None and not fut.done():
        fut.set_result(result)
