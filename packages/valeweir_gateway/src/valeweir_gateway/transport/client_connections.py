"""A client's connection, whose requests are served in order.

The socket stays registered with the event loop while a request is served, so a
disconnect is detected at once and costs nothing for the other connections.
"""

import asyncio
import collections
from typing import NamedTuple

import msgspec
from valeweir.models import OUTCOME_HEADER, Outcome

from .body_memory import SMALL_BODY_BYTES
from .replies import ClientDisconnected, Reply, encode_head
from .requests import BadRequest, RequestParser
from .socket_waits import set_result_if_pending
from .sockets import (
    USER_TIMEOUT_MS,
    is_window_closed,
    set_reset_on_close,
    set_user_timeout,
)
from .write_buffers import compute_resume_size, find_reached_bound

# Limits the complete requests of one connection that wait for an earlier one.
_MAX_PIPELINED_REQUEST_COUNT = 8
# A client waits at most this long for the memory that its request body needs, and is
# then asked to retry later.
_MAX_MEMORY_WAIT_S = 2.0
_MEMORY_RETRY_AFTER_S = 0.5
_MAX_DISCARD_S = 1.0
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Response(NamedTuple):
    """The response that a connection sends; ``deadline`` is on the loop's clock."""

    request_id: str
    deadline: float


class ClientConnection(asyncio.Protocol):
    """Protocol of a client's connection; one task serves its requests in order."""

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._parser = RequestParser(
            server.get_limits, self._add_request, self._send_continue
        )
        # Pairs of a complete request and the `BodyHolding` of its body.
        self._requests = collections.deque()
        # Of the body that is being received, and since when it waits for memory.
        self._holding = server.request_memory.open()
        self._waits_since = None
        # The response to a request that cannot be read; it follows all others.
        self._error_response = None
        self._is_body_unread = False
        self._request_waiter = None
        self._drain_waiter = None
        self._write_paused = False
        self._response = None
        self._has_reported_bound = False
        self._is_user_timeout_raised = False
        # Unsent bytes as last counted in the server's write buffers.
        self._buffered_size = 0
        self._is_serving = False
        self._answering = False
        self.is_disconnected = False
        self.on_disconnect = None
        self.last_activity = 0.0

    def connection_made(self, transport):  # noqa: D102
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._server.prepare_socket(transport.get_extra_info("socket"))
        self.last_activity = self._server.loop.time()
        self._server.add(self)

    def data_received(self, data):  # noqa: D102
        self.last_activity = self._server.loop.time()
        if self._error_response is not None:
            return
        try:
            self._parser.feed(data)
        except BadRequest as exc:
            self._reject_input(exc)
        else:
            self._hold_body()
        if len(self._requests) >= _MAX_PIPELINED_REQUEST_COUNT:
            self._transport.pause_reading()

    def eof_received(self):  # noqa: D102
        self._mark_disconnected()
        return False

    def connection_lost(self, exc):  # noqa: D102
        self._mark_disconnected()
        self._count_buffer(0)
        self._release_input()
        while self._requests:
            _, holding = self._requests.popleft()
            holding.close()
        self._server.remove(self)

    def pause_writing(self):  # noqa: D102
        self._write_paused = True

    def resume_writing(self):  # noqa: D102
        self._write_paused = False
        self._count_buffer(self._transport.get_write_buffer_size())
        set_result_if_pending(self._drain_waiter)

    @property
    def closes_after_response(self):
        """Return whether the connection should be closed after the next response."""
        return self._server.closes_after_response

    @property
    def is_idle(self):
        """Return whether no request is being received, queued, served or rejected."""
        if self._error_response is not None:
            return False
        return not (self._is_serving or self._requests or self._parser.is_reading)

    @property
    def is_write_paused(self):
        """Return whether written bytes are still buffered in this process."""
        return self._write_paused

    def write(self, data):
        """Write or buffer bytes without waiting."""
        # After a failed write, the transport reports the disconnection only later.
        if not self.is_disconnected and not self._transport.is_closing():
            self._transport.write(data)

    def start_response(self, request_id, deadline):
        """Record which response is sent, and until when its client may read it."""
        self._response = Response(request_id, deadline)
        self._has_reported_bound = False

    async def wait_for_room(self):
        """Wait until the unsent bytes are within the bounds.

        Raises `ClientDisconnected`.
        """
        buffers = self._server.write_buffers
        while self._write_paused and not self.is_disconnected:
            size = self._transport.get_write_buffer_size()
            self._count_buffer(size)
            bounds = buffers.get_bounds()
            bound = find_reached_bound(size, buffers.total, bounds)
            if bound is None:
                return
            if self._response is not None and not self._has_reported_bound:
                self._has_reported_bound = True
                buffers.on_bound_reached(self._response.request_id, bound, size)
            await self._wait_for_size(compute_resume_size(size, buffers.total, bounds))
        if self.is_disconnected:
            raise ClientDisconnected

    async def _wait_for_size(self, size):
        """Wait until at most ``size`` bytes are unsent or the client disconnects."""
        self._transport.set_write_buffer_limits(high=size, low=size)
        try:
            self._drain_waiter = self._server.loop.create_future()
            await self._drain_waiter
        finally:
            # Pauses writing again if bytes are left.
            self._transport.set_write_buffer_limits(high=0)

    async def drain(self):
        """Wait until the write buffer is empty; raises `ClientDisconnected`."""
        self._count_buffer(self._transport.get_write_buffer_size())
        while self._write_paused and not self.is_disconnected:
            self._drain_waiter = self._server.loop.create_future()
            await self._drain_waiter
        if self.is_disconnected:
            raise ClientDisconnected

    def close(self):
        """Close the connection after the buffered bytes are sent."""
        if self._response is not None and not self.is_disconnected:
            # The kernel sends on what it has, and the client may pause then too.
            left_s = self._response.deadline - self._server.loop.time()
            sock = self._transport.get_extra_info("socket")
            set_user_timeout(sock, max(USER_TIMEOUT_MS, left_s * 1000.0))
        self._transport.close()

    def set_reset_on_close(self, is_on):
        """Choose whether the end of the connection is a reset for the client."""
        if not self.is_disconnected:
            set_reset_on_close(self._transport.get_extra_info("socket"), is_on)

    async def serve(self):
        """Serve requests until the connection ends; runs as the connection's task."""
        while not self.is_disconnected:
            if not self._requests:
                if self._error_response is not None:
                    self._send_error()
                    return
                self._request_waiter = self._server.loop.create_future()
                await self._request_waiter
                continue
            if not await self._serve_next():
                self.close()
                return

    async def _serve_next(self):
        """Serve the oldest request; return whether the connection stays open.

        The request is referenced by this call only, so that its body is released
        before the connection becomes idle.
        """
        request, holding = self._requests.popleft()
        if self._waits_since is None:
            self._transport.resume_reading()
        try:
            return await self._serve_request(request)
        finally:
            holding.close()

    async def _serve_request(self, request):
        """Serve one request; return whether the connection stays open."""
        # The deadline of an earlier response must not end a later one.
        self._end_response()
        reply = Reply(self, request)
        self._is_serving = True
        try:
            await self._server.handle(request, reply)
            if not reply.started:
                reply.send(204, [], b"")
            await reply.flush()
            if reply.ends_by_close:
                self.set_reset_on_close(False)
        except ClientDisconnected:
            return False
        finally:
            self._is_serving = False
            self.last_activity = self._server.loop.time()
        return reply.keep_alive and reply.ended

    def check_timeouts(self, now):
        """Close the connection if it is idle, or reads or sends too slowly."""
        if self._response is not None:
            self._check_response(now)
        if self._is_serving or self._requests or self._error_response is not None:
            return
        if self._waits_since is not None:
            if now - self._waits_since > _MAX_MEMORY_WAIT_S:
                self._reject_input(
                    BadRequest(
                        503,
                        "the memory for request bodies is in use",
                        retry_after=_MEMORY_RETRY_AFTER_S,
                    )
                )
            return
        idle_time = now - self.last_activity
        if self._parser.is_reading and not self._parser.is_in_body:
            if idle_time > self._server.get_limits().header_timeout:
                self._reject_input(
                    BadRequest(408, "the request head was not received in time")
                )
        elif idle_time > self._server.get_limits().idle_timeout:
            if self._parser.is_reading:
                self._reject_input(
                    BadRequest(408, "the request body was not received in time")
                )
            else:
                self.close()

    def _check_response(self, now):
        """Abort an overdue response; allow its client to pause reading until then.

        The user timeout of TCP also ends a connection whose peer answers but leaves its
        receive window closed, so it is raised while the window is closed. A client host
        that fails in this state is detected only at the deadline. A response that was
        written completely is checked on while the kernel holds its end for the client.
        """
        deadline = self._response.deadline
        if now >= deadline and self._write_paused:
            size = self._transport.get_write_buffer_size()
            self._server.write_buffers.on_abort(self._response.request_id, size)
            self._response = None
            self._transport.abort()
            return
        sock = self._transport.get_extra_info("socket")
        is_closed = is_window_closed(sock)
        if is_closed != self._is_user_timeout_raised:
            self._is_user_timeout_raised = is_closed
            timeout_ms = (deadline - now) * 1000.0 if is_closed else 0
            set_user_timeout(sock, max(USER_TIMEOUT_MS, timeout_ms))
        if not (self._is_serving or self._write_paused or is_closed):
            self._response = None

    def _end_response(self):
        """Stop checking the response and use the usual user timeout again."""
        self._response = None
        if self._is_user_timeout_raised:
            self._is_user_timeout_raised = False
            if not self.is_disconnected:
                set_user_timeout(
                    self._transport.get_extra_info("socket"), USER_TIMEOUT_MS
                )

    def _count_buffer(self, size):
        self._server.write_buffers.update(self._buffered_size, size)
        self._buffered_size = size

    def _reject_input(self, fault):
        """Stop reading; the error response follows those of the earlier requests."""
        fault = self._server.on_bad_request(fault)
        self._server.on_rejection(f"http-{fault.status}")
        self._error_response = _encode_error(fault)
        self._is_body_unread = self._parser.is_in_body
        self._release_input()
        self._wake_serve()

    def _release_input(self):
        """Release the memory of an incomplete request."""
        self._holding.remove_waiter()
        self._holding.close()
        self._parser.close()

    def _add_request(self, request):
        if len(request.body) > SMALL_BODY_BYTES:
            self._holding.resize(len(request.body))
            self._holding.complete()
        self._requests.append((request, self._holding))
        self._holding = self._server.request_memory.open()
        self._wake_serve()

    def _hold_body(self):
        """Reserve memory for an incomplete body, or wait for it."""
        size = self._parser.expected_body_size
        if size <= max(SMALL_BODY_BYTES, self._holding.size):
            return
        if self._waits_since is not None or self._holding.reserve(size):
            return
        self._waits_since = self._server.loop.time()
        self._transport.pause_reading()
        self._holding.add_waiter(size).add_done_callback(self._resume_body)

    def _resume_body(self, _):
        self._holding.remove_waiter()
        self._waits_since = None
        self.last_activity = self._server.loop.time()
        if not self.is_disconnected:
            self._transport.resume_reading()

    def _send_continue(self):
        if not self._is_serving and not self._requests:
            self._transport.write(_CONTINUE_RESPONSE)

    def _send_error(self):
        self.write(self._error_response)
        if self._is_body_unread and not self.is_disconnected:
            self._discard_rest()
        else:
            self.close()

    def _discard_rest(self):
        """Close once the client has sent its body, or does so for too long.

        To close with unread bytes would reset the connection, and the client might lose
        the response.
        """
        self._transport.write_eof()
        self._transport.resume_reading()
        self._server.loop.call_later(_MAX_DISCARD_S, self.close)

    def _mark_disconnected(self):
        if self.is_disconnected:
            return
        self.is_disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()
        set_result_if_pending(self._drain_waiter)
        self._wake_serve()

    def _wake_serve(self):
        set_result_if_pending(self._request_waiter)


def _encode_error(fault):
    """Return an error response that marks the malformed request as not run."""
    body = msgspec.json.encode(
        {"error": {"code": f"http-{fault.status}", "message": fault.text}}
    )
    rows = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, Outcome.NOT_RUN.value),
    ]
    if fault.retry_after is not None:
        rows.append(("Retry-After", f"{fault.retry_after:.2f}"))
    framing = [f"Content-Length: {len(body)}"]
    return encode_head(fault.status, rows, framing, False) + body
