"""The gateway's event loop, on the gateway's own clock."""

import asyncio


class _CustomClockLoop(asyncio.SelectorEventLoop):
    """A loop whose timers are due by a clock, and looked at when a wait ends.

    The kernel's waits count no suspended time. They end within a tick of the fleet's
    exchange, and then all that fell due while the host was suspended is due.
    """

    def __init__(self, clock):
        super().__init__()
        # In place of the method, which would be one call more for each look.
        self.time = clock


def create_loop(clock):
    """Return an event loop whose time is ``clock``."""
    return _CustomClockLoop(clock)
