"""Answers of upstreams, parsed strictly."""

import collections
from typing import NamedTuple

import httptools

# Bytes of a head, its fields included; what the reader before this one allowed.
_MAX_HEAD = 64 << 10
_CHUNKED = "chunked"
_BODILESS = frozenset((204, 304))
# Statuses below are of informational answers.
_FINAL = 200


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
        self._is_head = False
        self._has_head = False
        self._sized = False
        self._ended = False
        self._extra = False
        self._keeps = False
        self.fault = ""
        self.broke_off = False

    def expect(self, method):
        """Note the method of the request, since it decides on the body."""
        self._is_head = method == "HEAD"

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
        return self._ended and self._keeps and not self._extra and not self.fault

    def take(self):
        """Return the next event, or None."""
        return self._events.popleft() if self._events else None

    def feed(self, data):
        """Take in bytes as received; empty ones are the end of the connection."""
        if not data:
            self._take_close()
            return
        self._count_head(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the protocol was changed")
        except httptools.HttpParserError as exc:
            self._fail(str(exc))

    def on_message_begin(self):  # noqa: D102  (names are the parser's)
        if self._ended:
            self._extra = True

    def on_header(self, name, value):  # noqa: D102
        if not self._ended:
            text = (value or b"").strip(b" \t").decode("latin-1")
            self._headers[name.decode("latin-1").lower()] = text

    def on_headers_complete(self):  # noqa: D102
        if self._ended:
            return
        status = self._parser.get_status_code()
        if status < _FINAL:
            return
        self._has_head = True
        encoding = self._headers.get("transfer-encoding")
        if encoding is not None and encoding.lower() != _CHUNKED:
            self._fail(f"unknown transfer encoding {encoding}")
            return
        self._sized = (
            self._is_head
            or status in _BODILESS
            or encoding is not None
            or "content-length" in self._headers
        )
        self._events.append(Head(status, self._headers))
        if self._is_head:
            # The parser would wait for the body that the length announces.
            self._end(keeps=False)

    def on_body(self, part):  # noqa: D102
        if not self._ended:
            self._events.append(Data(part))

    def on_message_complete(self):  # noqa: D102
        if self._ended:
            return
        if not self._has_head:
            # An informational answer; the final one follows.
            self._headers = {}
            return
        self._end(keeps=self._sized and self._parser.should_keep_alive())

    def _take_close(self):
        if self._ended or self.fault:
            return
        if self._has_head and not self._sized:
            # Its length was not told: it ends with the connection.
            self._end(keeps=False)
            return
        self.broke_off = True
        self._fail("the connection was closed")

    def _count_head(self, size):
        if not self._has_head:
            self._head_size += size
            if self._head_size > _MAX_HEAD:
                self._fail("the head is too large")

    def _end(self, keeps):
        self._ended = True
        self._keeps = keeps
        self._events.append(End())

    def _fail(self, text):
        if self._ended:
            self._extra = True
        elif not self.fault:
            self.fault = text
