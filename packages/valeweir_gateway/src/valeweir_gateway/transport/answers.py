"""Answers of upstreams, parsed strictly."""

import collections
from typing import NamedTuple

import httptools

# Bytes of a head, its fields included; what the reader before this one allowed.
_MAX_HEAD_BYTES = 64 << 10
_CHUNKED = "chunked"
_BODILESS_STATUSES = frozenset((204, 304))
# Statuses below are of informational answers.
_MIN_FINAL_STATUS = 200


class Head(NamedTuple):
    """Status and headers of an answer, names in lower case."""

    status: int
    headers: dict[str, str]


class Data(NamedTuple):
    """Bytes of the answer's body."""

    data: bytes


class End(NamedTuple):
    """The answer is whole."""


class AnswerParser:
    """Turns the bytes of one connection into the events of one answer.

    ``fault`` says what is wrong with the bytes, "" for nothing, and ``broke_off``
    whether it is that they end too soon. After the end
    nothing more is taken: such bytes belong to no request, and ``is_clean``
    tells whether there were none and the connection may go on.
    """

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._events = collections.deque()
        self._headers = {}
        self._head_size = 0
        self._is_head_request = False
        self._has_head = False
        self._is_self_delimited = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._keep_alive = False
        self.fault = ""
        self.broke_off = False

    def expect(self, method):
        """Note the method of the request, since it decides on the body."""
        self._is_head_request = method == "HEAD"

    @property
    def has_data(self):
        """Return whether the next event is data."""
        return bool(self._events) and isinstance(self._events[0], Data)

    @property
    def is_over(self):
        """Return whether what comes next is the end or a fault."""
        if self._events:
            return isinstance(self._events[0], End)
        return bool(self.fault)

    @property
    def is_clean(self):
        """Return whether the connection may serve another request."""
        return (
            self._is_complete
            and self._keep_alive
            and not self._has_extra_bytes
            and not self.fault
        )

    def take(self):
        """Return the next event, or None."""
        return self._events.popleft() if self._events else None

    def feed(self, data):
        """Take in bytes as received; empty ones are the end of the connection."""
        if not data:
            self._on_connection_closed()
            return
        self._check_head_size(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_fault("the protocol was changed")
        except httptools.HttpParserError as exc:
            self._set_fault(str(exc))

    def on_message_begin(self):  # noqa: D102  (names are the parser's)
        if self._is_complete:
            self._has_extra_bytes = True

    def on_header(self, name, value):  # noqa: D102
        if not self._is_complete:
            text = (value or b"").strip(b" \t").decode("latin-1")
            self._headers[name.decode("latin-1").lower()] = text

    def on_headers_complete(self):  # noqa: D102
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS:
            return
        self._has_head = True
        encoding = self._headers.get("transfer-encoding")
        if encoding is not None and encoding.lower() != _CHUNKED:
            self._set_fault(f"unknown transfer encoding {encoding}")
            return
        self._is_self_delimited = (
            self._is_head_request
            or status in _BODILESS_STATUSES
            or encoding is not None
            or "content-length" in self._headers
        )
        self._events.append(Head(status, self._headers))
        if self._is_head_request:
            # The parser would wait for the body that the length announces.
            self._finish(keep_alive=False)

    def on_body(self, part):  # noqa: D102
        if not self._is_complete:
            self._events.append(Data(part))

    def on_message_complete(self):  # noqa: D102
        if self._is_complete:
            return
        if not self._has_head:
            # An informational answer; the final one follows.
            self._headers = {}
            return
        self._finish(
            keep_alive=self._is_self_delimited and self._parser.should_keep_alive()
        )

    def _on_connection_closed(self):
        if self._is_complete or self.fault:
            return
        if self._has_head and not self._is_self_delimited:
            # Its length was not told: it ends with the connection.
            self._finish(keep_alive=False)
            return
        self.broke_off = True
        self._set_fault("the connection was closed")

    def _check_head_size(self, size):
        if not self._has_head:
            self._head_size += size
            if self._head_size > _MAX_HEAD_BYTES:
                self._set_fault("the head is too large")

    def _finish(self, keep_alive):
        self._is_complete = True
        self._keep_alive = keep_alive
        self._events.append(End())

    def _set_fault(self, text):
        if self._is_complete:
            self._has_extra_bytes = True
        elif not self.fault:
            self.fault = text
