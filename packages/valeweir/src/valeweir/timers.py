"""Clocks and the timer service that parts subscribe to."""

import functools
import heapq
import itertools
import threading
import time
from typing import NamedTuple

from loguru import logger

# Returns seconds on a clock that goes on while the process or host is paused.
# ``CLOCK_BOOTTIME`` also counts suspended time, and no one can set it, so a jump of the
# wall clock neither lapses nor extends a lease. A partial has less overhead than a
# function, and it is read all the time.
get_lease_time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


class _Entry(NamedTuple):
    due: float
    sequence: int
    subscription: "Subscription"


class Subscription:
    """One part's standing order with the timer service."""

    def __init__(self, name, interval, action):
        self.name = name
        self.interval = interval
        self.action = action
        self.cancelled = False

    def cancel(self):
        """Stop further calls; one that is running finishes."""
        self.cancelled = True


class TimerService:
    """Call subscribed actions at their intervals.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds; tests pass a fake and call ``run_due``.
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
            A callable is asked anew before each wait, so a period may adapt.
            None gives a single call.
        """
        sub = Subscription(name, interval, action)
        first = delay if delay is not None else _get_wait(interval)
        with self._changed:
            self._push(sub, self.clock() + first)
            self._changed.notify()
        return sub

    def run_due(self):
        """Run what is due; return seconds until the next entry, or None."""
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
        """Serve subscriptions until ``stop``; the body of the timer thread."""
        while not self._stopped:
            wait = self.run_due()
            with self._changed:
                if self._stopped:
                    return
                self._changed.wait(wait if wait is None else min(wait, 1.0))

    def start(self):
        """Run in a thread of its own."""
        thread = threading.Thread(target=self.run, name="timers", daemon=True)
        thread.start()
        return thread

    def stop(self):
        """End ``run``."""
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
        # One part's fault must not silence the timers of all the others.
        logger.exception("timer {} failed", sub.name)
