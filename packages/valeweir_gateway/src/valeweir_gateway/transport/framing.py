"""What marks the end of a response (RFC 9112, 6.3)."""

from enum import StrEnum


class Framing(StrEnum):
    """How the receiver of a response detects its end.

    ``EMPTY``: the request method or the status excludes a body. ``LENGTH`` and
    ``CHUNKED``: the sender states the end. ``CLOSE``: the connection is closed, which
    also happens when the sender exits in the middle of the response.
    """

    EMPTY = "empty"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"
