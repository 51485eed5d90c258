"""Structured lines on standard output: bounded in rate, never blocking.

A line is written by a thread of its own. Above the rate, lines are left out
and counted; decisions on failures have an allowance of their own, so that
successes never crowd them out. So have refusals that blame the client, as a flood
refused for want of capacity would hide them.
"""

import os
import queue
import sys
import threading
import time

import msgspec
from valeweir.timers import get_lease_time

_QUEUE_LINES = 2_000
_LINES_A_WRITE = 64
_RATE_PER_SECOND = 60.0
_BURST = 240.0
_FAILURE_RATE_PER_SECOND = 60.0
_FAILURE_BURST = 240.0
_DENIAL_RATE_PER_SECOND = 10.0
_DENIAL_BURST = 60.0
# Less than what a planned stop leaves of its grace.
_STOP_WAIT = 0.2


class _Allowance:
    """A token bucket of lines."""

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._at = clock()

    def take(self):
        now = self._clock()
        self._level = min(self._burst, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class DecisionLog:
    """Writes events as JSON lines.

    Parameters
    ----------
    write : callable
        Takes bytes; the default writes to standard output.
    identity : dict
        Fields that stand on every line.
    """

    def __init__(
        self, write=None, identity=None, clock=get_lease_time, wall_clock=time.time
    ):
        self._write = write or _write_stdout
        self._identity = identity or {}
        self._clock = clock
        self._wall_clock = wall_clock
        self._queue = queue.Queue(_QUEUE_LINES)
        self._lock = threading.Lock()
        self._routine = _Allowance(_RATE_PER_SECOND, _BURST, clock)
        self._failures = _Allowance(_FAILURE_RATE_PER_SECOND, _FAILURE_BURST, clock)
        self._denials = _Allowance(_DENIAL_RATE_PER_SECOND, _DENIAL_BURST, clock)
        self.left_out = 0
        self._told = 0
        self._thread = None

    def start(self):
        """Write in a thread of its own from now on."""
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def note(self, event, failed=False, denied=False, **fields):
        """Write a line about a decision or a change of what is believed.

        Parameters
        ----------
        failed : bool
            Takes the line from the failures' allowance.
        denied : bool
            Takes it from the allowance of refusals that blame the client.
        """
        with self._lock:
            if not self._pick_allowance(failed, denied).take():
                self.left_out += 1
                return
        # ``t`` orders the lines of one process; ``time`` those of several hosts,
        # as well as their clocks agree.
        line = {
            "t": round(self._clock(), 4),
            "time": round(self._wall_clock(), 3),
            "event": event,
            **self._identity,
        }
        line.update(fields)
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.left_out += 1

    def _pick_allowance(self, failed, denied):
        if denied:
            return self._denials
        return self._failures if failed else self._routine

    def stop(self):
        """Write what is queued, then end."""
        if self._thread is None:
            return
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_STOP_WAIT)

    def _run(self):
        ended = False
        while not ended:
            lines = [self._queue.get()]
            # One write for all that wait: each costs this thread its turn.
            while len(lines) < _LINES_A_WRITE and not self._queue.empty():
                lines.append(self._queue.get())
            ended = None in lines
            self._write_lines([line for line in lines if line is not None])

    def _write_lines(self, lines):
        if not lines:
            return
        if self.left_out != self._told:
            self._told = self.left_out
            lines[0]["left_out"] = self._told
        data = b"".join(
            msgspec.json.encode(line, enc_hook=str) + b"\n" for line in lines
        )
        try:
            self._write(data)
        except OSError:
            self.left_out += len(lines)


def _write_stdout(data):
    os.write(sys.stdout.fileno(), data)
