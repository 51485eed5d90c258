"""Idle connections to upstreams.

urllib3's connection class is used without its pools. The response to the caller
depends on whether a failure occurred before or after the first byte of a request
was sent, and a pool that reconnects internally hides this.
"""

import threading

from urllib3.connection import HTTPConnection, HTTPSConnection

_CONNECT_TIMEOUT_S = 2.0
_MAX_IDLE_COUNT = 64


class Connections:
    """Idle connections by address; the most recently used one is taken first."""

    def __init__(self, ssl_context=None):
        self._ssl_context = ssl_context
        self._idle = {}
        self._lock = threading.Lock()

    def take_idle(self, address):
        """Return an idle connection that appears to be open, or None."""
        with self._lock:
            idle = self._idle.get(address, [])
            while idle:
                conn = idle.pop()
                if conn.is_connected:
                    return conn
                conn.close()
        return None

    def connect(self, address):
        """Return a new connection; raises OSError or HTTPError if it fails."""
        host, _, port = address.rpartition(":")
        if self._ssl_context is not None:
            conn = HTTPSConnection(
                host,
                int(port),
                timeout=_CONNECT_TIMEOUT_S,
                ssl_context=self._ssl_context,
            )
        else:
            conn = HTTPConnection(host, int(port), timeout=_CONNECT_TIMEOUT_S)
        conn.connect()
        return conn

    def put_idle(self, address, conn):
        """Store a connection whose last response was read completely.

        The connection is closed if the address has too many idle ones.
        """
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < _MAX_IDLE_COUNT:
                idle.append(conn)
                return
        conn.close()

    def close_idle(self, address):
        """Close the idle connections to an upstream that was removed."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for conn in idle:
            conn.close()
