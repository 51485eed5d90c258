"""An HTTP server on the event loop: one task for each connection.

asyncio moves the bytes and httptools parses them.
"""

import asyncio
import socket

from .clients import ClientConnection

_BACKLOG_COUNT = 1_024
# Connections accepted in one turn of the loop; more wait for the next.
_MAX_ACCEPT_COUNT = 16
# Seconds until accepting is tried again where descriptors have run out.
_ACCEPT_ERROR_PAUSE_S = 0.1
# And where as many as may be open are; little beside latency targets.
_CONNECTION_LIMIT_PAUSE_S = 0.01
# Parts of the connections that may be open: from the first on connections end
# with their answer, from the second on the longest idle are closed.
_MAX_KEEP_ALIVE_RATIO = 0.6
_MAX_IDLE_RATIO = 0.8
# From this part on the balancer should send nobody new: who is ready accepts.
_MAX_READY_RATIO = 0.95
# Seconds between looks at idle and half-sent connections.
_CHECK_INTERVAL_S = 0.25


class Server:
    """Serves ``handle(request, reply)``, a coroutine function, on one address.

    Limits are in bytes and seconds and may change while the server runs.

    Parameters
    ----------
    note_refusal : callable
        Told the code of each request that cannot be read.
    prepare_socket : callable
        Sets options on each client's socket.
    """

    def __init__(self, address, handle, note_refusal, prepare_socket):
        self.address = address
        self.handle = handle
        self.note_refusal = note_refusal
        self.prepare_socket = prepare_socket
        self.max_header = 32 << 10
        self.max_body = 8 << 20
        self.header_timeout = 10.0
        self.idle_timeout = 15.0
        self.max_connections = 1_000
        self.loop = None
        self._sock = None
        self._resume_timer = None
        self._is_check_scheduled = False
        self._connections = set()
        self._tasks = set()

    def __len__(self):
        """Return how many connections are open."""
        return len(self._connections)

    async def start(self):
        """Bind and serve from now on."""
        self.loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._sock = socket.create_server((host, int(port)), backlog=_BACKLOG_COUNT)
        self._sock.setblocking(False)
        self.loop.add_reader(self._sock, self._accept_connections)

    def close(self):
        """Stop listening and close every connection."""
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        if self._resume_timer is not None:
            # It would listen on a socket that is closed.
            self._resume_timer.cancel()
        for conn in list(self._connections):
            conn.close()

    def add(self, conn):
        """Count a new connection."""
        self._connections.add(conn)
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.loop.call_later(_CHECK_INTERVAL_S, self._check_connections)

    def remove(self, conn):
        """Forget a connection that has ended."""
        self._connections.discard(conn)

    @property
    def is_full(self):
        """Return whether hardly any new connection can be accepted."""
        return len(self._tasks) > _MAX_READY_RATIO * self.max_connections

    @property
    def closes_after_response(self):
        """Return whether connections should end with their answer."""
        return len(self._connections) > _MAX_KEEP_ALIVE_RATIO * self.max_connections

    def _accept_connections(self):
        for _ in range(_MAX_ACCEPT_COUNT):
            if len(self._tasks) >= self.max_connections:
                # They wait in the queue of the host until others have ended; the
                # loop would turn without end while it is told of them.
                self._pause_accepting(_CONNECTION_LIMIT_PAUSE_S)
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                # The host gives no more descriptors for now.
                self.note_refusal(f"not-accepted-{exc.errno}")
                self._pause_accepting(_ACCEPT_ERROR_PAUSE_S)
                return
            self._create_task(self._serve_socket(sock))

    def _pause_accepting(self, seconds):
        self.loop.remove_reader(self._sock)
        self._resume_timer = self.loop.call_later(
            seconds, self.loop.add_reader, self._sock, self._accept_connections
        )

    async def _serve_socket(self, sock):
        """Serve a new connection; the body of its task."""
        try:
            _, conn = await self.loop.connect_accepted_socket(
                lambda: ClientConnection(self), sock
            )
        except OSError:
            # The client has left already.
            sock.close()
            return
        await conn.serve()

    def _create_task(self, coroutine):
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check_connections(self):
        now = self.loop.time()
        for conn in list(self._connections):
            conn.check_timeouts(now)
        excess = len(self._connections) - int(_MAX_IDLE_RATIO * self.max_connections)
        if excess > 0:
            idle = [conn for conn in self._connections if conn.is_idle]
            idle.sort(key=lambda conn: conn.last_activity)
            for conn in idle[:excess]:
                conn.close()
        self._is_check_scheduled = bool(self._connections)
        if self._is_check_scheduled:
            self.loop.call_later(_CHECK_INTERVAL_S, self._check_connections)


def create_server(
    address, handle, note_refusal=lambda code: None, prepare_socket=lambda sock: None
):
    """Return a `Server` that is bound and serves once it is started."""
    return Server(address, handle, note_refusal, prepare_socket)


def create_plain_handler(handle, log):
    """Return a coroutine function that answers by a function that never waits."""

    async def call_handler(request, reply):
        try:
            handle(request, reply)
        except Exception as exc:
            # A fault here must not leave the one who asks without an answer.
            log.note("side request failed", failed=True, why=repr(exc))
            reply.close()
            if not reply.started:
                reply.send(500, [], b"")

    return call_handler
