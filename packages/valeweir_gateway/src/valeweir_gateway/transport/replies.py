"""Answers to clients, whole or as streams."""

import http

import msgspec

_LAST_CHUNK = b"0\r\n\r\n"
_CHUNKED_FRAMING = "Transfer-Encoding: chunked"
_FRAMING_HEADERS = frozenset(("content-length", "connection", "transfer-encoding"))


class ClientGone(OSError):
    """The client has closed its side of the connection."""


class Reply:
    """Where a handler writes its answer; ``started`` once something is sent."""

    def __init__(self, conn, request):
        self._conn = conn
        self._keep_alive = request.keep_alive and not conn.closes_after_response
        self._has_body = request.method != "HEAD"
        self._head = b""
        self.started = False
        self.ended = False

    @property
    def is_gone(self):
        """Return whether the client has left."""
        return self._conn.is_disconnected

    @property
    def keep_alive(self):
        """Return whether the connection goes on after this answer."""
        return self._keep_alive

    def watch(self, callback):
        """Call ``callback`` when the client leaves; None ends the watch."""
        self._conn.on_disconnect = callback

    def send(self, status, headers, body):
        """Send a whole answer with its length."""
        self.started = self.ended = True
        framing = f"Content-Length: {len(body)}"
        data = encode_head(status, headers, framing, self._keep_alive)
        self._conn.write(data + body if self._has_body else data)

    def send_json(self, status, value, headers=(), content_type="application/json"):
        """Send a value as JSON."""
        body = msgspec.json.encode(value)
        self.send(status, [("Content-Type", content_type), *headers], body)

    def start_stream(self, status, headers):
        """Begin an answer of unknown length; its head goes out with the first part."""
        self.started = True
        self._head = encode_head(status, headers, _CHUNKED_FRAMING, self._keep_alive)

    async def flush(self):
        """Wait until the client has read all of it; raises `ClientGone`."""
        if self._conn.is_write_paused:
            await self._conn.drain()

    async def write(self, part):
        """Send a part of a stream; raises `ClientGone`."""
        if self._conn.is_disconnected:
            raise ClientGone
        chunk = b"%s%x\r\n%s\r\n" % (self._head, len(part), part)
        self._head = b""
        self._conn.write(chunk)
        await self.flush()

    def end(self):
        """End a stream whose every part was sent."""
        self.ended = True
        self._conn.write(self._head + _LAST_CHUNK)
        self._head = b""

    def cut(self):
        """End the answer so that the client sees it is not whole."""
        self.ended = True
        self._keep_alive = False
        self._conn.close()

    def drop(self):
        """Close the connection without an answer."""
        self.started = True
        self.cut()

    def close(self):
        """Close the connection after this answer."""
        self._keep_alive = False


def encode_head(status, headers, framing, keep_alive):
    """Return the bytes of an answer's head; ``framing`` is the line on its length."""
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
