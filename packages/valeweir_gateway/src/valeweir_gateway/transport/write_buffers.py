"""Bounds on the response bytes that wait in this process for slow clients.

The bytes wait in the write buffer of each client's transport. While a stream is within
the bounds, its upstream is read on; at a bound only this stream's upstream is left
unread until the client has read half of what the stream may hold.
"""

from enum import StrEnum
from typing import NamedTuple


class Bound(StrEnum):
    """Which bound a stream has reached."""

    STREAM = "stream"
    PROCESS = "process"


class BufferBounds(NamedTuple):
    """Maximum unsent bytes of one stream and of all responses of the process."""

    stream_bytes: int
    process_bytes: int


NO_BUFFERING = BufferBounds(0, 0)


def find_reached_bound(size, total, bounds):
    """Return the `Bound` that a stream with ``size`` unsent bytes has reached, or None.

    ``total`` is the sum over all responses, this one included. A stream may hold as
    many bytes as are left in the process, so that the first of several slow streams
    cannot take all of them: ``n`` equal streams get one part in ``n + 1`` each.
    """
    if size == 0:
        return None
    if size > bounds.stream_bytes:
        return Bound.STREAM
    if size > bounds.process_bytes - total:
        return Bound.PROCESS
    return None


def compute_resume_size(size, total, bounds):
    """Return the unsent bytes of a stream at which its upstream is read again.

    Half of what the stream may hold, so that it does not stop again at the next event.
    """
    left = max(0, bounds.process_bytes - (total - size))
    return min(size, bounds.stream_bytes, left) // 2


class WriteBuffers:
    """Counts the unsent response bytes of a process.

    Parameters
    ----------
    get_bounds : callable
        Returns the `BufferBounds` in force. The default bounds are zero: writes of a
        stream then wait until the client has been sent all earlier ones.
    on_bound_reached : callable
        Called with ``(request_id, bound, size)`` once for each stream.
    on_abort : callable
        Called with ``(request_id, size)`` when a client's connection is aborted because
        the deadline of its stream has passed.
    """

    def __init__(
        self,
        get_bounds=lambda: NO_BUFFERING,
        on_bound_reached=lambda request_id, bound, size: None,
        on_abort=lambda request_id, size: None,
    ):
        self.get_bounds = get_bounds
        self.on_bound_reached = on_bound_reached
        self.on_abort = on_abort
        self.total = 0

    def update(self, old_size, new_size):
        """Count the changed number of unsent bytes of one connection."""
        self.total += new_size - old_size
