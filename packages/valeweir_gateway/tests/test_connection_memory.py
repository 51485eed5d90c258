"""Counts the bytes that connections of clients hold beside requests in service."""

import gc
import time
import tracemalloc

from test_servers import ServerCase, read_until

CLIENT_COUNT = 8
BODY = b"x" * 1_000_000
CHUNK = b"%x\r\n%s\r\n" % (len(BODY) // 4, BODY[: len(BODY) // 4])
BY_LENGTH = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY)
IN_CHUNKS = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "length": BY_LENGTH + BODY,
    "chunks": IN_CHUNKS + 4 * CHUNK + b"0\r\n\r\n",
}


class ConnectionMemoryCase(ServerCase):
    def setUp(self):
        super().setUp()
        # A collection would hide what stays until the next one.
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

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
