import asyncio
import socket
import struct
import threading
import time
import unittest
from types import SimpleNamespace

from valeweir_gateway.admission.intake import IntakeQueue
from valeweir_gateway.transport.limits import ClientLimits
from valeweir_gateway.transport.replies import ClientDisconnected, ResponseStarted
from valeweir_gateway.transport.servers import create_server, create_sync_handler


class ServerCase(unittest.TestCase):
    """Runs a server in its own thread; its handler is the method ``handle``."""

    def setUp(self):
        self.refusal_codes = []
        self.loop = asyncio.new_event_loop()
        with socket.create_server(("127.0.0.1", 0)) as sock:
            self.address = sock.getsockname()
        self.server = create_server(
            f"127.0.0.1:{self.address[1]}", self.handle, self.refusal_codes.append
        )
        thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        thread.start()
        self.run_coroutine(self.server.start())
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.addCleanup(self.run_coroutine, self.close())

    async def handle(self, request, reply):
        reply.send(200, [], request.target.encode())

    async def close(self):
        self.server.close()
        await self.server.wait_closed()

    def run_coroutine(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(5.0)

    def connect(self):
        sock = socket.create_connection(self.address, timeout=3.0)
        self.addCleanup(sock.close)
        return sock

    def wait_until(self, condition):
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline and not condition():
            time.sleep(0.01)
        return condition()


def read_until(sock, marker):
    data = b""
    while marker not in data:
        chunk = sock.recv(65536)
        if not chunk:
            break
        data += chunk
    return data


def read_all(sock):
    return read_until(sock, b"\0")


GET = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"


class TestConnections(ServerCase):
    def test_sequential_requests(self):
        sock = self.connect()
        for name in (b"a", b"b"):
            sock.sendall(GET % name)
            self.assertTrue(read_until(sock, b"/" + name).startswith(b"HTTP/1.1 200"))

    def test_pipelined_requests_are_answered_in_order(self):
        sock = self.connect()
        names = [b"n%d" % number for number in range(30)]
        sock.sendall(b"".join(GET % name for name in names))
        data = read_until(sock, b"/n29")
        positions = [data.index(b"/" + name) for name in names]
        self.assertEqual(positions, sorted(positions))

    def test_malformed_request_is_answered_after_the_previous_one(self):
        sock = self.connect()
        sock.sendall(GET % b"a" + b"no request\r\n\r\n")
        data = read_all(sock)
        self.assertLess(data.index(b"/a"), data.index(b"HTTP/1.1 400"))
        self.assertIn(b"Connection: close", data)
        self.assertEqual(self.refusal_codes, ["http-400"])

    def test_incomplete_head_times_out(self):
        self.server.get_limits = lambda: ClientLimits(header_timeout=0.1)
        sock = self.connect()
        sock.sendall(b"GET / HTTP/1.1\r\nHo")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 408"))

    def test_incomplete_body_times_out(self):
        self.server.get_limits = lambda: ClientLimits(idle_timeout=0.1)
        sock = self.connect()
        sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 408"))

    def test_idle_connection_is_closed(self):
        self.server.get_limits = lambda: ClientLimits(idle_timeout=0.1)
        sock = self.connect()
        self.assertEqual(read_all(sock), b"")

    def test_expect_100_continue(self):
        sock = self.connect()
        sock.sendall(
            b"POST /e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        )
        self.assertEqual(
            read_until(sock, b"\r\n\r\n"), b"HTTP/1.1 100 Continue\r\n\r\n"
        )
        sock.sendall(b"x")
        self.assertIn(b"/e", read_until(sock, b"/e"))

    def test_more_connections_than_accepted_per_loop_iteration(self):
        socks = [self.connect() for _ in range(60)]
        for sock in socks:
            sock.sendall(GET % b"a")
        for sock in socks:
            self.assertIn(b"/a", read_until(sock, b"/a"))


class TestConnectionLimits(ServerCase):
    def test_connections_close_after_the_response_near_the_limit(self):
        self.server.max_connections = 10
        socks = [self.connect() for _ in range(7)]
        self.assertTrue(self.wait_until(lambda: self.server.closes_after_response))
        socks[0].sendall(GET % b"a")
        self.assertIn(b"Connection: close", read_all(socks[0]))

    def test_longest_idle_connections_are_closed_first(self):
        self.server.max_connections = 10
        socks = []
        for _ in range(10):
            socks.append(self.connect())
            time.sleep(0.01)
        self.assertEqual(read_all(socks[0]), b"")
        self.assertEqual(read_all(socks[1]), b"")
        socks[-1].sendall(GET % b"a")
        self.assertIn(b"/a", read_until(socks[-1], b"/a"))

    def test_connections_above_the_limit_are_served_later(self):
        self.server.max_connections = 5
        connection_counts = []
        socks = [self.connect() for _ in range(8)]
        for sock in socks:
            sock.sendall(GET % b"a")
        for sock in socks:
            connection_counts.append(len(self.server._connections))
            self.assertIn(b"/a", read_until(sock, b"/a"))
            sock.close()
        self.assertLessEqual(max(connection_counts), 5)

    def test_server_at_its_limit_does_not_busy_loop(self):
        self.server.max_connections = 1
        first_sock = self.connect()
        self.assertTrue(self.wait_until(lambda: len(self.server) == 1))
        calls = []
        accept_connections = self.server._accept_connections
        self.server._accept_connections = lambda: (
            calls.append(1),
            accept_connections(),
        )
        self.server.loop.call_soon_threadsafe(
            self.server.loop.add_reader,
            self.server._sock,
            self.server._accept_connections,
        )
        second_sock = self.connect()
        time.sleep(0.3)
        self.assertLess(len(calls), 60)
        first_sock.close()
        second_sock.sendall(GET % b"a")
        self.assertIn(b"/a", read_until(second_sock, b"/a"))

    def test_close_while_accepting_is_paused(self):
        """The timer that resumes accepting must not register a closed socket."""
        errors = []
        self.loop.set_exception_handler(lambda loop, context: errors.append(context))
        self.server.max_connections = 1
        closed = threading.Event()
        pause_accepting = self.server._pause_accepting

        def pause_accepting_and_close(seconds):
            pause_accepting(seconds)
            self.server.close()
            closed.set()

        self.server._pause_accepting = pause_accepting_and_close
        self.connect()
        self.assertTrue(closed.wait(3.0))
        time.sleep(0.1)
        self.assertEqual(errors, [])


class TestBodyBeyondTheLimit(ServerCase):
    """Guards against memory that is reserved for a body which has been refused."""

    def test_stated_size(self):
        sock = self.connect()
        sock.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nx")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 413 "))
        self.assertEqual(self.server.request_memory.total, 0)

    def test_rejected_request_is_not_idle(self):
        """Closing it at once would reset the connection and lose the response."""
        sock = self.connect()
        sock.sendall(b"POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nx")
        self.assertTrue(self.wait_until(lambda: self.refusal_codes))
        self.loop.call_soon_threadsafe(self.server.close_idle)
        time.sleep(0.1)
        for _ in range(3):
            sock.sendall(b"x" * 10_000)
            time.sleep(0.02)
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 413 "))


class TestStreams(ServerCase):
    async def handle(self, request, reply):
        self.reply = reply
        reply.start_stream(200, [("X-Own", "1"), ("Content-Length", "7")])
        await reply.write(b"one")
        if request.target == "/cut":
            reply.cut()
            return
        if request.target == "/second":
            reply.send(500, [], b"failed")
        await reply.write(b"two")
        reply.end()

    def test_stream_is_chunked_and_keeps_the_connection(self):
        sock = self.connect()
        for _ in range(2):
            sock.sendall(GET % b"whole")
            data = read_until(sock, b"0\r\n\r\n")
            self.assertIn(b"Transfer-Encoding: chunked\r\n", data)
            self.assertNotIn(b"Content-Length", data)
            self.assertTrue(data.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"))

    def test_aborted_stream_has_no_last_chunk(self):
        sock = self.connect()
        sock.sendall(GET % b"cut")
        data = read_all(sock)
        self.assertTrue(data.endswith(b"3\r\none\r\n"))

    def test_stream_holds_no_second_response(self):
        self.server.handle = self.handle_with_cut
        sock = self.connect()
        sock.sendall(GET % b"second")
        self.assertTrue(read_all(sock).endswith(b"3\r\none\r\n"))

    async def handle_with_cut(self, request, reply):
        with self.assertRaises(ResponseStarted):
            await self.handle(request, reply)
        reply.cut()


class TestClientDisconnects(ServerCase):
    def setUp(self):
        self.calls_seen = []
        self.disconnected = threading.Event()
        super().setUp()

    async def handle(self, request, reply):
        fut = self.loop.create_future()
        reply.watch(lambda: fut.done() or fut.set_result(None))
        self.calls_seen.append(request.target)
        await fut
        self.disconnected.set()
        try:
            await reply.write(b"late")
        except ClientDisconnected:
            self.calls_seen.append("disconnected")
            raise

    def test_handler_is_notified_of_a_disconnect(self):
        sock = self.connect()
        sock.sendall(GET % b"a")
        self.assertTrue(self.wait_until(lambda: self.calls_seen))
        sock.close()
        self.assertTrue(self.disconnected.wait(0.5))
        self.assertTrue(
            self.wait_until(lambda: self.calls_seen == ["/a", "disconnected"])
        )

    def test_pipelined_request_is_not_a_disconnect(self):
        sock = self.connect()
        sock.sendall(GET % b"a" + GET % b"b")
        self.assertTrue(self.wait_until(lambda: self.calls_seen))
        self.assertFalse(self.disconnected.wait(0.2))


class TestHandlerErrors(ServerCase):
    def setUp(self):
        self.events = []
        log = SimpleNamespace(note=lambda event, **fields: self.events.append(event))
        self.handle = create_sync_handler(self.raise_error, log)
        super().setUp()

    def raise_error(self, request, reply):
        raise ValueError("odd")

    def test_handler_error_is_logged_and_answered_with_500(self):
        sock = self.connect()
        sock.sendall(GET % b"a")
        self.assertTrue(read_all(sock).startswith(b"HTTP/1.1 500 "))
        self.assertEqual(self.events, ["side request failed"])


class TestSlowClients(ServerCase):
    async def handle(self, request, reply):
        self.written = 0
        reply.start_stream(200, [])
        for _ in range(400):
            await reply.write(b"x" * 65_536)
            self.written += 65_536
        reply.end()

    def test_write_waits_for_the_client_and_loses_no_data(self):
        sock = self.connect()
        sock.sendall(GET % b"a")
        self.assertTrue(self.wait_until(lambda: getattr(self, "written", 0) > 0))
        time.sleep(0.2)
        self.assertLess(self.written, 400 * 65_536)
        size = 0
        while True:
            chunk = sock.recv(1 << 20)
            size += len(chunk)
            if chunk.endswith(b"0\r\n\r\n"):
                break
        self.assertGreater(size, 400 * 65_536)


class TestWritesAfterADisconnect(ServerCase):
    """Guards against a warning for each part of a response that nobody receives."""

    async def handle(self, request, reply):
        reply.start_body(200, [], 1_000)
        self.is_busy.set()
        # The event loop does not learn of the reset meanwhile.
        time.sleep(0.2)
        for _ in range(1_000):
            await reply.write(b"x")

    def test_parts_are_dropped(self):
        self.is_busy = threading.Event()
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        with self.assertNoLogs("asyncio"):
            sock.sendall(GET % b"a")
            self.assertTrue(self.is_busy.wait(3.0))
            sock.close()
            self.assertTrue(self.wait_until(lambda: len(self.server) == 0))


class TestClose(ServerCase):
    async def handle(self, request, reply):
        await asyncio.sleep(30.0)

    def test_tasks_of_served_requests_end(self):
        """A stopped event loop would drop the tasks that were still waiting."""
        for name in (b"a", b"b"):
            self.connect().sendall(GET % name)
        self.connect()
        self.assertTrue(self.wait_until(lambda: len(self.server) == 3))
        self.run_coroutine(self.close())
        self.assertEqual(asyncio.all_tasks(self.loop), set())


class TestIntake(unittest.TestCase):
    def test_requests_enter_in_order_and_few_per_iteration(self):
        entered = []
        entered_per_iteration = []

        async def enter(intake, number):
            await intake.enter()
            entered.append(number)

        async def run():
            intake = IntakeQueue()
            tasks = [asyncio.ensure_future(enter(intake, n)) for n in range(50)]
            while len(entered) < 50:
                entered_before = len(entered)
                await asyncio.sleep(0)
                entered_per_iteration.append(len(entered) - entered_before)
            await asyncio.gather(*tasks)

        asyncio.run(run())
        self.assertEqual(entered, list(range(50)))
        self.assertLessEqual(max(entered_per_iteration), 12)

    def test_wait_is_estimated_from_the_time_of_earlier_requests(self):
        clock = SimpleNamespace(now=5.0)

        async def run():
            intake = IntakeQueue(lambda: clock.now)
            tasks = [asyncio.ensure_future(intake.enter()) for _ in range(300)]
            self.assertEqual(intake.estimate_wait(), 0.0)
            for _ in range(20):
                await asyncio.sleep(0)
                clock.now += 0.03
            wait, waiting_count = intake.estimate_wait(), len(intake)
            await asyncio.gather(*tasks)
            return wait / waiting_count

        # Six requests enter in each iteration of 30 ms.
        self.assertAlmostEqual(asyncio.run(run()), 0.005, delta=0.001)

    def test_cancelled_request_does_not_block_others(self):
        async def run():
            intake = IntakeQueue()
            tasks = [asyncio.ensure_future(intake.enter()) for _ in range(30)]
            await asyncio.sleep(0)
            tasks[-2].cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return [task.cancelled() for task in tasks]

        cancelled = asyncio.run(run())
        self.assertEqual(cancelled.count(True), 1)


if __name__ == "__main__":
    unittest.main()
