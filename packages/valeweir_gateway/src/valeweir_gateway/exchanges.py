"""One request sent to an upstream instance, and its answer read strictly.

h11 parses without reading by itself, so that one thread can wait for the
upstream and watch the client at the same time, and never blocks on half of a
chunk.
"""

import select
import time
from enum import StrEnum
from typing import NamedTuple

import h11

from .headers import HOP_BY_HOP

_READ_SIZE = 64 << 10
_MAX_HEAD = 64 << 10
_MAX_ANSWER = 64 << 20


class Fault(StrEnum):
    """How an exchange failed.

    ``NOT_SENT``: no byte of the request left. ``AMBIGUOUS``: some did, and no
    whole answer came. ``CROSSED``: the answer names another request.
    ``GONE``: the client left. ``LATE``: the time was up. ``SLOW``: the time
    for this attempt was up, but not the request's. ``REJECTED``: the upstream
    said that it did not run the request.
    """

    NOT_SENT = "not-sent"
    AMBIGUOUS = "ambiguous"
    CROSSED = "crossed"
    GONE = "gone"
    LATE = "late"
    SLOW = "slow"
    REJECTED = "rejected"


class Failure(NamedTuple):
    """An exchange that gave no whole answer; ``status`` is 0 without a head."""

    fault: Fault
    text: str
    status: int = 0


class Call(NamedTuple):
    """What to send; ``deadline`` is on the steady clock."""

    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float


class Head(NamedTuple):
    """Status and end-to-end headers of an answer, names in lower case."""

    status: int
    headers: dict[str, str]


class Data(NamedTuple):
    """Bytes of the answer's body."""

    data: bytes


class End(NamedTuple):
    """The answer is whole."""


class Exchange:
    """A request on its way over one socket.

    Parameters
    ----------
    client : object
        Has ``fileno()`` and ``is_gone()``; watched while waiting.
    keep : callable
        Called with ``(sock, lifetime)`` when the connection may be used again.
    """

    def __init__(self, sock, client, keep, id_header):
        self._sock = sock
        self._client = client
        self._keep = keep
        self._id_header = id_header.lower()
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD)
        self._poller = select.poll()
        self._poller.register(sock, select.POLLIN)
        self._watched = None
        self._lifetime = None
        self._reusable = True
        self._call = None
        self._next = None

    def send(self, call):
        """Send the request; return None or a `Failure`."""
        self._call = call
        head = h11.Request(method=call.method, target=call.target, headers=call.headers)
        data = self._conn.send(head)
        if call.body:
            data += self._conn.send(h11.Data(call.body))
        data += self._conn.send(h11.EndOfMessage())
        self._sock.setblocking(False)
        return self._send_all(memoryview(data))

    def read(self, deadline=None):
        """Return the next `Head`, `Data`, `End` or `Failure`.

        Parameters
        ----------
        deadline : float, optional
            An earlier end of this attempt; passing it gives ``SLOW``.
        """
        while True:
            if self._next is None:
                self._next = self._take_event()
            if self._next is not None:
                event, self._next = self._next, None
                return event
            failure = self._receive(deadline)
            if failure is not None:
                return failure

    def _take_event(self):
        """Return what the bytes received so far hold next, None for nothing whole."""
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                return self._fail(Fault.AMBIGUOUS, f"bad answer: {exc}")
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return self._take_head(event)
            if isinstance(event, h11.Data):
                return Data(bytes(event.data))
            if isinstance(event, h11.EndOfMessage):
                self._finish()
                return End()
            return self._fail(Fault.AMBIGUOUS, f"unexpected {type(event).__name__}")

    def read_ready(self):
        """Return the next `Data` that has arrived already, or None."""
        if self._next is None:
            self._next = self._take_event()
        if not isinstance(self._next, Data):
            return None
        event, self._next = self._next, None
        return event

    def is_over(self):
        """Return whether the end of the answer, or its failure, has arrived."""
        return self._next is not None

    def read_body(self, deadline=None):
        """Return the whole body as bytes, or a `Failure`."""
        parts = []
        size = 0
        while True:
            event = self.read(deadline)
            if isinstance(event, End):
                return b"".join(parts)
            if isinstance(event, Failure):
                return event
            parts.append(event.data)
            size += len(event.data)
            if size > _MAX_ANSWER:
                return self._fail(Fault.AMBIGUOUS, "answer too large")

    def close(self):
        """Give the exchange up; the upstream sees its connection close."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _receive(self, deadline):
        failure = self._wait(deadline)
        if failure is not None:
            return failure
        try:
            data = self._sock.recv(_READ_SIZE)
        except OSError as exc:
            return self._fail(Fault.AMBIGUOUS, f"reset: {exc}")
        try:
            self._conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            return self._fail(Fault.AMBIGUOUS, f"bad answer: {exc}")
        return None

    def _wait(self, deadline):
        """Wait until the upstream has sent something, watching the client."""
        self._watch_client()
        end = self._call.deadline
        while True:
            now = time.monotonic()
            if now >= end:
                return self._fail(Fault.LATE, "the time was up")
            if deadline is not None and now >= deadline:
                return self._fail(Fault.SLOW, "the attempt's time was up")
            until = end if deadline is None else min(end, deadline)
            ready = self._poller.poll(max(1, (until - now) * 1000))
            fds = [fd for fd, _ in ready]
            if self._watched in fds:
                if self._client.is_gone():
                    return self._fail(Fault.GONE, "the client left")
                # It has sent its next request already; that can wait.
                self._poller.unregister(self._watched)
                self._watched = -1
            if self._sock.fileno() in fds:
                return None

    def _watch_client(self):
        if self._watched is None:
            self._watched = self._client.fileno()
            self._poller.register(self._watched, select.POLLIN)

    def _take_head(self, event):
        headers = {}
        for raw_name, raw_value in event.headers:
            name = raw_name.decode("latin-1").lower()
            headers[name] = raw_value.decode("latin-1")
        self._note_persistence(headers)
        named = headers.get(self._id_header)
        if named is not None and named != self._call.request_id:
            return self._fail(Fault.CROSSED, f"answer to {named}", event.status_code)
        if headers.get("content-encoding", "identity") != "identity":
            return self._fail(Fault.AMBIGUOUS, "the answer is encoded")
        kept = {n: v for n, v in headers.items() if n not in HOP_BY_HOP}
        return Head(event.status_code, kept)

    def _note_persistence(self, headers):
        sized = "content-length" in headers or "transfer-encoding" in headers
        if not sized or "close" in headers.get("connection", "").lower():
            self._reusable = False
        for text in headers.get("keep-alive", "").split(","):
            name, _, value = text.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                # The upstream counts from its own end of the answer.
                self._lifetime = max(0.0, int(value) - 0.5)

    def _finish(self):
        sock, self._sock = self._sock, None
        extra, _ = self._conn.trailing_data
        done = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        if extra or not done or not self._reusable or self._lifetime == 0.0:
            sock.close()
            return
        self._keep(sock, self._lifetime)

    def _send_all(self, data):
        """Send until all is out or the upstream begins to answer."""
        while data:
            try:
                data = data[self._sock.send(data) :]
                continue
            except BlockingIOError:
                pass
            except OSError as exc:
                # An answer may have come before the reset; reading will tell.
                self._reusable = False
                return self._check_unread(exc)
            self._poller.modify(self._sock, select.POLLIN | select.POLLOUT)
            failure = self._wait(None)
            if failure is not None:
                return failure
            self._poller.modify(self._sock, select.POLLIN)
            if self._has_input():
                # What is left of the body would be read as something else.
                self._reusable = False
                return None
        return None

    def _check_unread(self, exc):
        if self._has_input():
            return None
        return self._fail(Fault.AMBIGUOUS, f"reset while sending: {exc}")

    def _has_input(self):
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        return any(event & select.POLLIN for _, event in poller.poll(0))

    def _fail(self, fault, text, status=0):
        self.close()
        return Failure(fault, text, status)


def prepare_headers(request_headers, dropped, added):
    """Return the headers to send on: the client's end-to-end ones, and ours.

    Parameters
    ----------
    dropped : frozenset of str
        Names in lower case that the client must not set.
    """
    named = {
        token.strip().lower()
        for token in request_headers.get("Connection", "").split(",")
    }
    skipped = HOP_BY_HOP | named | dropped
    kept = [(n, v) for n, v in request_headers.items() if n.lower() not in skipped]
    return kept + [(name, value) for name, value in added if value is not None]
