"""Server-sent events in a streamed answer, cut at their borders."""

import re
from typing import NamedTuple

_BORDER = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventBlock(NamedTuple):
    """One whole event with its closing blank line; ``id`` is "" if it has none."""

    data: bytes
    id: str


class EventSplitter:
    """Collects bytes of a stream and gives back whole events."""

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self):
        """Return whether part of an event has come."""
        return bool(self._rest)

    def feed(self, data):
        """Take in bytes; return the events that are whole now."""
        self._rest += data
        blocks = []
        start = 0
        for match in _BORDER.finditer(self._rest):
            block = self._rest[start : match.end()]
            blocks.append(EventBlock(block, _get_id(block)))
            start = match.end()
        self._rest = self._rest[start:]
        return blocks

    def take_rest(self):
        """Return and forget what is not a whole event."""
        rest, self._rest = self._rest, b""
        return rest


def is_later(event_id, last):
    """Return whether an event follows the last one passed on; ids only rise."""
    if not last or not event_id:
        return True
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last


def _get_id(block):
    match = _ID.search(block)
    return match.group(1).decode("latin-1") if match else ""
