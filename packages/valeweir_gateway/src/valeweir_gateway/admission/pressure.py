"""Whether this gateway keeps up: its processor, and the requests under way.

The lag of the event loop shows it: a timer is late by what is queued before it.
"""

import collections
from enum import IntEnum

# Part of the mean that a new figure makes up.
_EWMA_ALPHA = 0.2
# Lags in seconds. One long stop, of the host or of a collection, is no queue. A request
# takes some five turns of the loop to its upstream: at the second limit half a second
# and most of its latency target.
_MAX_SAMPLE_S = 0.24
_HIGH_LAG_S = 0.05
_SEVERE_LAG_S = 0.1
# A level ends below this part of the lag that began it.
_HYSTERESIS_RATIO = 0.6
# Parts of the requests that may be under way.
_HIGH_INFLIGHT_RATIO = 0.7
_SEVERE_INFLIGHT_RATIO = 0.85
# Parts of a request's latency target that it may wait to be looked at.
_HIGH_INTAKE_WAIT_RATIO = 0.1
_SEVERE_INTAKE_WAIT_RATIO = 0.2
# Clients that leave before they are read, within a window in seconds.
_OVERLOAD_DISCONNECT_COUNT = 8
_DISCONNECT_WINDOW_S = 1.0


class Level(IntEnum):
    """How far behind the processor is."""

    NONE = 0
    HIGH = 1
    SEVERE = 2


def get_occupancy_level(inflight, max_inflight):
    """Return the level of a gateway that has ``inflight`` of ``max_inflight`` requests.

    Some room is left for telling clients to go elsewhere at once.
    """
    if inflight > _SEVERE_INFLIGHT_RATIO * max_inflight:
        return Level.SEVERE
    if inflight > _HIGH_INFLIGHT_RATIO * max_inflight:
        return Level.HIGH
    return Level.NONE


def get_intake_level(wait, latency_target):
    """Return the level of a gateway at which a request waits for its turn.

    A client that is sent elsewhere at once has most of its latency target left there.
    """
    if wait > _SEVERE_INTAKE_WAIT_RATIO * latency_target:
        return Level.SEVERE
    if wait > _HIGH_INTAKE_WAIT_RATIO * latency_target:
        return Level.HIGH
    return Level.NONE


class Overload:
    """Whether this gateway should get no more clients for now.

    Clients that leave before they are read show it best: what waits is then
    longer than anybody's patience. It lasts until a while without them.
    """

    def __init__(self, log):
        self._log = log
        self._disconnects = collections.deque()
        self._last_overload_at = None
        self.is_out = False

    def note_left(self, now):
        """Note a client that left before its request was read."""
        self._disconnects.append(now)
        self._last_overload_at = now

    def check(self, level, now):
        """Take in the `Level`; return whether to get no more clients."""
        while self._disconnects and now - self._disconnects[0] > _DISCONNECT_WINDOW_S:
            self._disconnects.popleft()
        if level is Level.SEVERE:
            self._last_overload_at = now
        crowded = (
            len(self._disconnects) >= _OVERLOAD_DISCONNECT_COUNT
            or level is Level.SEVERE
        )
        quiet = (
            self._last_overload_at is None
            or now - self._last_overload_at > _DISCONNECT_WINDOW_S
        )
        overloaded = crowded or self.is_out and not quiet
        if overloaded != self.is_out:
            self.is_out = overloaded
            self._log.note(
                "clients turned away" if overloaded else "clients taken again",
                failed=overloaded,
                left_unread=len(self._disconnects),
                level=level.name.lower(),
            )
        return overloaded


class Pressure:
    """A moving mean of how late a periodic timer of the loop is, in seconds."""

    def __init__(self, log):
        self._log = log
        self.lag = 0.0
        self.level = Level.NONE

    def note(self, delay):
        """Take in by how much a wake-up was late."""
        delay = min(_MAX_SAMPLE_S, max(0.0, delay))
        self.lag += _EWMA_ALPHA * (delay - self.lag)
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
        """Return the level; a lower one needs a clearly smaller lag."""
        for level, limit in ((Level.SEVERE, _SEVERE_LAG_S), (Level.HIGH, _HIGH_LAG_S)):
            if self.level >= level:
                limit *= _HYSTERESIS_RATIO
            if self.lag > limit:
                return level
        return Level.NONE
