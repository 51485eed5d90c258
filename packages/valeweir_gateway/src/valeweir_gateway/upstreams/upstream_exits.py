"""Detects whether an upstream that ended a response early has exited.

A connection that ends is not sufficient evidence: running upstreams also truncate
responses, and reset or lose connections. If a new connection is refused, no process
listens at the address any more, so the upstream has exited. One that is accepted proves
little at first: the kernel closes the sockets of a killed process one after the other,
the listening one perhaps last, and resets what it has accepted until then.
"""

import asyncio
import errno
from enum import Enum
from typing import NamedTuple

from .connections import connect

# A probe that times out, as when its packets are lost, proves nothing.
_PROBE_TIMEOUT_S = 0.2
# Time in which the kernel closes all sockets of a killed process.
_CLOSING_S = 0.05
# For this long an exit is assumed to last without another probe; it is shorter than the
# restart of an upstream takes.
_EXIT_VALID_S = 1.0


class _Outcome(Enum):
    """What a probe has shown."""

    REFUSED = 1
    ACCEPTED = 2
    UNKNOWN = 3


class _Probe(NamedTuple):
    """A connection attempt; its task returns the `_Outcome`."""

    started_at: float
    task: asyncio.Future


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
        # The last probe of each instance.
        self._probes = {}
        # {instance id: {response: when its connection ended}}, the recent ones.
        self._ends = {}

    def record_end(self, instance_id, response):
        """Record that the connection of a response has ended just now, or earlier."""
        now = self._clock()
        self._drop_expired(now)
        self._ends.setdefault(instance_id, {}).setdefault(response, now)

    async def ended_with_others(self, instance_id, response):
        """Return whether connections of other responses ended at the same time.

        A process that exits ends all of them, one that has finished a response ends
        only that one.
        """
        ended = self._ends.get(instance_id, {}).get(response)
        if ended is None:
            return False
        await self._sleep_until(ended + _CLOSING_S)
        return any(
            other is not response and abs(at - ended) <= _CLOSING_S
            for other, at in self._ends.get(instance_id, {}).items()
        )

    async def has_exited(self, instance, sent):
        """Return whether the instance has exited after the time a request was ``sent``.

        An instance that exited before that time cannot have run the request.
        """
        ended = self._clock()
        exited_at = self._get_exit(instance.id)
        if exited_at is not None:
            return sent < exited_at
        # The first probe finds most exits, the other one those that it was too early
        # for.
        for earliest in (ended - _CLOSING_S, ended + _CLOSING_S):
            await self._sleep_until(earliest)
            if await self._probe(instance, earliest) is _Outcome.REFUSED:
                return True
        return False

    def _get_exit(self, instance_id):
        exited_at = self._exited_at.get(instance_id)
        if exited_at is None or self._clock() - exited_at >= _EXIT_VALID_S:
            return None
        return exited_at

    async def _sleep_until(self, time):
        await asyncio.sleep(max(0.0, time - self._clock()))

    async def _probe(self, instance, earliest):
        """Return the `_Outcome` of a probe that started at ``earliest`` or later."""
        probe = self._probes.get(instance.id)
        if probe is None or probe.started_at < earliest:
            now = self._clock()
            self._drop_expired(now)
            task = asyncio.ensure_future(self._connect_once(instance))
            probe = self._probes[instance.id] = _Probe(now, task)
        return await asyncio.shield(probe.task)

    async def _connect_once(self, instance):
        try:
            sock = await self._connect(
                instance.address, _ProbeClient(), _PROBE_TIMEOUT_S
            )
        except OSError as exc:
            if exc.errno != errno.ECONNREFUSED:
                return _Outcome.UNKNOWN
            self._exited_at[instance.id] = self._clock()
            return _Outcome.REFUSED
        self._keep(instance.id, sock)
        return _Outcome.ACCEPTED

    def _drop_expired(self, now):
        """Forget exits, probes and ends that are not needed any more."""
        limit = now - _EXIT_VALID_S
        self._exited_at = {k: at for k, at in self._exited_at.items() if at > limit}
        self._probes = {
            k: row for k, row in self._probes.items() if row.started_at > limit
        }
        for instance_id, ends in list(self._ends.items()):
            recent = {response: at for response, at in ends.items() if at > limit}
            if recent:
                self._ends[instance_id] = recent
            else:
                del self._ends[instance_id]
