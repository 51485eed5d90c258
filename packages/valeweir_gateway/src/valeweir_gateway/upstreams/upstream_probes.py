"""Asks an upstream whether its process is alive, without running a request there.

The probe is a health check for another instance, so that any live upstream rejects it
at once. A connection that is only accepted proves nothing: the kernel closes the
sockets of a killed process one after the other, the listening one perhaps last, and
resets what it has accepted until then.
"""

import asyncio
import errno
import uuid
from enum import Enum

from ..transport.responses import Head
from .connections import connect
from .exchanges import Call, Exchange

# An upstream that does not answer within this time may be alive or not.
_PROBE_TIMEOUT_S = 0.3
# Pauses between attempts while connections are reset; they double.
_FIRST_PAUSE_S = 0.005
# An instance id that no upstream has.
_NO_INSTANCE = "-"


class ProbeResult(Enum):
    """What a probe has shown; ``UNKNOWN`` after packets were lost, for example."""

    EXITED = 1
    ALIVE = 2
    UNKNOWN = 3


class _ProbeClient:
    """The client of a probe, which never disconnects."""

    is_disconnected = False

    def watch(self, callback):
        """Ignore the callback, as this client never disconnects."""


def create_probe(names, keep, get_health_path, clock):
    """Return a coroutine function that probes an instance; see `ProbeResult`.

    Parameters
    ----------
    names : headers.HeaderNames
    keep : callable
        Called with the id of an instance, a connection to it that may be reused, and
        its lifetime in seconds or None.
    get_health_path : callable
        Returns the path of the health checks of a service.
    """

    async def probe(instance):
        until = clock() + _PROBE_TIMEOUT_S
        pause = _FIRST_PAUSE_S
        while clock() < until:
            result = await attempt(instance, until)
            if result is not None:
                return result
            await asyncio.sleep(pause)
            pause *= 2
        return ProbeResult.UNKNOWN

    async def attempt(instance, until):
        """Return the result of one connection, None if it was reset."""
        try:
            sock = await connect(instance.address, _ProbeClient(), until - clock())
        except OSError as exc:
            if exc.errno == errno.ECONNREFUSED:
                return ProbeResult.EXITED
            return None
        exchange = Exchange(
            sock,
            _ProbeClient(),
            lambda idle_sock, lifetime: keep(instance.id, idle_sock, lifetime),
            names.request_id,
        )
        try:
            return await ask(exchange, instance, until)
        finally:
            exchange.close()

    async def ask(exchange, instance, until):
        request_id = uuid.uuid4().hex
        headers = [
            ("Host", instance.address),
            (names.request_id, request_id),
            (names.expected_instance, _NO_INSTANCE),
        ]
        path = get_health_path(instance.service)
        failure = await exchange.send(
            Call(request_id, "GET", path, headers, b"", until)
        )
        response = failure or await exchange.read()
        if isinstance(response, Head):
            # The connection can be reused once the response is read.
            await exchange.discard_body()
            return ProbeResult.ALIVE
        return None if response.broke_off else ProbeResult.UNKNOWN

    return probe
