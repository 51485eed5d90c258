"""Clocks, and a service that calls functions at intervals."""

import functools
import heapq
import itertools
import threading
import time
from typing import NamedTuple

from loguru import logger

# Returns seconds on a clock that continues while the process or host is paused.
# ``CLOCK_BOOTTIME`` includes suspended time and cannot be set, so a jump of the wall
# clock neither expires nor extends a lease. A partial is used because it has less
# overhead than a function and the clock is read very often.
get_lease_time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class _Entry(NamedTuple):
    due: float
    sequence: int
    subscription: "Subscription"


class Subscription:
    """A function that the timer service calls at intervals."""

    def __init__(self, name, interval, action):
        self.name = name
        self.interval = interval
        self.action = action
        self.cancelled = False

    def cancel(self):
        """Prevent further calls; a running call finishes."""
        self.cancelled = True


class TimerService:
    """Call subscribed actions at their intervals.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds. Tests pass a fake and call ``run_due``.
    """

    def __init__(self, clock=get_lease_time):
        self.clock = clock
        self._entries = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        self._stopped = False

    def subscribe(self, name, interval, action, delay=None):
        """Call ``action()`` every ``interval()`` seconds, first after ``delay``.

        Parameters
        ----------
        interval : callable or float
            A callable is called before each wait, so the interval may change.
            None means a single call.
        """
        sub = Subscription(name, interval, action)
        first = delay if delay is not None else _get_wait(interval)
        with self._changed:
            self._push(sub, self.clock() + first)
            self._changed.notify()
        return sub

    def run_due(self):
        """Run all due actions; return the seconds until the next one, or None."""
        while True:
            with self._changed:
                if not self._entries:
                    return None
                wait = self._entries[0].due - self.clock()
                if wait > 0:
                    return wait
                sub = heapq.heappop(self._entries).subscription
            if sub.cancelled:
                continue
            _run_action(sub)
            if sub.interval is not None:
                with self._changed:
                    self._push(sub, self.clock() + _get_wait(sub.interval))

    def run(self):
        """Run due actions until ``stop`` is called; the target of the timer thread."""
        while not self._stopped:
            wait = self.run_due()
            with self._changed:
                if self._stopped:
                    return
                self._changed.wait(wait if wait is None else min(wait, 1.0))

    def start(self):
        """Start a thread that runs ``run``, and return it."""
        thread = threading.Thread(target=self.run, name="timers", daemon=True)
        thread.start()
        return thread

    def stop(self):
        """Make ``run`` return."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def _push(self, sub, due):
        heapq.heappush(self._entries, _Entry(due, next(self._sequence), sub))


def _get_wait(interval):
    return interval() if callable(interval) else interval


def _run_action(sub):
    try:
        sub.action()
    except Exception:
        # A failed action must not stop the other timers.
        logger.exception("timer {} failed", sub.name)
