"""Splits a streamed response into server-sent events.

Lines end with CR LF, LF or CR. An empty line ends an event, and a stream that ends
before that line has been broken off.
"""

import re
from typing import NamedTuple

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
# Further empty lines belong to the same block.
_EVENT_END = re.compile(_LINE_END + rb"{2,}")
# An incomplete end of an event at the end of a buffer has at most this many bytes.
_PARTIAL_END_BYTES = 2
# Limits an event together with the comments and empty lines before it.
MAX_EVENT_BYTES = 1 << 20
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id(?::[ ]?([^\r\n]*)|(?=[\r\n]))")
# A line that is neither empty nor a comment.
_FIELD = re.compile(rb"(?:^|[\r\n])[^\r\n:]")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventBlock(NamedTuple):
    """One event or comment with its blank line; ``id`` is "" if it has none."""

    data: bytes
    id: str
    is_event: bool = True


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Parameters
    ----------
    is_continuation : bool
        Whether the stream continues another one, within which a byte-order mark would
        not be at the start.
    """

    def __init__(self, is_continuation=False):
        self._buffer = bytearray()
        # The part of the buffer before this position holds no end of an event.
        self._searched_size = 0
        self._eventless_size = 0
        self._is_at_start = True
        self._is_continuation = is_continuation

    @property
    def has_partial_event(self):
        """Return whether the bytes received so far end inside an event.

        Comments and empty lines after the last event are not part of an event.
        """
        lines = self._buffer.splitlines(keepends=True)
        return any(_is_in_event(line) for line in lines)

    @property
    def partial_size(self):
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._buffer) if self.has_partial_event else 0

    @property
    def size(self):
        """Return how many bytes are buffered."""
        return len(self._buffer)

    @property
    def exceeds_bound(self):
        """Return whether an event or what precedes it has over `MAX_EVENT_BYTES`."""
        return self._eventless_size > MAX_EVENT_BYTES

    def feed(self, data):
        """Add received bytes; return the events that are now complete."""
        self._buffer += data
        self._eventless_size += len(data)
        blocks = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer, self._searched_size):
            blocks.append(self._make_block(bytes(self._buffer[start : match.end()])))
            start = match.end()
        del self._buffer[:start]
        self._searched_size = max(0, len(self._buffer) - _PARTIAL_END_BYTES)
        if any(block.is_event for block in blocks):
            self._eventless_size = len(self._buffer)
        return blocks

    def take_rest(self):
        """Remove and return the bytes after the last event."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def _make_block(self, data):
        text = data
        if self._is_at_start:
            self._is_at_start = False
            text = data.removeprefix(_BYTE_ORDER_MARK)
        is_event = _FIELD.search(text) is not None
        return EventBlock(
            text if self._is_continuation else data, _find_id(text), is_event
        )


def is_later(event_id, last):
    """Return whether an event is newer than the last forwarded one.

    Numeric ids increase within a stream.
    """
    if not last or not event_id:
        return True
    if event_id.isdigit() and last.isdigit():
        return int(event_id) > int(last)
    return event_id != last


def _is_in_event(line):
    """Return whether a line that no blank line has followed belongs to an event."""
    is_whole = line.endswith((b"\r", b"\n"))
    is_comment = line.startswith(b":")
    return bool(line.strip(b"\r\n")) and not (is_comment and is_whole)


def _find_id(block):
    """Return the id of an event; the last of several ``id`` fields is in force."""
    ids = _ID_FIELD.findall(block)
    return ids[-1].decode("latin-1") if ids else ""
