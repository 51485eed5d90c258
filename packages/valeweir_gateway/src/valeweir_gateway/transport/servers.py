"""An HTTP server on the event loop, with one task for each connection.

asyncio reads and writes the sockets, and httptools parses the requests.
"""

import asyncio
import math
import socket

from .body_memory import BodyMemory
from .client_connections import ClientConnection
from .limits import ClientLimits
from .write_buffers import WriteBuffers

# Begins the codes of connections that could not be accepted.
NOT_ACCEPTED_PREFIX = "not-accepted-"
_BACKLOG_COUNT = 1_024
# Limits the connections accepted in one iteration of the event loop.
_MAX_ACCEPT_COUNT = 16
# Delays the next accept after an error, such as a lack of file descriptors.
_ACCEPT_ERROR_PAUSE_S = 0.1
# Delays the next accept at the connection limit; short compared to latency targets.
_CONNECTION_LIMIT_PAUSE_S = 0.01
# Above this ratio of ``max_connections`` connections are closed after a response.
_MAX_KEEP_ALIVE_RATIO = 0.6
# Above this ratio the connections that have been idle longest are closed.
_MAX_IDLE_RATIO = 0.8
# Above this ratio the gateway reports that it is not ready, so that the load balancer
# sends no new clients: a ready gateway must be able to accept connections.
_MAX_READY_RATIO = 0.95
# Interval between checks for idle connections and incomplete requests.
_CHECK_INTERVAL_S = 0.25
# Time for the tasks of closed connections to end before they are cancelled.
_CLOSE_TIMEOUT_S = 0.1


class Server:
    """Calls the coroutine function ``handle(request, reply)`` for each request.

    Parameters
    ----------
    get_limits : callable
        Returns the `limits.ClientLimits` in force.
    on_rejection : callable
        Called with a code for each malformed request and each failed accept.
    on_bad_request : callable
        Called with each `requests.BadRequest`; returns the one to respond with.
    prepare_socket : callable
        Called with each client's socket to set its options.
    write_buffers : write_buffers.WriteBuffers
        Bounds the unsent response bytes of all connections.
    request_memory : body_memory.BodyMemory
        Bounds the bodies of all requests.
    """

    def __init__(
        self,
        address,
        handle,
        get_limits,
        on_rejection,
        on_bad_request,
        prepare_socket,
        write_buffers,
        request_memory,
    ):
        self.address = address
        self.handle = handle
        self.get_limits = get_limits
        self.on_rejection = on_rejection
        self.on_bad_request = on_bad_request
        self.prepare_socket = prepare_socket
        self.write_buffers = write_buffers
        self.request_memory = request_memory
        self.max_connections = 1_000
        self.loop = None
        self._sock = None
        self._resume_timer = None
        self._is_check_scheduled = False
        self._connections = set()
        self._tasks = set()

    def __len__(self):
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self):
        """Bind the address and start accepting connections."""
        self.loop = asyncio.get_running_loop()
        host, _, port = self.address.rpartition(":")
        self._sock = socket.create_server((host, int(port)), backlog=_BACKLOG_COUNT)
        self._sock.setblocking(False)
        self.loop.add_reader(self._sock, self._accept_connections)

    def close(self):
        """Stop listening and close every connection."""
        self._stop_listening()
        for conn in list(self._connections):
            conn.close()

    def close_idle(self):
        """Stop listening and close the connections without a request."""
        self._stop_listening()
        for conn in list(self._connections):
            if conn.is_idle:
                conn.close()

    def _stop_listening(self):
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        if self._resume_timer is not None:
            # The timer would register the closed socket with the event loop.
            self._resume_timer.cancel()

    async def wait_closed(self):
        """Wait until every connection's task has ended; call `close` first.

        A task that does not end soon after its connection is closed is cancelled.
        """
        for timeout in (_CLOSE_TIMEOUT_S, None):
            if not self._tasks:
                return
            _, pending = await asyncio.wait(self._tasks, timeout=timeout)
            for task in pending:
                task.cancel()

    def add(self, conn):
        """Add a new connection and schedule the timeout checks."""
        self._connections.add(conn)
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.loop.call_later(_CHECK_INTERVAL_S, self._check_connections)

    def remove(self, conn):
        """Remove a closed connection."""
        self._connections.discard(conn)

    @property
    def is_full(self):
        """Return whether the number of connections is close to its limit."""
        return len(self._tasks) > _MAX_READY_RATIO * self.max_connections

    @property
    def closes_after_response(self):
        """Return whether connections should be closed after their next response."""
        return len(self._connections) > _MAX_KEEP_ALIVE_RATIO * self.max_connections

    def _accept_connections(self):
        for _ in range(_MAX_ACCEPT_COUNT):
            if len(self._tasks) >= self.max_connections:
                # New connections wait in the listen backlog. The socket stays
                # readable, so the event loop would spin if it were registered.
                self._pause_accepting(_CONNECTION_LIMIT_PAUSE_S)
                return
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                # The process or the host has run out of file descriptors or memory.
                self.on_rejection(f"{NOT_ACCEPTED_PREFIX}{exc.errno}")
                self._pause_accepting(_ACCEPT_ERROR_PAUSE_S)
                return
            self._create_task(self._serve_socket(sock))

    def _pause_accepting(self, seconds):
        self.loop.remove_reader(self._sock)
        self._resume_timer = self.loop.call_later(
            seconds, self.loop.add_reader, self._sock, self._accept_connections
        )

    async def _serve_socket(self, sock):
        """Serve a new connection; runs as the connection's task."""
        try:
            _, conn = await self.loop.connect_accepted_socket(
                lambda: ClientConnection(self), sock
            )
        except OSError:
            # The client has disconnected already.
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
    address,
    handle,
    on_rejection=lambda code: None,
    on_bad_request=lambda exc: exc,
    prepare_socket=lambda sock: None,
    write_buffers=None,
    get_limits=ClientLimits,
    request_memory=None,
):
    """Return a `Server` that binds its address when it is started."""
    write_buffers = write_buffers or WriteBuffers()
    request_memory = request_memory or BodyMemory(lambda: math.inf)
    return Server(
        address,
        handle,
        get_limits,
        on_rejection,
        on_bad_request,
        prepare_socket,
        write_buffers,
        request_memory,
    )


def create_sync_handler(handle, log):
    """Return a coroutine function that calls a handler which never blocks."""

    async def call_handler(request, reply):
        try:
            handle(request, reply)
        except Exception as exc:
            # The client must get a response even if the handler fails.
            log.note("side request failed", failed=True, why=repr(exc))
            reply.close()
            if not reply.started:
                reply.send(500, [], b"")

    return call_handler
