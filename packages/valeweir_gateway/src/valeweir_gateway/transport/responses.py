"""Strict parser for the HTTP responses of upstreams."""

import collections
from enum import StrEnum
from typing import NamedTuple

import httptools

from .framing import Framing

# Limits a head with all informational ones before it, and then what is received between
# two parts of a body: sizes and extensions of chunks, and trailers.
_MAX_HEAD_BYTES = 64 << 10
_CHUNKED = "chunked"
_BODILESS_STATUSES = frozenset((204, 304))
# Lower status codes belong to informational responses.
_MIN_FINAL_STATUS = 200


class Head(NamedTuple):
    """Status, headers and framing of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    framing: Framing = Framing.LENGTH


class Data(NamedTuple):
    """Part of the response body."""

    data: bytes


class End(NamedTuple):
    """End of a complete response."""


class Bound(StrEnum):
    """Which bound on its size a response exceeds.

    ``HEAD``: the status line and headers. ``FRAMING``: what encodes a body in chunks.
    ``BODY``: the body. ``EVENT``: one event of a stream, with the comments and empty
    lines before it.
    """

    HEAD = "head"
    FRAMING = "framing"
    BODY = "body"
    EVENT = "event"


class ResponseParser:
    """Parses the bytes of one connection into the events of one response.

    ``fault`` describes the parse error and is "" if there is none, ``bound`` is the
    `Bound` that the response exceeds or None, and ``broke_off`` is true if the
    connection was closed before the response was complete. Bytes after
    the end of the response are ignored because they belong to no request;
    ``is_reusable`` is false if there were any, and the connection cannot be reused.
    """

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._events = collections.deque()
        self._headers = {}
        # Bytes received since the start or the last part of the body.
        self._bodiless_size = 0
        self._is_head_request = False
        self._has_head = False
        self._framing = None
        self._is_complete = False
        self._has_extra_bytes = False
        self._keep_alive = False
        self.fault = ""
        self.bound = None
        self.broke_off = False

    def expect(self, method):
        """Set the request method, which determines whether a body follows."""
        self._is_head_request = method == "HEAD"

    @property
    def has_data(self):
        """Return whether the next event is `Data`."""
        return bool(self._events) and isinstance(self._events[0], Data)

    @property
    def is_over(self):
        """Return whether the next event is `End`, or no event is left after a fault."""
        if self._events:
            return isinstance(self._events[0], End)
        return bool(self.fault)

    @property
    def is_reusable(self):
        """Return whether the connection may serve another request."""
        return (
            self._is_complete
            and self._keep_alive
            and not self._has_extra_bytes
            and not self.fault
        )

    def take(self):
        """Remove and return the next event, or None if there is none."""
        return self._events.popleft() if self._events else None

    def close(self):
        """Release what was received; nothing more may be fed.

        The parser of httptools refers to this one, so that without this the bytes would
        stay in memory until the next garbage collection.
        """
        self._events.clear()
        self._parser = None

    def feed(self, data):
        """Parse received bytes; empty bytes mean that the connection was closed."""
        if not data:
            self._on_connection_closed()
            return
        self._bodiless_size += len(data)
        if not self._has_head:
            self._check_bodiless_size(Bound.HEAD)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_fault("the response switches protocols")
        except httptools.HttpParserError as exc:
            self._set_fault(str(exc))
        if self._has_head:
            self._check_bodiless_size(Bound.FRAMING)

    def on_message_begin(self):  # noqa: D102  (httptools calls these names)
        if self._is_complete:
            self._has_extra_bytes = True

    def on_header(self, name, value):  # noqa: D102
        # Those after the head are trailers, which are not forwarded.
        if not self._has_head:
            text = (value or b"").strip(b" \t").decode("latin-1")
            self._headers[name.decode("latin-1").lower()] = text

    def on_headers_complete(self):  # noqa: D102
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if status < _MIN_FINAL_STATUS:
            return
        self._has_head = True
        self._bodiless_size = 0
        encoding = self._headers.get("transfer-encoding")
        if encoding is not None and encoding.lower() != _CHUNKED:
            self._set_fault(f"unsupported Transfer-Encoding: {encoding}")
            return
        self._framing = self._get_framing(status)
        self._events.append(Head(status, self._headers, self._framing))
        if self._is_head_request:
            # httptools would wait for a body of the length in Content-Length.
            self._finish(keep_alive=False)

    def on_body(self, part):  # noqa: D102
        if not self._is_complete:
            self._bodiless_size = 0
            self._events.append(Data(part))

    def on_message_complete(self):  # noqa: D102
        if self._is_complete:
            return
        if not self._has_head:
            # This was an informational response; the final one follows.
            self._headers = {}
            return
        is_stated = self._framing is not Framing.CLOSE
        self._finish(keep_alive=is_stated and self._parser.should_keep_alive())

    def _get_framing(self, status):
        if self._is_head_request or status in _BODILESS_STATUSES:
            return Framing.EMPTY
        if "transfer-encoding" in self._headers:
            return Framing.CHUNKED
        if "content-length" in self._headers:
            return Framing.LENGTH
        return Framing.CLOSE

    def _on_connection_closed(self):
        if self._is_complete or self.fault:
            return
        if self._framing is Framing.CLOSE:
            self._finish(keep_alive=False)
            return
        self.broke_off = True
        self._set_fault("the connection was closed before the response was complete")

    def _check_bodiless_size(self, bound):
        if self._bodiless_size > _MAX_HEAD_BYTES and not self._is_complete:
            self.bound = bound
            self._set_fault(f"the {bound} of the response is too large")

    def _finish(self, keep_alive):
        self._is_complete = True
        self._keep_alive = keep_alive
        self._events.append(End())

    def _set_fault(self, text):
        if self._is_complete:
            self._has_extra_bytes = True
        elif not self.fault:
            self.fault = text
