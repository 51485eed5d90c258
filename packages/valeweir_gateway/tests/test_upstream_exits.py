"""Guards against crashes that are missed as the dying process still accepts a probe."""

import asyncio
import socket
import struct
import time
import unittest
from types import SimpleNamespace

from valeweir_gateway.upstreams.upstream_exits import UpstreamExits

# The listening socket of a killed process stays open for this long.
LATE_CLOSE_S = 0.02


class ExitCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.instance = SimpleNamespace(id="i-1", address=f"{host}:{port}")
        self.kept = []
        self.exits = UpstreamExits(
            time.monotonic, lambda name, sock: self.kept.append(sock)
        )
        self.addCleanup(self.listener.close)
        self.addCleanup(lambda: [sock.close() for sock in self.kept])
        self.accepted = []
        self.addCleanup(lambda: [sock.close() for sock in self.accepted])

    def close_later(self, seconds):
        asyncio.get_running_loop().call_later(seconds, self.listener.close)

    def reset_connections(self):
        """Reset each new connection, as a process that is dying or full does."""

        def reset():
            conn, _ = self.listener.accept()
            conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            conn.close()

        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener, reset)
        self.addCleanup(loop.remove_reader, self.listener.fileno())

    async def has_exited(self, sent=0.0):
        return await self.exits.has_exited(self.instance, sent)


class TestExits(ExitCase):
    async def test_closed_listener(self):
        self.listener.close()
        self.assertTrue(await self.has_exited())

    async def test_listener_that_closes_after_the_connections(self):
        self.close_later(LATE_CLOSE_S)
        self.assertTrue(await self.has_exited())

    async def test_probe_that_is_reset(self):
        self.reset_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_CLOSE_S, loop.remove_reader, self.listener.fileno())
        self.close_later(2 * LATE_CLOSE_S)
        self.assertTrue(await self.has_exited())

    async def test_probe_of_an_earlier_end_proves_nothing(self):
        first = asyncio.create_task(self.has_exited())
        await asyncio.sleep(0.04)
        second = asyncio.create_task(self.has_exited())
        self.close_later(0.03)
        self.assertFalse(await first)
        self.assertTrue(await second)

    async def test_running_upstream(self):
        self.assertFalse(await self.has_exited())

    async def test_running_upstream_that_is_full(self):
        self.reset_connections()
        self.assertFalse(await self.has_exited())

    async def test_responses_that_end_together_share_the_probes(self):
        results = await asyncio.gather(*(self.has_exited() for _ in range(20)))
        self.assertEqual(set(results), {False})
        self.assertLess(len(self.kept), 10)

    async def test_request_that_was_sent_after_the_exit(self):
        self.listener.close()
        self.assertTrue(await self.has_exited())
        self.assertFalse(await self.has_exited(sent=time.monotonic()))


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
