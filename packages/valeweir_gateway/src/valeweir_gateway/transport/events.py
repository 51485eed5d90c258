"""Server-sent events in a streamed answer, cut at their borders."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBlock(NamedTuple):
    """One whole event with its closing blank line; ``id`` is "" if it has none."""

    data: bytes
    id: str


class EventSplitter:
    """Collects bytes of a stream and gives back whole events."""

    def __init__(self):
        self._buffer = b""

    @property
    def has_rest(self):
        """Return whether part of an event has come."""
        return bool(self._buffer)

    def feed(self, data):
        """Take in bytes; return the events that are whole now."""
        self._buffer += data
        blocks = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            block = self._buffer[start : match.end()]
            blocks.append(EventBlock(block, _find_id(block)))
            start = match.end()
        self._buffer = self._buffer[start:]
        return blocks

    def take_rest(self):
        """Return and forget what is not a whole event."""
        partial, self._buffer = self._buffer, b""
        return partial


def is_later(event_id, last):
    """Return whether an event follows the last one passed on; ids only rise."""
    if not last or not event_id:
        return True
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last


def _find_id(block):
    match = _ID_FIELD.search(block)
    return match.group(1).decode("latin-1") if match else ""
