"""Writes HTTP responses to clients, complete or as streams."""

import http
import math

import msgspec

_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED_FRAMING = "Transfer-Encoding: chunked"
_FRAMING_HEADERS = frozenset(("content-length", "connection", "transfer-encoding"))


class ClientDisconnected(OSError):
    """The client has closed the connection."""


class Reply:
    """Writes the response to one request; ``started`` is set by the first write."""

    def __init__(self, conn, request):
        self._conn = conn
        self._keep_alive = request.keep_alive and not conn.closes_after_response
        self._has_body = request.method != "HEAD"
        self._head = b""
        self.started = False
        self.ended = False

    @property
    def is_disconnected(self):
        """Return whether the client has disconnected."""
        return self._conn.is_disconnected

    @property
    def keep_alive(self):
        """Return whether the connection stays open after this response."""
        return self._keep_alive

    def watch(self, callback):
        """Call ``callback`` when the client disconnects; None removes the callback."""
        self._conn.on_disconnect = callback

    def send(self, status, headers, body):
        """Send a complete response with a Content-Length."""
        self.started = self.ended = True
        framing = f"Content-Length: {len(body)}"
        data = encode_head(status, headers, framing, self._keep_alive)
        self._conn.write(data + body if self._has_body else data)

    def send_json(self, status, value, headers=(), content_type="application/json"):
        """Send a complete response whose body is a value encoded as JSON."""
        body = msgspec.json.encode(value)
        self.send(status, [("Content-Type", content_type), *headers], body)

    def start_stream(self, status, headers, request_id="", deadline=math.inf):
        """Start a chunked response; its head is sent with the first part.

        Parameters
        ----------
        request_id : str
            Names the stream in log lines.
        deadline : float
            Time on the event loop's clock at which the connection is aborted if the
            client has not read the stream by then.
        """
        self._conn.start_stream(request_id, deadline)
        self.started = True
        self._head = encode_head(status, headers, _CHUNKED_FRAMING, self._keep_alive)

    async def flush(self):
        """Wait until the write buffer is empty; raises `ClientDisconnected`."""
        if self._conn.is_write_paused:
            await self._conn.drain()

    async def write(self, part):
        """Send a part of a stream; raises `ClientDisconnected`.

        Waits only while the unsent bytes exceed a bound of the `WriteBuffers`.
        """
        if self._conn.is_disconnected:
            raise ClientDisconnected
        chunk = b"%s%x\r\n%s\r\n" % (self._head, len(part), part)
        self._head = b""
        self._conn.write(chunk)
        if self._conn.is_write_paused:
            await self._conn.wait_for_room()

    def end(self):
        """Send the last chunk of a complete stream."""
        self.ended = True
        self._conn.write(self._head + _LAST_CHUNK)
        self._head = b""

    def cut(self):
        """Close the connection so that the client detects an incomplete response."""
        self.ended = True
        self._keep_alive = False
        self._conn.close()

    def drop(self):
        """Close the connection without a response."""
        self.started = True
        self.cut()

    def close(self):
        """Mark the connection to be closed after this response."""
        self._keep_alive = False


def encode_head(status, headers, framing, keep_alive):
    """Return the bytes of a response head.

    ``framing`` is the Content-Length or Transfer-Encoding line.
    """
    lines = [f"HTTP/1.1 {status} {_get_reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers if _is_allowed(name)]
    lines.append(framing)
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")


def _is_allowed(name):
    return name.lower() not in _FRAMING_HEADERS


def _get_reason_phrase(status):
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Status"
