"""Structured log lines on standard output, limited in rate and never blocking.

A separate thread writes the lines. Lines above the rate are dropped and counted.
Changes of state, successful requests, failures and denials, which are refusals caused
by the client, have separate rate limits: otherwise many lines on requests would
displace the few that explain them.
"""

import os
import queue
import sys
import threading
import time

import msgspec
from valeweir.timers import get_lease_time

_MAX_QUEUED_LINE_COUNT = 2_000
_MAX_WRITE_LINE_COUNT = 64
_CHANGE_LINES_PER_S = 60.0
_CHANGE_BURST_LINE_COUNT = 240.0
_ROUTINE_LINES_PER_S = 60.0
_ROUTINE_BURST_LINE_COUNT = 240.0
_FAILURE_LINES_PER_S = 60.0
_FAILURE_BURST_LINE_COUNT = 240.0
_DENIAL_LINES_PER_S = 10.0
_DENIAL_BURST_LINE_COUNT = 60.0
# Must be shorter than the part of the grace period that a planned stop reserves.
_STOP_TIMEOUT_S = 0.2


class _TokenBucket:
    """Limits the rate of log lines with a token bucket."""

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._updated_at = clock()

    def take(self):
        now = self._clock()
        self._tokens = min(
            self._burst, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Writes events as lines of JSON.

    Parameters
    ----------
    write : callable
        Takes bytes; the default writes to standard output.
    identity : dict
        Fields added to every line.
    """

    def __init__(
        self, write=None, identity=None, clock=get_lease_time, wall_clock=time.time
    ):
        self._write = write or _write_stdout
        self._identity = identity or {}
        self._clock = clock
        self._wall_clock = wall_clock
        self._queue = queue.Queue(_MAX_QUEUED_LINE_COUNT)
        self._lock = threading.Lock()
        self._change_bucket = _TokenBucket(
            _CHANGE_LINES_PER_S, _CHANGE_BURST_LINE_COUNT, clock
        )
        self._routine_bucket = _TokenBucket(
            _ROUTINE_LINES_PER_S, _ROUTINE_BURST_LINE_COUNT, clock
        )
        self._failure_bucket = _TokenBucket(
            _FAILURE_LINES_PER_S, _FAILURE_BURST_LINE_COUNT, clock
        )
        self._denial_bucket = _TokenBucket(
            _DENIAL_LINES_PER_S, _DENIAL_BURST_LINE_COUNT, clock
        )
        self.left_out = 0
        self._reported_left_out = 0
        self._thread = None

    def start(self):
        """Start the thread that writes the lines."""
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def note(self, event, failed=False, denied=False, routine=False, **fields):
        """Queue a line about a decision or a change of state.

        Parameters
        ----------
        failed : bool
            Whether the line counts against the rate limit of failures.
        denied : bool
            Whether it counts against the rate limit of denials instead.
        routine : bool
            Whether it counts against the rate limit of successful requests.
        """
        with self._lock:
            if not self._choose_bucket(failed, denied, routine).take():
                self.left_out += 1
                return
        # ``t`` orders the lines of one process, and ``time`` those of several hosts as
        # far as their clocks agree.
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

    def _choose_bucket(self, failed, denied, routine):
        if denied:
            return self._denial_bucket
        if failed:
            return self._failure_bucket
        return self._routine_bucket if routine else self._change_bucket

    def stop(self):
        """Write the queued lines and stop the thread."""
        if self._thread is None:
            return
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_STOP_TIMEOUT_S)

    def _run(self):
        is_stopping = False
        while not is_stopping:
            lines = [self._queue.get()]
            # Queued lines are written together: each write releases the interpreter
            # lock, and the thread must wait to get it back.
            while len(lines) < _MAX_WRITE_LINE_COUNT and not self._queue.empty():
                lines.append(self._queue.get())
            is_stopping = None in lines
            self._write_lines([line for line in lines if line is not None])

    def _write_lines(self, lines):
        if not lines:
            return
        if self.left_out != self._reported_left_out:
            self._reported_left_out = self.left_out
            lines[0]["left_out"] = self._reported_left_out
        data = b"".join(
            msgspec.json.encode(line, enc_hook=str) + b"\n" for line in lines
        )
        try:
            self._write(data)
        except OSError:
            self.left_out += len(lines)


def _write_stdout(data):
    os.write(sys.stdout.fileno(), data)
