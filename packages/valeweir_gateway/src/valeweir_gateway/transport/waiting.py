"""Waiting for a socket on the event loop, with an end and a client that may leave."""

import asyncio
from enum import Enum


class Wake(Enum):
    """Why a wait has ended: the socket is ready, the time is up, the client left."""

    READY = 1
    DUE = 2
    GONE = 3


async def wait_for_socket(sock, deadline, client, reading=True, writing=False):
    """Return the `Wake` that ends the wait for a non-blocking socket.

    Parameters
    ----------
    until : float
        End of the wait on the loop's clock, which is the steady clock.
    client : object
        Has ``is_gone`` and ``watch``, see `servers.Reply`.
    """
    if client.is_gone:
        return Wake.GONE
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()
    fd = sock.fileno()
    if reading:
        loop.add_reader(fd, set_result_if_pending, waiter, Wake.READY)
    if writing:
        loop.add_writer(fd, set_result_if_pending, waiter, Wake.READY)
    timer = loop.call_at(deadline, set_result_if_pending, waiter, Wake.DUE)
    client.watch(lambda: set_result_if_pending(waiter, Wake.GONE))
    try:
        return await waiter
    finally:
        client.watch(None)
        timer.cancel()
        if reading:
            loop.remove_reader(fd)
        if writing:
            loop.remove_writer(fd)


def set_result_if_pending(fut, result=None):
    """End the wait for a future, if somebody waits and it has not ended."""
    if fut is not None and not fut.done():
        fut.set_result(result)
