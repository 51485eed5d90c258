"""Whether an upstream that broke a request off has ended.

A connection that breaks off says little: upstreams cut answers, reset connections and
lose them. Where a new connection is refused at the same moment, nobody listens there
any more, and the process has ended.
"""

import asyncio
import errno

from .connections import connect

# Seconds that a new connection may take; one that is lost on the way proves nothing.
_PROBE_TIMEOUT = 0.2
# Seconds for which an end is believed without another look: shorter than an upstream
# takes to come back.
_BELIEVED_FOR = 1.0


class _Nobody:
    """Whom a probe is for: a client that never leaves."""

    is_disconnected = False

    def watch(self, waiter):
        """Have nobody to watch."""


class Endings:
    """Ends of upstreams found out by this gateway; used on the event loop only.

    Parameters
    ----------
    keep : callable
        Called with an instance's id and a new connection to it: it still listens.
    connect : callable
        As `connections.connect`.
    """

    def __init__(self, clock, keep, connect=connect):
        self._clock = clock
        self._keep = keep
        self._connect = connect
        self._ended = {}
        self._asking = {}

    async def has_ended(self, instance, sent):
        """Return whether the instance has ended after a request was ``sent`` there.

        One that ended before cannot have run the request.
        """
        known = self._ended.get(instance.id)
        if known is not None and self._clock() - known < _BELIEVED_FOR:
            return sent < known
        asking = self._asking.get(instance.id)
        if asking is None:
            asking = self._asking[instance.id] = asyncio.ensure_future(
                self._ask(instance)
            )
        return await asyncio.shield(asking)

    async def _ask(self, instance):
        try:
            sock = await self._connect(instance.address, _Nobody(), _PROBE_TIMEOUT)
        except OSError as exc:
            ended = exc.errno == errno.ECONNREFUSED
            if ended:
                self._note_ended(instance.id)
            return ended
        finally:
            del self._asking[instance.id]
        self._keep(instance.id, sock)
        return False

    def _note_ended(self, instance_id):
        now = self._clock()
        old = [key for key, at in self._ended.items() if now - at >= _BELIEVED_FOR]
        for key in old:
            del self._ended[key]
        self._ended[instance_id] = now
