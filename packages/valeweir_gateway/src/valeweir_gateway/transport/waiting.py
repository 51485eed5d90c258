"""Waiting for a socket on the event loop, with an end and a client that may leave."""

import asyncio
from enum import Enum


class Wake(Enum):
    """Why a wait has ended: the socket is ready, the time is up, the client left."""

    READY = 1
    DUE = 2
    GONE = 3


async def wait_for_socket(sock, until, client, reading=True, writing=False):
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
        loop.add_reader(fd, wake, waiter, Wake.READY)
    if writing:
        loop.add_writer(fd, wake, waiter, Wake.READY)
    timer = loop.call_at(until, wake, waiter, Wake.DUE)
    client.watch(lambda: wake(waiter, Wake.GONE))
    try:
        return await waiter
    finally:
        client.watch(None)
        timer.cancel()
        if reading:
            loop.remove_reader(fd)
        if writing:
            loop.remove_writer(fd)


def wake(fut, result=None):
    """End the wait for a future, if somebody waits and it has not ended."""
    if fut is not None and not fut.done():
        fut.set_result(result)
