"""Bounds the bytes of message bodies that a process buffers at a time.

A small body is buffered without waiting, as each active request is expected to take
that much memory. The receiver of a larger one stops reading while all bodies together
exceed the limit, or would with it if its size is known. One of those that have to wait
is granted the memory that it needs, so that incomplete bodies never wait for each
other. Used on the event loop only.
"""

import asyncio

from .socket_waits import WaitResult

# A body within this size never waits.
SMALL_BODY_BYTES = 64 << 10


class BodyMemory:
    """The memory for the bodies of a process.

    Parameters
    ----------
    get_limit : callable
        Returns the bytes that incomplete bodies may take together, apart from the one
        that has been granted more.
    """

    def __init__(self, get_limit):
        self._get_limit = get_limit
        self._granted = None
        self._waiters = {}
        # Bytes of all bodies, and of those that are complete.
        self.total = 0
        self.complete_bytes = 0

    def open(self):
        """Return a `BodyHolding` for a new body."""
        return BodyHolding(self)

    def may_hold(self, holding, size):
        """Return whether the receiver of a body may buffer ``size`` bytes of it."""
        if size <= SMALL_BODY_BYTES or holding is self._granted:
            return True
        limit = self._get_limit()
        if self.total - holding.size + size <= limit:
            return True
        # Complete bodies wait for slow clients, which must not add up without a bound.
        if self._granted is None and self.complete_bytes <= limit:
            self._granted = holding
            return True
        return False

    def add_waiter(self, holding, size):
        """Return a future that is done when a body has ``size`` bytes reserved."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[holding] = (waiter, size)
        return waiter

    def remove_waiter(self, holding):
        """Forget the future of a body that no longer waits."""
        self._waiters.pop(holding, None)

    def update(self, holding, size, complete_size):
        """Count the changed bytes of a body, and those among them if it is complete."""
        self.total += size
        self.complete_bytes += complete_size
        if size < 0 or complete_size:
            if holding is self._granted and (complete_size or not holding.size):
                self._granted = None
            self._wake_waiters()

    def _wake_waiters(self):
        """Let waiting bodies go on, in the order in which they began to wait."""
        for holding, (waiter, size) in list(self._waiters.items()):
            if waiter.done():
                continue
            if not self.may_hold(holding, size):
                return
            holding.resize(size)
            waiter.set_result(WaitResult.READY)


class BodyHolding:
    """The memory of one body; ``size`` is what it holds or has reserved, in bytes."""

    __slots__ = ("_is_complete", "_memory", "size")

    def __init__(self, memory):
        self._memory = memory
        self._is_complete = False
        self.size = 0

    @property
    def may_grow(self):
        """Return whether the receiver of the body may go on reading."""
        return self._memory.may_hold(self, self.size)

    def reserve(self, size):
        """Reserve memory for ``size`` bytes; return whether there is enough."""
        may_hold = self._memory.may_hold(self, size)
        if may_hold:
            self.resize(size)
        return may_hold

    def resize(self, size):
        """Record how many bytes of the body are buffered now."""
        change = size - self.size
        if change:
            self.size = size
            self._memory.update(self, change, change if self._is_complete else 0)

    def complete(self):
        """Record that the body needs no more memory, and only waits to be sent."""
        if not self._is_complete:
            self._is_complete = True
            self._memory.update(self, 0, self.size)

    def close(self):
        """Release the memory of the body."""
        self.resize(0)

    def add_waiter(self, size):
        """Return a future that is done when ``size`` bytes are reserved."""
        return self._memory.add_waiter(self, size)

    def remove_waiter(self):
        """Stop waiting."""
        self._memory.remove_waiter(self)
