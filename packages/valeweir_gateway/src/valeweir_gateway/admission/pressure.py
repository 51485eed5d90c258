"""Overload detection from event-loop lag, requests in flight and intake wait.

A timer of the event loop fires late by the run time of the callbacks queued before it,
so its delay shows whether the processor keeps up.
"""

import collections
from enum import IntEnum

# Weight of a sample at the usual interval between samples.
_EWMA_ALPHA = 0.2
_SAMPLE_INTERVAL_S = 0.02
# Upper bound of one sample, since a single long stop of the host or of a garbage
# collection is not a queue.
_MAX_SAMPLE_S = 0.24
# A request takes about five iterations of the event loop to reach its upstream. At the
# severe limit these take half a second, most of the request's latency target.
_HIGH_LAG_S = 0.05
_SEVERE_LAG_S = 0.1
# A level ends when the lag falls below this part of the level's limit.
_HYSTERESIS_RATIO = 0.6
# Parts of the maximum number of requests in flight.
_HIGH_INFLIGHT_RATIO = 0.7
_SEVERE_INFLIGHT_RATIO = 0.85
# Parts of the latency target that a request waits for admission.
_HIGH_INTAKE_WAIT_RATIO = 0.1
_SEVERE_INTAKE_WAIT_RATIO = 0.2
# Clients that disconnect before their requests are read, within the window.
_OVERLOAD_DISCONNECT_COUNT = 8
_DISCONNECT_WINDOW_S = 1.0


class PressureLevel(IntEnum):
    """How overloaded a gateway is."""

    NONE = 0
    HIGH = 1
    SEVERE = 2


def get_occupancy_level(inflight, max_inflight):
    """Return the level of a gateway with ``inflight`` of ``max_inflight`` requests.

    The limits leave room to refuse further requests at once, so that their clients
    retry at another gateway.
    """
    if inflight > _SEVERE_INFLIGHT_RATIO * max_inflight:
        return PressureLevel.SEVERE
    if inflight > _HIGH_INFLIGHT_RATIO * max_inflight:
        return PressureLevel.HIGH
    return PressureLevel.NONE


def get_intake_level(wait, latency_target):
    """Return the level of a gateway where a request waits ``wait`` seconds for intake.

    A client that is refused at once has most of its latency target left for a retry at
    another gateway.
    """
    if wait > _SEVERE_INTAKE_WAIT_RATIO * latency_target:
        return PressureLevel.SEVERE
    if wait > _HIGH_INTAKE_WAIT_RATIO * latency_target:
        return PressureLevel.HIGH
    return PressureLevel.NONE


class OverloadDetector:
    """Detects whether the load balancer should send this gateway no new clients.

    The best sign is clients that disconnect before their requests are read, since the
    queue is then longer than clients are ready to wait. The state ends after a window
    without such disconnects and without severe load.
    """

    def __init__(self, log):
        self._log = log
        self._disconnects = collections.deque()
        self._last_overload_at = None
        self.is_overloaded = False

    def record_unread_disconnect(self, now):
        """Record a client that disconnected before its request was read."""
        self._disconnects.append(now)
        self._last_overload_at = now

    def check(self, level, now):
        """Apply the current `PressureLevel`; return whether to refuse new clients."""
        while self._disconnects and now - self._disconnects[0] > _DISCONNECT_WINDOW_S:
            self._disconnects.popleft()
        if level is PressureLevel.SEVERE:
            self._last_overload_at = now
        triggered = (
            len(self._disconnects) >= _OVERLOAD_DISCONNECT_COUNT
            or level is PressureLevel.SEVERE
        )
        recovered = (
            self._last_overload_at is None
            or now - self._last_overload_at > _DISCONNECT_WINDOW_S
        )
        overloaded = triggered or self.is_overloaded and not recovered
        if overloaded != self.is_overloaded:
            self.is_overloaded = overloaded
            self._log.note(
                "clients turned away" if overloaded else "clients taken again",
                failed=overloaded,
                left_unread=len(self._disconnects),
                level=level.name.lower(),
            )
        return overloaded


class ProcessorPressure:
    """Moving mean of the event-loop lag in seconds, and the level that it gives."""

    def __init__(self, log):
        self._log = log
        self.lag = 0.0
        self.level = PressureLevel.NONE

    def observe(self, delay, interval=_SAMPLE_INTERVAL_S):
        """Add a sample: the delay of a timer that fires at an interval, in seconds.

        The mean covers the same time at any interval up to the usual one.
        """
        delay = min(_MAX_SAMPLE_S, max(0.0, delay))
        weight = min(1.0, interval / _SAMPLE_INTERVAL_S)
        self.lag += (1.0 - (1.0 - _EWMA_ALPHA) ** weight) * (delay - self.lag)
        level = self._get_level()
        if level != self.level:
            self.level = level
            self._log.note(
                "processor lags" if level else "processor keeps up",
                failed=bool(level),
                level=level.name.lower(),
                lag_ms=round(self.lag * 1000),
            )

    def _get_level(self):
        """Return the level for the lag, with hysteresis when it falls."""
        for level, limit in (
            (PressureLevel.SEVERE, _SEVERE_LAG_S),
            (PressureLevel.HIGH, _HIGH_LAG_S),
        ):
            if self.level >= level:
                limit *= _HYSTERESIS_RATIO
            if self.lag > limit:
                return level
        return PressureLevel.NONE
