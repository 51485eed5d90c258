"""An HTTP server for handlers that read a `Request` and use a `ResponseWriter`.

A thin layer over cheroot with one thread per active connection and blocking handlers.
It adds what a router needs: uniform errors with an outcome header, strict checks of
the body length, rejection of incomplete bodies, and a check whether the client is
still connected.
"""

import os
import select
import socket
import struct
import threading
from typing import NamedTuple
from urllib.parse import parse_qs, unquote

import msgspec
from cheroot import server as cheroot_server
from loguru import logger

from .models import OUTCOME_HEADER, Outcome

_MIN_GROWTH_COUNT = 32
_MIN_IDLE_THREAD_COUNT = 8
_MAX_ACCEPT_COUNT = 64


class Request(NamedTuple):
    """An HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str


class RequestBodyError(Exception):
    """The request body cannot be read completely; the connection must be closed."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status
        self.text = text


class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, req):
        self._req = req
        self.started = False

    def send(self, status, headers, body):
        """Send a complete response with its Content-Length."""
        self._start(status, headers)
        self._req.outheaders.append((b"Content-Length", str(len(body)).encode()))
        self._req.ensure_headers_sent()
        if self._req.method != b"HEAD":
            self._req.write(body)

    def send_json(self, status, value, headers=(), kind="application/json"):
        """Send a response with ``value`` as its JSON body."""
        body = msgspec.json.encode(value)
        self.send(status, [("Content-Type", kind), *headers], body)

    def start_stream(self, status, headers):
        """Send the status line and headers of a response of unknown length."""
        self._start(status, headers)
        self._req.ensure_headers_sent()

    def write(self, part):
        """Send a part of a stream; raise OSError if the client is disconnected."""
        self._req.write(part)

    def abort(self):
        """End a stream without its last chunk, so the client sees it is incomplete."""
        self._req.chunked_write = False
        self._req.close_connection = True

    def drop(self):
        """Close the connection without a response."""
        self.started = True
        self._req.sent_headers = True
        self.abort()

    def send_raw(self, data):
        """Send bytes as they are and close the connection after them."""
        self.drop()
        self._req.conn.wfile.write(data)

    def reset(self):
        """Reset the connection; what the kernel has not sent yet is lost."""
        self.drop()
        self._req.conn.is_reset = True
        linger = struct.pack("ii", 1, 0)
        sock = self._req.conn.socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        os.close(sock.detach())

    def close(self):
        """Close the connection after this response."""
        self._req.close_connection = True

    def is_disconnected(self):
        """Return whether the client has closed its side of the connection."""
        sock = self._req.conn.socket
        try:
            # poll() is used because select() fails for descriptors from 1,024 on.
            if not _is_readable(sock):
                return False
            if not hasattr(sock, "pending"):
                return sock.recv(1, socket.MSG_PEEK) == b""
            # TLS sockets do not support MSG_PEEK; a later write detects the close.
            return False
        except (OSError, ValueError):
            return True

    def _start(self, status, headers):
        self.started = True
        self._req.status = _get_status_line(status)
        for name, value in headers:
            if name.lower() not in ("content-length", "connection"):
                pair = (name.encode("latin-1"), value.encode("latin-1", "replace"))
                self._req.outheaders.append(pair)


class _HTTPRequest(cheroot_server.HTTPRequest):
    """cheroot's request parser with JSON error responses."""

    def simple_response(self, status, msg=""):
        """Send the error response to a rejected request, which has not run."""
        code = str(status)[:3]
        text = msg or str(status)[4:]
        body = msgspec.json.encode(
            {"error": {"code": f"http-{code}", "message": text, "status": int(code)}}
        )
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"{OUTCOME_HEADER}: {Outcome.NOT_RUN.value}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.sent_headers = True
        self.server.on_rejection(f"http-{code}")
        try:
            self.conn.wfile.write(head.encode("latin-1") + body)
        except OSError:
            pass


class _HTTPConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _HTTPRequest
    is_reset = False

    def _close_kernel_socket(self):
        # A shutdown would send a FIN before the reset.
        if not self.is_reset:
            super()._close_kernel_socket()


class Server(cheroot_server.HTTPServer):
    """cheroot's server with a thread pool that grows on demand."""

    ConnectionClass = _HTTPConnection
    keep_alive_conn_limit = 10_000
    request_queue_size = 1024
    expiration_interval = 0.2

    def __init__(self, bind_addr, gateway, threads, on_rejection):
        super().__init__(
            bind_addr, gateway, minthreads=min(16, threads), maxthreads=threads
        )
        self.on_rejection = on_rejection
        self._threads_needed = threading.Event()
        self._growth_lock = threading.Lock()
        self._is_stopping = False

    def start_threads(self):
        """Bind the socket and start the threads that serve and grow the pool."""
        self.prepare()
        for name, run in (("serve", self.serve), ("grow", self._grow_pool)):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self):
        """Stop serving, and wait for the threads.

        cheroot ends as many threads as there are when it begins to stop. One that is
        added meanwhile would end in place of another, for which it waits forever.
        """
        with self._growth_lock:
            self._is_stopping = True
        super().stop()

    def prepare(self):
        """Bind the socket; accept all pending connections in each loop turn.

        cheroot accepts one connection in each turn of its loop. With many busy
        threads a turn takes tens of milliseconds, and connections would wait until
        their clients time out.
        """
        super().prepare()
        manager = self._connections
        accept_one = manager._from_server_socket

        def accept_pending(sock):
            for _ in range(_MAX_ACCEPT_COUNT):
                conn = accept_one(sock)
                if not _is_readable(sock):
                    return conn
                if conn is not None:
                    self.process_conn(conn)
            return accept_one(sock)

        manager._from_server_socket = accept_pending

    def check_threads(self):
        """Request more threads if few are idle."""
        if self.requests.idle < _MIN_IDLE_THREAD_COUNT:
            self._threads_needed.set()

    def error_log(self, msg="", level=20, traceback=False):
        """Write cheroot's errors to the log."""
        if level >= 40:
            logger.opt(exception=traceback).error("http server: {}", msg)

    def _grow_pool(self):
        while self.ready:
            if self._threads_needed.wait(0.5):
                self._threads_needed.clear()
                with self._growth_lock:
                    if not self._is_stopping:
                        self._add_threads()

    def _add_threads(self):
        # cheroot waits 0.1 s for each batch to start, so batches are large.
        running = len(self.requests._threads)
        try:
            self.requests.grow(max(_MIN_GROWTH_COUNT, running // 2))
        except RuntimeError as exc:
            # The host cannot start more threads now; the running ones continue.
            logger.error("cannot start more than {} threads: {}", running, exc)


def _is_readable(sock):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def create_server(
    address,
    handle,
    threads=64,
    max_body=8 << 20,
    max_header=32 << 10,
    timeout=10.0,
    on_rejection=lambda code: None,
):
    """Return a `Server` that calls ``handle(request, response)`` in its threads.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 binds a free port, see ``server.bind_addr``.
    on_rejection : callable
        Called with the error code of each request that the parser rejects.
    """
    host, _, port = address.rpartition(":")

    class _Gateway(cheroot_server.Gateway):
        def respond(self):
            self.req.server.check_threads()
            _respond(self.req, handle)

    server = Server((host.strip("[]"), int(port)), _Gateway, threads, on_rejection)
    server.max_request_body_size = max_body
    server.max_request_header_size = max_header
    server.timeout = timeout
    server.nodelay = True
    return server


def set_tls(server, certificate, key):
    """Enable TLS with a certificate and key from files."""
    from cheroot.ssl.builtin import BuiltinSSLAdapter

    server.ssl_adapter = BuiltinSSLAdapter(certificate, key)


def _respond(req, handle):
    response = ResponseWriter(req)
    try:
        request = _read_request(req)
    except RequestBodyError as exc:
        req.simple_response(exc.status, exc.text)
        return
    handle(request, response)
    if not response.started:
        response.send(204, [], b"")


def _read_request(req):
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in req.inheaders.items()
    }
    if "Transfer-Encoding" in headers and "Content-Length" in headers:
        # RFC 9112, 6.3: both headers together may be request smuggling.
        raise RequestBodyError(
            "400 Bad Request",
            "both Content-Length and Transfer-Encoding",
        )
    path = unquote(req.path.decode("latin-1"))
    query_text = (req.qs or b"").decode("latin-1")
    # The target is kept undecoded, as it is forwarded to an upstream.
    target = req.uri.decode("latin-1")
    query = {k: v[-1] for k, v in parse_qs(query_text).items()}
    body = _read_body(req, headers)
    return Request(req.method.decode("latin-1"), path, query, headers, body, target)


def _read_body(req, headers):
    length = int(headers.get("Content-Length", 0))
    if length == 0 and not req.chunked_read:
        return b""
    try:
        body = req.rfile.read() if req.chunked_read else req.rfile.read(length)
    except cheroot_server.errors.MaxSizeExceeded:
        raise RequestBodyError(
            "413 Request Entity Too Large", "the request body is too large"
        ) from None
    except (OSError, ValueError) as exc:
        raise RequestBodyError(
            "400 Bad Request", f"cannot read the request body: {exc}"
        ) from exc
    if not req.chunked_read and len(body) != length:
        raise RequestBodyError(
            "400 Bad Request", "the request body is shorter than its Content-Length"
        )
    return body


def _get_status_line(status):
    from http.client import responses

    return f"{status} {responses.get(status, 'Status')}".encode("latin-1")
