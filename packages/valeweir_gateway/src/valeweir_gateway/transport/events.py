"""Splits a streamed response into server-sent events."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBlock(NamedTuple):
    """One complete event with its blank line; ``id`` is "" if it has none."""

    data: bytes
    id: str


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def partial_size(self):
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._buffer)

    def feed(self, data):
        """Add received bytes; return the events that are now complete."""
        self._buffer += data
        blocks = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            block = self._buffer[start : match.end()]
            blocks.append(EventBlock(block, _find_id(block)))
            start = match.end()
        self._buffer = self._buffer[start:]
        return blocks

    def take_partial_event(self):
        """Remove and return the bytes of an incomplete event."""
        partial, self._buffer = self._buffer, b""
        return partial


def is_later(event_id, last):
    """Return whether an event is newer than the last forwarded one.

    Numeric ids increase within a stream.
    """
    if not last or not event_id:
        return True
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last


def _find_id(block):
    match = _ID_FIELD.search(block)
    return match.group(1).decode("latin-1") if match else ""
