"""Guards against crashes that are missed as the dying process still accepts a probe."""

import asyncio
import socket
import struct
import time
import unittest
from types import SimpleNamespace

from valeweir_gateway.transport.headers import HeaderNames
from valeweir_gateway.upstreams.upstream_exits import UpstreamExits
from valeweir_gateway.upstreams.upstream_probes import create_probe

# The listening socket of a killed process stays open for so long.
LATE_CLOSES_S = (0.005, 0.05, 0.2)
REJECTION = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
NAMES = HeaderNames(request_id="X-Id", expected_instance="X-Instance")


class ExitCase(unittest.IsolatedAsyncioTestCase):
    """An upstream that listens; each case says how it treats connections."""

    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.instance = SimpleNamespace(id="i-1", service="s", address=f"{host}:{port}")
        self.requests = []
        self.kept = []
        probe = create_probe(
            NAMES,
            lambda name, sock, lifetime: self.kept.append(sock),
            lambda service: f"/{service}/health",
            time.monotonic,
        )
        self.exits = UpstreamExits(time.monotonic, probe)
        self.accepted = []
        self.addCleanup(self.listener.close)
        self.addCleanup(lambda: [sock.close() for sock in self.kept + self.accepted])

    def answer(self):
        """Reject requests for another instance, as a live upstream does."""
        loop = asyncio.get_running_loop()

        async def serve(conn):
            data = await loop.sock_recv(conn, 4_096)
            self.requests.append(data)
            await loop.sock_sendall(conn, REJECTION)

        def accept():
            conn, _ = self.listener.accept()
            conn.setblocking(False)
            self.accepted.append(conn)
            self.tasks = [*getattr(self, "tasks", ()), loop.create_task(serve(conn))]

        self.accept(accept)

    def reset(self):
        """Reset each new connection, as an upstream that is full does."""

        def accept():
            conn, _ = self.listener.accept()
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()

        self.accept(accept)

    def accept(self, callback):
        asyncio.get_running_loop().add_reader(self.listener, callback)

    def die(self):
        """Close the listening socket, which resets what was not accepted."""
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()

    def die_later(self, seconds):
        asyncio.get_running_loop().call_later(seconds, self.die)

    async def has_exited(self, sent=0.0):
        return await self.exits.has_exited(self.instance, sent)


class TestExits(ExitCase):
    async def test_closed_listener(self):
        self.listener.close()
        self.assertTrue(await self.has_exited())

    async def test_probe_that_a_dying_process_accepts(self):
        for seconds in LATE_CLOSES_S:
            with self.subTest(seconds=seconds):
                self.setUp()
                self.die_later(seconds)
                self.assertTrue(await self.has_exited())

    async def test_probes_that_are_reset_before_the_exit(self):
        self.reset()
        self.die_later(0.02)
        self.assertTrue(await self.has_exited())

    async def test_probe_that_was_answered_before_the_end(self):
        self.answer()
        self.assertFalse(await self.has_exited())
        self.die()
        self.assertTrue(await self.has_exited())

    async def test_probe_under_way_at_the_end(self):
        first = asyncio.create_task(self.has_exited())
        await asyncio.sleep(0.05)
        second = asyncio.create_task(self.has_exited())
        self.answer()
        await first
        self.die()
        # What it has waited for may have been sent before this response ended.
        self.assertTrue(await second)

    async def test_request_that_was_sent_after_the_exit(self):
        self.listener.close()
        self.assertTrue(await self.has_exited())
        self.assertFalse(await self.has_exited(sent=time.monotonic()))


class TestRunningUpstreams(ExitCase):
    """A running upstream has not exited, and runs nothing because of the question."""

    async def test_answer(self):
        self.answer()
        self.assertFalse(await self.has_exited())
        (data,) = self.requests
        self.assertTrue(data.startswith(b"GET /s/health HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-Instance: -\r\n", data)
        self.assertEqual(len(self.kept), 1)

    async def test_full(self):
        self.reset()
        self.assertFalse(await self.has_exited())

    async def test_no_answer(self):
        self.assertFalse(await self.has_exited())

    async def test_responses_that_end_together_share_probes(self):
        self.answer()
        results = await asyncio.gather(*(self.has_exited() for _ in range(20)))
        self.assertEqual(set(results), {False})
        self.assertLess(len(self.requests), 5)


class TestEndsOfResponses(ExitCase):
    """Connections that end together tell a crash from the end of a response."""

    async def test_together(self):
        self.exits.record_end("i-1", "first")
        self.exits.record_end("i-2", "elsewhere")
        self.assertFalse(await self.exits.ended_with_others("i-1", "first"))
        self.exits.record_end("i-1", "second")
        # Recorded once more as the request fails.
        self.exits.record_end("i-1", "second")
        self.assertFalse(await self.exits.ended_with_others("i-1", "second"))
        self.exits.record_end("i-1", "third")
        self.exits.record_end("i-1", "fourth")
        self.assertTrue(await self.exits.ended_with_others("i-1", "third"))


if __name__ == "__main__":
    unittest.main()
