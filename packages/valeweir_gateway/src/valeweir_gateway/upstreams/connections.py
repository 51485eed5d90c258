"""Kept connections to upstream instances.

A connection is kept only after an exchange that ended exactly as it should,
and is dropped once it turned readable while idle: the upstream has closed it
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

CONNECT_TIMEOUT = 0.4
_KEPT_PER_INSTANCE = 8
MAX_IDLE = 4.0


class Idle:
    """A kept connection; ``until`` is when to use it no more (steady clock)."""

    __slots__ = ("since", "sock", "until")

    def __init__(self, sock, since, until):
        self.sock = sock
        self.since = since
        self.until = until


class Connections:
    """Idle connections by instance id, the last used first."""

    def __init__(self, clock=get_lease_time):
        self._clock = clock
        self._idle = {}
        self._lock = threading.Lock()

    def take(self, instance_id, longest_idle=MAX_IDLE):
        """Return a kept socket that looks alive, or None."""
        now = self._clock()
        while True:
            with self._lock:
                rows = self._idle.get(instance_id)
                # The last used is the last in the list; all others are older.
                if not rows or now - rows[-1].since >= longest_idle:
                    return None
                idle = rows.pop()
            if now < idle.until and not is_readable(idle.sock):
                return idle.sock
            idle.sock.close()

    def keep(self, instance_id, sock, lifetime=None):
        """Keep a socket for ``lifetime`` seconds at most."""
        now = self._clock()
        until = now + min(MAX_IDLE, lifetime or MAX_IDLE)
        with self._lock:
            rows = self._idle.setdefault(instance_id, [])
            if len(rows) < _KEPT_PER_INSTANCE:
                rows.append(Idle(sock, now, until))
                return
        sock.close()

    def drop(self, instance_id):
        """Close what is kept for an instance that is gone."""
        with self._lock:
            rows = self._idle.pop(instance_id, [])
        for idle in rows:
            idle.sock.close()

    def drop_stale(self):
        """Close what has been idle for too long."""
        now = self._clock()
        stale = []
        with self._lock:
            for instance_id, rows in list(self._idle.items()):
                stale += [idle for idle in rows if now >= idle.until]
                rows[:] = [idle for idle in rows if now < idle.until]
                if not rows:
                    del self._idle[instance_id]
        for idle in stale:
            idle.sock.close()


async def connect(address, client, timeout=CONNECT_TIMEOUT):
    """Return a new connected socket; raises OSError where there is none.

    Parameters
    ----------
    client : object
        Whose request it is for; where it leaves there is no connection.
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
    until = asyncio.get_running_loop().time() + timeout
    wake = await wait_for_socket(sock, until, client, reading=False, writing=True)
    if wake is WaitResult.TIMED_OUT:
        return errno.ETIMEDOUT
    if wake is WaitResult.GONE:
        return errno.ECANCELED
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
