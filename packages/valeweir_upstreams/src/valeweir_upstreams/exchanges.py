"""Exchange of one request and its response with an upstream."""

import select
import time
from enum import StrEnum
from http.client import HTTPException
from typing import NamedTuple

from urllib3.exceptions import HTTPError
from valeweir.models import REQUEST_ID_HEADER

_DISCONNECT_POLL_S = 1.0
# http.client raises its own errors if an upstream does not respond with HTTP.
_TRANSPORT_ERRORS = (OSError, HTTPError, HTTPException, ValueError)
_READ_BYTES = 64 << 10
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Fault(StrEnum):
    """How an exchange failed.

    ``NOT_SENT``: no byte of the request was sent. ``LAPSED``: no byte was sent
    because the lease expired before. ``AMBIGUOUS``: bytes were sent, but no
    valid response headers arrived, so the request may have run. ``CUT``: the response
    began but is incomplete or invalid. ``CROSSED``: the response has the ID of
    another request. ``GONE``: the caller closed the connection. ``LATE``: the
    deadline passed.
    """

    NOT_SENT = "not-sent"
    LAPSED = "lapsed"
    AMBIGUOUS = "ambiguous"
    CUT = "cut"
    CROSSED = "crossed"
    GONE = "gone"
    LATE = "late"


class Failure(NamedTuple):
    """Failure of an exchange without a complete response."""

    fault: Fault
    text: str


class Call(NamedTuple):
    """Request to an upstream. ``deadline`` is on the monotonic clock."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    deadline: float


class Head(NamedTuple):
    """Status and end-to-end headers of a response."""

    status: int
    headers: list[tuple[str, str]]
    is_stream: bool


class Exchange:
    """One request and its response.

    The connection is reused only if the response was read completely; otherwise
    it is closed.
    """

    def __init__(self, connections, address, conn):
        self._connections = connections
        self._address = address
        self._conn = conn
        self._resp = None

    def send(self, call):
        """Send the request; return None or a `Failure`."""
        self._conn.timeout = max(0.05, call.deadline - time.monotonic())
        if self._conn.sock is not None:
            self._conn.sock.settimeout(self._conn.timeout)
        try:
            self._conn.request(
                call.method,
                call.target,
                body=call.body if call.body else None,
                headers=call.headers,
                preload_content=False,
                decode_content=False,
            )
        except _TRANSPORT_ERRORS as exc:
            return self._fail(Fault.AMBIGUOUS, exc)
        return None

    def wait(self, call, is_disconnected):
        """Wait for the response to begin; fail on the deadline or a disconnect.

        Returns
        -------
        None or Failure
        """
        poller = select.poll()
        poller.register(self._conn.sock, select.POLLIN)
        while True:
            remaining_s = call.deadline - time.monotonic()
            if remaining_s <= 0:
                return self._fail(Fault.LATE, "deadline passed")
            if poller.poll(min(remaining_s, _DISCONNECT_POLL_S) * 1000):
                return None
            if is_disconnected():
                return self._fail(Fault.GONE, "caller closed the connection")

    def read_head(self, call):
        """Return the `Head` of the response or a `Failure`."""
        try:
            self._resp = self._conn.getresponse()
        except _TRANSPORT_ERRORS as exc:
            return self._fail(Fault.AMBIGUOUS, exc)
        headers = list(self._resp.headers.items())
        for name, value in headers:
            if name.lower() == REQUEST_ID_HEADER.lower() and value != call.request_id:
                return self._fail(Fault.CROSSED, f"response has the request ID {value}")
        end_to_end = [
            (n, v) for n, v in headers if n.lower() not in _HOP_BY_HOP_HEADERS
        ]
        content_type = self._resp.headers.get("Content-Type", "")
        return Head(
            self._resp.status, end_to_end, content_type.startswith("text/event-stream")
        )

    def read_body(self, limit):
        """Return the complete body as bytes, or a `Failure`."""
        if not self._is_delimited():
            return self._fail(
                Fault.CUT, "response has neither a length nor chunked encoding"
            )
        parts = []
        size = 0
        for part in self.iter_body():
            if isinstance(part, Failure):
                return part
            size += len(part)
            if size > limit:
                return self._fail(Fault.CUT, "response is too large")
            parts.append(part)
        return b"".join(parts)

    def iter_body(self):
        """Yield the body in parts as they arrive, then a `Failure` if it is cut off."""
        try:
            while True:
                part = self._resp.read1(_READ_BYTES)
                if not part:
                    break
                yield part
        except _TRANSPORT_ERRORS as exc:
            yield self._fail(Fault.CUT, exc)
            return
        if getattr(self._resp, "length_remaining", None):
            yield self._fail(Fault.CUT, "response is shorter than its length")
            return
        self._release_connection()

    def close(self):
        """Abort the exchange by closing the connection to the upstream."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _is_delimited(self):
        headers = self._resp.headers
        chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        bodiless = self._resp.status in (204, 304)
        return chunked or bodiless or "Content-Length" in headers

    def _release_connection(self):
        if self._conn is None:
            return
        closing = self._resp.headers.get("Connection", "").lower() == "close"
        if closing or not self._is_delimited():
            self.close()
            return
        self._connections.put_idle(self._address, self._conn)
        self._conn = None

    def _fail(self, fault, reason):
        self.close()
        return Failure(fault, str(reason))


def open_exchange(connections, address, fresh):
    """Return an `Exchange`, or a `Failure` if the connection fails.

    Parameters
    ----------
    fresh : bool
        Never reuse an idle connection. If the upstream has closed it in the
        meantime, the request fails only after bytes were sent, and it is
        unknown whether the request ran.
    """
    conn = None if fresh else connections.take_idle(address)
    if conn is None:
        try:
            conn = connections.connect(address)
        except _TRANSPORT_ERRORS as exc:
            return Failure(Fault.NOT_SENT, str(exc))
    return Exchange(connections, address, conn)


def prepare_headers(headers, request_id, priority):
    """Return the caller's end-to-end headers plus the request ID and priority."""
    skipped = _HOP_BY_HOP_HEADERS | {
        "host",
        "content-length",
        "authorization",
        "expect",
    }
    sent = {n: v for n, v in headers.items() if n.lower() not in skipped}
    sent[REQUEST_ID_HEADER] = request_id
    sent["X-Priority"] = str(priority)
    return sent
