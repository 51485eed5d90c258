"""Pools of connections whose responses are bounded in bytes and time.

The time limits of urllib3 begin anew with each piece that is received, and neither it
nor http.client limits informational responses, sizes of chunks, trailers or bodies.
"""

import http.client
import socket

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from valeweir.timers import get_lease_time

from .sockets import is_broken

# Views and lists of caches of a large fleet take some megabytes.
MAX_PEER_RESPONSE_BYTES = 16 << 20
# Added to the read timeout, within which a response begins, for the rest of it.
_TRANSFER_S = 1.0
# What a response may have buffered of the bytes that were received.
_BUFFERED_BYTES = 64 << 10


class ResponseTooLarge(OSError):
    """A response has more bytes than its pool allows."""


class _BoundedSocket(socket.socket):
    """Limits what is received of a response, and remembers a reset while sending."""

    left_bytes = 0
    _deadline = 0.0
    _send_error = None

    def start_response(self, max_bytes, timeout):
        """Allow ``max_bytes`` to be received within ``timeout`` seconds."""
        self.left_bytes = max_bytes
        self._deadline = get_lease_time() + timeout

    def recv_into(self, buffer, nbytes=0, flags=0):
        if get_lease_time() >= self._deadline:
            raise TimeoutError("the response takes too long")
        count = super().recv_into(buffer, nbytes, flags)
        if not count and self._send_error is not None:
            raise ConnectionResetError(self._send_error)
        self.left_bytes -= count
        if self.left_bytes < 0:
            raise ResponseTooLarge("the response is too large")
        return count

    def sendall(self, data, flags=0):
        try:
            super().sendall(data, flags)
        except OSError as exc:
            # urllib3 reads the response after a reset, which the kernel reports once.
            if is_broken(exc):
                self._send_error = str(exc)
            raise


class _BoundedResponse(http.client.HTTPResponse):
    """Refuses lengths beyond the bound, as memory is allocated for them at once."""

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self._sock = sock

    def _safe_read(self, amt):
        if amt > self._sock.left_bytes + _BUFFERED_BYTES:
            raise ResponseTooLarge("the stated length is too large")
        return super()._safe_read(amt)


class _BoundedConnection(HTTPConnection):
    max_response_bytes = 0
    response_class = _BoundedResponse

    def _new_conn(self):
        sock = super()._new_conn()
        bounded = _BoundedSocket(
            sock.family, sock.type, sock.proto, fileno=sock.detach()
        )
        bounded.settimeout(self.timeout)
        return bounded

    def getresponse(self):
        self.sock.start_response(self.max_response_bytes, self.timeout + _TRANSFER_S)
        return super().getresponse()


class _BoundedPoolManager(urllib3.PoolManager):
    def urlopen(self, method, url, redirect=True, **kwargs):
        # A compressed body could exceed any bound once it is decoded.
        kwargs["decode_content"] = False
        return super().urlopen(method, url, redirect, **kwargs)


def create_pool_manager(max_response_bytes, **options):
    """Return a `urllib3.PoolManager` with bounded responses and without retries.

    Its requests need a timeout in seconds. A response exceeds its bounds if it has more
    than ``max_response_bytes`` including its head and framing, or takes a second longer
    than the read timeout; the request then raises a `urllib3.exceptions.HTTPError`.
    """

    class Connection(_BoundedConnection):
        pass

    class Pool(HTTPConnectionPool):
        ConnectionCls = Connection

    Connection.max_response_bytes = max_response_bytes
    manager = _BoundedPoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {"http": Pool}
    return manager
