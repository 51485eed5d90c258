"""Counts the bytes that connections of clients hold beside requests in service."""

import asyncio
import gc
import time
import tracemalloc
import unittest

from test_exchanges import OK, ExchangeCase, make_call
from test_servers import ServerCase, read_until
from valeweir_gateway.transport import responses
from valeweir_gateway.transport.limits import ClientLimits
from valeweir_gateway.transport.responses import Head

CLIENT_COUNT = 8
BODY = b"x" * 1_000_000
CHUNK = b"%x\r\n%s\r\n" % (len(BODY) // 4, BODY[: len(BODY) // 4])
BY_LENGTH = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY)
IN_CHUNKS = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "length": BY_LENGTH + BODY,
    "chunks": IN_CHUNKS + 4 * CHUNK + b"0\r\n\r\n",
}
# Sent by clients that leave. Defined here, as the tests count what they allocate.
INCOMPLETE_BODIES = (BY_LENGTH + BODY[:-1], IN_CHUNKS + 3 * CHUNK)
TWO_REQUESTS = b"GET /first HTTP/1.1\r\n\r\n" + REQUESTS["length"]
REJECTED_REQUEST = b"GET /first HTTP/1.1\r\n\r\n" + IN_CHUNKS + 5 * CHUNK


def start_counting(case):
    """Count the bytes allocated from now on until the end of a test."""
    # A collection would hide what stays until the next one.
    gc.collect()
    gc.disable()
    case.addCleanup(gc.enable)
    tracemalloc.start()
    case.addCleanup(tracemalloc.stop)


class ConnectionMemoryCase(ServerCase):
    def setUp(self):
        super().setUp()
        start_counting(self)

    def check_bytes(self):
        """Check that less than one body is alive."""
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline:
            size, _ = tracemalloc.get_traced_memory()
            if size < len(BODY) // 2:
                return
            time.sleep(0.05)
        self.fail(f"{size} bytes of {CLIENT_COUNT} bodies of {len(BODY)} are alive")


class TestIdleConnections(ConnectionMemoryCase):
    """Guards against idle connections that keep the bodies of their last requests."""

    async def handle(self, request, reply):
        reply.send(200, [], b"ok")

    def test_served_bodies_are_released(self):
        for name, data in REQUESTS.items():
            with self.subTest(framing=name):
                for _ in range(CLIENT_COUNT):
                    sock = self.connect()
                    sock.sendall(data)
                    self.assertTrue(read_until(sock, b"ok").endswith(b"ok"))
                self.check_bytes()

    def test_the_first_of_two_requests_is_released(self):
        for _ in range(CLIENT_COUNT):
            sock = self.connect()
            sock.sendall(REQUESTS["length"])
            read_until(sock, b"ok")
            sock.sendall(BY_LENGTH + BODY[:10])
        self.check_bytes()


class TestEndedConnections(ConnectionMemoryCase):
    """Guards against bodies that stay in memory after their connection has ended."""

    async def handle(self, request, reply):
        await asyncio.sleep(0.2)
        reply.send(200, [], b"ok")

    def check_ends(self, data):
        """Check what is left of connections whose clients leave after some bytes."""
        for _ in range(CLIENT_COUNT):
            sock = self.connect()
            sock.sendall(data)
            time.sleep(0.05)
            sock.close()
        self.assertTrue(self.wait_until(lambda: len(self.server) == 0))
        self.check_bytes()
        self.assertEqual(self.server.request_memory.total, 0)

    def test_incomplete_bodies_are_released(self):
        for data in INCOMPLETE_BODIES:
            self.check_ends(data)

    def test_queued_requests_are_released(self):
        self.check_ends(TWO_REQUESTS)


class TestRejectedRequests(ConnectionMemoryCase):
    """Guards against bodies that stay in memory after they have been rejected."""

    async def handle(self, request, reply):
        await self.answered.wait()
        reply.send(200, [], b"ok")

    def setUp(self):
        self.answered = asyncio.Event()
        super().setUp()
        self.server.get_limits = lambda: ClientLimits(body_bytes=len(BODY))

    def test_body_beyond_the_limit_behind_a_request_in_service(self):
        socks = [self.connect() for _ in range(CLIENT_COUNT)]
        for sock in socks:
            sock.sendall(REJECTED_REQUEST)
        codes = self.refusal_codes
        self.assertTrue(self.wait_until(lambda: len(codes) == CLIENT_COUNT))
        self.check_bytes()
        self.assertEqual(self.server.request_memory.total, 0)
        self.loop.call_soon_threadsafe(self.answered.set)
        for sock in socks:
            data = read_until(sock, b"too large")
            self.assertIn(b"HTTP/1.1 413 ", data)


class TestAbandonedResponses(ExchangeCase):
    """Guards against parts of responses that stay in memory after their exchange."""

    def test_received_parts_are_released(self):
        data = OK + b"Content-Length: 100000\r\n\r\n" + BODY[:16_000]
        start_counting(self)
        for _ in range(3 * CLIENT_COUNT):
            upstream, exchange = self.open([data])
            self.assertIsNone(self.run_coroutine(exchange.send(make_call())))
            self.assertIsInstance(self.run_coroutine(exchange.read()), Head)
            exchange.close()
            upstream.stop()
        by_parser = tracemalloc.Filter(True, responses.__file__)
        snapshot = tracemalloc.take_snapshot().filter_traces([by_parser])
        size = sum(trace.size for trace in snapshot.traces)
        self.assertLess(size, CLIENT_COUNT * 16_000)


if __name__ == "__main__":
    unittest.main()
