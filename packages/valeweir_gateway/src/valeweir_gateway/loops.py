"""The gateway's event loop, which uses the gateway's clock."""

import asyncio


class _CustomClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use a given clock.

    The kernel's waits do not count the time during which the host is suspended, so
    timers are checked when a wait ends. That is within one tick of the fleet's
    exchange, and all timers that expired during the suspension run then.
    """

    def __init__(self, clock):
        super().__init__()
        # Replaces the method instead of overriding it, which saves a call per look-up.
        self.time = clock


def create_loop(clock):
    """Return an event loop whose time is ``clock``."""
    return _CustomClockLoop(clock)
