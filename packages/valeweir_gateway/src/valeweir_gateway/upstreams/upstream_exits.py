"""Whether an upstream that broke a request off has ended.

A connection that breaks off says little: upstreams cut answers, reset connections and
lose them. Where a new connection is refused at the same moment, nobody listens there
any more, and the process has ended.
"""

import asyncio
import errno

from .connections import connect

# Seconds that a new connection may take; one that is lost on the way proves nothing.
_PROBE_TIMEOUT_S = 0.2
# Seconds for which an end is believed without another look: shorter than an upstream
# takes to come back.
_EXIT_VALID_S = 1.0


class _ProbeClient:
    """Whom a probe is for: a client that never leaves."""

    is_gone = False

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
        self._exited_at = {}
        self._probes = {}

    async def has_ended(self, instance, sent):
        """Return whether the instance has ended after a request was ``sent`` there.

        One that ended before cannot have run the request.
        """
        exited_at = self._exited_at.get(instance.id)
        if exited_at is not None and self._clock() - exited_at < _EXIT_VALID_S:
            return sent < exited_at
        probe = self._probes.get(instance.id)
        if probe is None:
            probe = self._probes[instance.id] = asyncio.ensure_future(
                self._probe(instance)
            )
        return await asyncio.shield(probe)

    async def _probe(self, instance):
        try:
            sock = await self._connect(
                instance.address, _ProbeClient(), _PROBE_TIMEOUT_S
            )
        except OSError as exc:
            is_refused = exc.errno == errno.ECONNREFUSED
            if is_refused:
                self._record_exit(instance.id)
            return is_refused
        finally:
            del self._probes[instance.id]
        self._keep(instance.id, sock)
        return False

    def _record_exit(self, instance_id):
        now = self._clock()
        expired = [
            key for key, at in self._exited_at.items() if now - at >= _EXIT_VALID_S
        ]
        for key in expired:
            del self._exited_at[key]
        self._exited_at[instance_id] = now
