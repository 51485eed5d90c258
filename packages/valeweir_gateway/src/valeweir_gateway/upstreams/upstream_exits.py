"""Detects whether an upstream that broke off a request has exited.

A connection that breaks off is not sufficient evidence: running upstreams also truncate
responses, and reset or lose connections. If a new connection is refused at the same
time, no process listens at the address any more, so the upstream has exited.
"""

import asyncio
import errno

from .connections import connect

# A probe that times out, as when its packets are lost, proves nothing.
_PROBE_TIMEOUT_S = 0.2
# For this long an exit is assumed to last without another probe; it is shorter than the
# restart of an upstream takes.
_EXIT_VALID_S = 1.0


class _ProbeClient:
    """The client of a probe, which never disconnects."""

    is_disconnected = False

    def watch(self, callback):
        """Ignore the callback, as this client never disconnects."""


class UpstreamExits:
    """Exits of upstreams detected by this gateway; used on the event loop only.

    Parameters
    ----------
    keep : callable
        Called with the id of an instance that still listens and a new connection to it.
    connect : callable
        Has the signature of `connections.connect`.
    """

    def __init__(self, clock, keep, connect=connect):
        self._clock = clock
        self._keep = keep
        self._connect = connect
        self._exited_at = {}
        self._probes = {}

    async def has_exited(self, instance, sent):
        """Return whether the instance has exited after the time a request was ``sent``.

        An instance that exited before that time cannot have run the request.
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
