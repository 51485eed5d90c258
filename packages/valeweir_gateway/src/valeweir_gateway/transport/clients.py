"""One connection of a client: reads its requests, answers them in turn.

It stays registered with the loop while its request is served, so that a client that
leaves is seen at once, at no cost for those that stay.
"""

import asyncio
import collections

import msgspec
from valeweir.models import OUTCOME_HEADER, Outcome

from .replies import ClientGone, Reply, encode_head
from .requests import BadRequest, RequestParser
from .waiting import wake

# Whole requests of one connection that wait for the one before them.
_MAX_PIPELINED = 8
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(asyncio.Protocol):
    """A client's connection; its task serves the requests one after the other."""

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._parser = RequestParser(server, self._take_request, self._allow_body)
        self._requests = collections.deque()
        self._fault = None
        self._wanted = None
        self._drained = None
        self._full = False
        self._busy = False
        self._answering = False
        self.gone = False
        self.on_gone = None
        self.heard = 0.0

    def connection_made(self, transport):  # noqa: D102
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._server.prepare_socket(transport.get_extra_info("socket"))
        self.heard = self._server.loop.time()
        self._server.add(self)

    def data_received(self, data):  # noqa: D102
        self.heard = self._server.loop.time()
        if self._fault is not None:
            return
        try:
            self._parser.feed(data)
        except BadRequest as exc:
            self._take_fault(exc)
        if len(self._requests) >= _MAX_PIPELINED:
            self._transport.pause_reading()

    def eof_received(self):  # noqa: D102
        self._note_gone()
        return False

    def connection_lost(self, exc):  # noqa: D102
        self._note_gone()
        self._server.remove(self)

    def pause_writing(self):  # noqa: D102
        self._full = True

    def resume_writing(self):  # noqa: D102
        self._full = False
        wake(self._drained)

    @property
    def is_crowded(self):
        """Return whether so many are open that this one should end soon."""
        return self._server.is_crowded

    @property
    def is_idle(self):
        """Return whether nothing of a request has come that is not answered."""
        return not (self._busy or self._requests or self._parser.is_reading)

    @property
    def is_full(self):
        """Return whether bytes wait for the client to read."""
        return self._full

    def write(self, data):
        """Hand bytes to the network; never waits."""
        if not self.gone:
            self._transport.write(data)

    async def drain(self):
        """Wait until the client has read what was written; raises `ClientGone`."""
        while self._full and not self.gone:
            self._drained = self._server.loop.create_future()
            await self._drained
        if self.gone:
            raise ClientGone

    def close(self):
        """Close after what was written."""
        self._transport.close()

    async def serve(self):
        """Serve requests until the connection ends; the body of its task."""
        while not self.gone:
            if not self._requests:
                if self._fault is not None:
                    self._refuse(self._fault)
                    return
                self._wanted = self._server.loop.create_future()
                await self._wanted
                continue
            request = self._requests.popleft()
            self._transport.resume_reading()
            if not await self._answer(request):
                self.close()
                return

    async def _answer(self, request):
        """Answer one request; return whether the connection goes on."""
        reply = Reply(self, request)
        self._busy = True
        try:
            await self._server.handle(request, reply)
            if not reply.started:
                reply.send(204, [], b"")
            await reply.flush()
        except ClientGone:
            return False
        finally:
            self._busy = False
            self.heard = self._server.loop.time()
        return reply.keeps and reply.ended

    def sweep(self, now):
        """End a connection that is idle, or sends its request too slowly."""
        if self._busy or self._requests or self._fault is not None:
            return
        waited = now - self.heard
        if self._parser.is_reading and not self._parser.is_in_body:
            if waited > self._server.header_timeout:
                self._take_fault(BadRequest(408, "the head did not come in time"))
        elif waited > self._server.idle_timeout:
            if self._parser.is_reading:
                self._take_fault(BadRequest(408, "the body did not come in time"))
            else:
                self.close()

    def _take_fault(self, fault):
        """Read nothing more; the fault is answered after the requests before it."""
        self._fault = fault
        self._wake()

    def _take_request(self, request):
        self._requests.append(request)
        self._wake()

    def _allow_body(self):
        if not self._busy and not self._requests:
            self._transport.write(_CONTINUE)

    def _refuse(self, fault):
        """Answer what cannot be read: nothing of it has run."""
        self._server.note_refusal(f"http-{fault.status}")
        body = msgspec.json.encode(
            {"error": {"code": f"http-{fault.status}", "message": fault.text}}
        )
        rows = [
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, Outcome.NOT_RUN.value),
        ]
        framing = f"Content-Length: {len(body)}"
        self.write(encode_head(fault.status, rows, framing, False) + body)
        self.close()

    def _note_gone(self):
        if self.gone:
            return
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()
        wake(self._drained)
        self._wake()

    def _wake(self):
        wake(self._wanted)
