"""Writes HTTP responses to clients, complete or as streams."""

import http
import math

import msgspec

from .framing import Framing

_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED_FRAMING = "Transfer-Encoding: chunked"
_OLD_HTTP_VERSION = "1.0"
_FRAMING_HEADERS = frozenset(("content-length", "connection", "transfer-encoding"))


class ClientDisconnected(OSError):
    """The client has closed the connection."""


class ResponseStarted(RuntimeError):
    """A second response would follow within the one that has been started."""


class Reply:
    """Writes the response to one request; ``started`` is set by the first write.

    A response that has been started can only go on with `write`, `end` and `cut`.
    """

    def __init__(self, conn, request):
        self._conn = conn
        self._keep_alive = request.keep_alive and not conn.closes_after_response
        self._has_body = request.method != "HEAD"
        self._can_chunk = request.http_version != _OLD_HTTP_VERSION
        self._framing = Framing.CHUNKED
        self._head = b""
        self.started = False
        self.ended = False
        # Whether the close of the connection marks the end of a complete response.
        self.ends_by_close = False

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

    def allow_pauses(self, request_id, deadline):
        """Allow the client to pause reading the response until a deadline.

        Without this the connection ends once the client has not read for some time.
        The parameters are those of `start_stream`.
        """
        self._conn.start_response(request_id, deadline)

    def send(self, status, headers, body, framing=Framing.LENGTH):
        """Send a complete response; raises `ResponseStarted` if one was started.

        Parameters
        ----------
        framing : Framing
            That of the upstream's response; a body that only the close of a connection
            ended is ended in the same way, as it may be incomplete.
        """
        self._mark_started()
        self.ended = True
        lines = []
        if framing is Framing.CLOSE:
            self._end_by_close()
        elif framing is Framing.EMPTY:
            lines = [f"{n}: {v}" for n, v in headers if n.lower() == "content-length"]
        else:
            lines = [f"Content-Length: {len(body)}"]
        data = encode_head(status, headers, lines, self._keep_alive)
        self._conn.write(data + body if self._has_body else data)

    def send_json(self, status, value, headers=(), content_type="application/json"):
        """Send a complete response whose body is a value encoded as JSON."""
        body = msgspec.json.encode(value)
        self.send(status, [("Content-Type", content_type), *headers], body)

    def start_stream(
        self,
        status,
        headers,
        request_id="",
        deadline=math.inf,
        framing=Framing.CHUNKED,
    ):
        """Start a response of unknown length; its head is sent with the first part.

        Raises `ResponseStarted` if one was started.

        Parameters
        ----------
        request_id : str
            Names the stream in log lines.
        deadline : float
            Time on the event loop's clock at which the connection is aborted if the
            client has not read the stream by then.
        framing : Framing
            That of the upstream's response. The stream is sent in chunks, unless only
            the close of the connection marks its end.
        """
        self._mark_started()
        self.allow_pauses(request_id, deadline)
        lines = []
        if framing is Framing.CLOSE or not self._can_chunk:
            self._framing = Framing.CLOSE
            self._end_by_close()
        elif self._has_body:
            lines = [_CHUNKED_FRAMING]
        self._head = encode_head(status, headers, lines, self._keep_alive)

    def start_body(self, status, headers, size, framing=Framing.LENGTH):
        """Start a complete response of ``size`` bytes, which are then written in parts.

        Raises `ResponseStarted` if a response was started. ``framing`` is as in `send`.
        """
        self._mark_started()
        self._framing = framing
        lines = []
        if framing is Framing.CLOSE:
            self._end_by_close()
        else:
            self._framing = Framing.LENGTH
            lines = [f"Content-Length: {size}"]
        self._head = encode_head(status, headers, lines, self._keep_alive)

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
        self._conn.write(self._take_head() + self._encode_part(part))
        if self._conn.is_write_paused:
            await self._conn.wait_for_room()

    def end(self, is_confirmed=True):
        """End a stream that is complete.

        Parameters
        ----------
        is_confirmed : bool
            False if only the close of the upstream's connection marked the end. A last
            chunk would then claim more than the upstream did.
        """
        if self._framing is Framing.CHUNKED and not is_confirmed:
            self.cut()
            return
        self.ended = True
        self._conn.write(self._take_head() + self._encode_part(b""))

    def cut(self):
        """Close the connection so that the client detects an incomplete response."""
        self.ended = True
        self.ends_by_close = False
        self._keep_alive = False
        self._conn.close()

    def drop(self):
        """Close the connection without a response."""
        self.started = True
        self.cut()

    def close(self):
        """Mark the connection to be closed after this response."""
        self._keep_alive = False

    def _mark_started(self):
        if self.started:
            raise ResponseStarted("a response has been started on this connection")
        self.started = True

    def _end_by_close(self):
        """Let the close of the connection mark the end of the response.

        Until the response is complete, any other close is a reset, also that by the
        kernel when this process is killed.
        """
        self._keep_alive = False
        self.ends_by_close = True
        self._conn.set_reset_on_close(True)

    def _take_head(self):
        head, self._head = self._head, b""
        return head

    def _encode_part(self, part):
        """Return a part of a stream in its framing; an empty one is the last chunk."""
        if not self._has_body:
            return b""
        if self._framing is not Framing.CHUNKED:
            return part
        return b"%x\r\n%s\r\n" % (len(part), part) if part else _LAST_CHUNK


def encode_head(status, headers, framing, keep_alive):
    """Return the bytes of a response head.

    ``framing`` is a list of the Content-Length or Transfer-Encoding lines, if any.
    """
    lines = [f"HTTP/1.1 {status} {_get_reason_phrase(status)}"]
    lines += [f"{name}: {value}" for name, value in headers if _is_allowed(name)]
    lines += framing
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
