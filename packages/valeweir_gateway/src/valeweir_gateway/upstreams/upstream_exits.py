"""Detects whether an upstream that ended a response early has exited.

A connection that ends is not sufficient evidence: running upstreams also truncate
responses, and reset or lose connections.
"""

import asyncio
from typing import NamedTuple

from .upstream_probes import ProbeResult

# For this long an exit is assumed to last without another probe; it is shorter than the
# restart of an upstream takes.
_EXIT_VALID_S = 1.0
# Time in which the connections of a killed process end.
_CLOSING_S = 0.05


class _Probe(NamedTuple):
    """A probe under way; its task returns the `ProbeResult`."""

    started_at: float
    task: asyncio.Future


class UpstreamExits:
    """Exits of upstreams detected by this gateway; used on the event loop only.

    Parameters
    ----------
    probe : callable
        Coroutine function that takes an instance and returns a `ProbeResult`.
    """

    def __init__(self, clock, probe):
        self._clock = clock
        self._probe = probe
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
        await asyncio.sleep(max(0.0, ended + _CLOSING_S - self._clock()))
        return any(
            other is not response and abs(at - ended) <= _CLOSING_S
            for other, at in self._ends.get(instance_id, {}).items()
        )

    async def has_exited(self, instance, sent):
        """Return whether the instance has exited after the time a request was ``sent``.

        An instance that exited before that time cannot have run the request. One that
        answers to a probe that starts now has not exited.
        """
        ended = self._clock()
        exited_at = self._get_exit(instance.id)
        if exited_at is not None:
            return sent < exited_at
        probe = self._probes.get(instance.id)
        if probe is not None and probe.started_at < ended:
            # It may have been answered before the end of this response.
            if await asyncio.shield(probe.task) is ProbeResult.EXITED:
                return True
        result = await asyncio.shield(self._start_probe(instance, ended))
        return result is ProbeResult.EXITED

    def _get_exit(self, instance_id):
        exited_at = self._exited_at.get(instance_id)
        if exited_at is None or self._clock() - exited_at >= _EXIT_VALID_S:
            return None
        return exited_at

    def _start_probe(self, instance, earliest):
        """Return the task of a probe that started at ``earliest`` or later."""
        probe = self._probes.get(instance.id)
        if probe is None or probe.started_at < earliest:
            task = asyncio.ensure_future(self._run_probe(instance))
            probe = self._probes[instance.id] = _Probe(self._clock(), task)
        return probe.task

    async def _run_probe(self, instance):
        result = await self._probe(instance)
        if result is ProbeResult.EXITED:
            self._exited_at[instance.id] = self._clock()
        return result

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
