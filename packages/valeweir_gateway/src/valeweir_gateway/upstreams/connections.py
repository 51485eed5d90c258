"""Persistent connections to upstream instances.

A connection is kept only after an exchange that ended in full accordance with the
protocol, and is dropped if it became readable while idle: the upstream has closed it
or sent bytes that belong to no request.
"""

import asyncio
import errno
import os
import socket
import threading

from valeweir.timers import get_lease_time

from ..transport.socket_waits import WaitResult, wait_for_socket
from ..transport.sockets import is_readable, prepare_socket

CONNECT_TIMEOUT_S = 0.4
_MAX_IDLE_PER_INSTANCE = 8
MAX_IDLE_S = 4.0


class IdleConnection:
    """An idle connection, not used after ``expires_at`` on the monotonic clock."""

    __slots__ = ("expires_at", "idle_since", "sock")

    def __init__(self, sock, idle_since, expires_at):
        self.sock = sock
        self.idle_since = idle_since
        self.expires_at = expires_at


class Connections:
    """A pool of idle connections by instance id; the last used is taken first."""

    def __init__(self, clock=get_lease_time):
        self._clock = clock
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, instance_id, max_idle_s=MAX_IDLE_S):
        """Return an idle socket that is neither readable nor expired, or None."""
        now = self._clock()
        while True:
            with self._lock:
                rows = self._idle.get(instance_id)
                # The last in the list was used last, so all others are older.
                if not rows or now - rows[-1].idle_since >= max_idle_s:
                    return None
                idle = rows.pop()
            if now < idle.expires_at and not is_readable(idle.sock):
                return idle.sock
            idle.sock.close()

    def keep(self, instance_id, sock, lifetime=None):
        """Keep a socket for at most ``lifetime`` seconds, or close it at the limit."""
        now = self._clock()
        expires_at = now + min(MAX_IDLE_S, lifetime or MAX_IDLE_S)
        with self._lock:
            rows = self._idle.setdefault(instance_id, [])
            if len(rows) < _MAX_IDLE_PER_INSTANCE:
                rows.append(IdleConnection(sock, now, expires_at))
                return
        sock.close()

    def drop(self, instance_id):
        """Close the idle connections to an instance that has left."""
        with self._lock:
            rows = self._idle.pop(instance_id, [])
        for idle in rows:
            idle.sock.close()

    def close_expired(self):
        """Close the connections that have expired."""
        now = self._clock()
        stale = []
        with self._lock:
            for instance_id, rows in list(self._idle.items()):
                stale += [idle for idle in rows if now >= idle.expires_at]
                rows[:] = [idle for idle in rows if now < idle.expires_at]
                if not rows:
                    del self._idle[instance_id]
        for idle in stale:
            idle.sock.close()


async def connect(address, client, timeout=CONNECT_TIMEOUT_S):
    """Return a new connected socket; raises OSError if connecting fails.

    Parameters
    ----------
    client : object
        The client of the request; connecting is given up when it disconnects.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        prepare_socket(sock)
        code = sock.connect_ex((host, int(port)))
        if code == errno.EINPROGRESS:
            code = await _finish_connecting(sock, client, timeout)
        if code:
            raise OSError(code, os.strerror(code))
    except OSError:
        sock.close()
        raise
    return sock


async def _finish_connecting(sock, client, timeout):
    deadline = asyncio.get_running_loop().time() + timeout
    result = await wait_for_socket(sock, deadline, client, reading=False, writing=True)
    if result is WaitResult.TIMED_OUT:
        return errno.ETIMEDOUT
    if result is WaitResult.GONE:
        return errno.ECANCELED
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
