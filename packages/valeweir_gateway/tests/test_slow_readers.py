import math
import socket
import time
import unittest

from test_servers import GET, ServerCase, read_all, read_until
from valeweir_gateway.settings import GatewaySettings, Listen, Memory, Store
from valeweir_gateway.transport.sockets import prepare_socket
from valeweir_gateway.transport.write_buffers import (
    Bound,
    BufferBounds,
    WriteBuffers,
    compute_resume_size,
    find_reached_bound,
)

PART_BYTES = 10_000
PART_COUNT = 100


def make_settings(limit_mb):
    listen = Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
    return GatewaySettings(
        "h", "a", listen, Store("127.0.0.1:9"), memory=Memory(limit_mb)
    )


class TestBounds(unittest.TestCase):
    def test_reached_bound(self):
        bounds = BufferBounds(100, 300)
        cases = (
            (0, 900, None),
            (100, 100, None),
            (101, 101, Bound.STREAM),
            (60, 240, None),
            (61, 240, Bound.PROCESS),
        )
        for size, total, expected in cases:
            with self.subTest(size=size, total=total):
                self.assertIs(find_reached_bound(size, total, bounds), expected)

    def test_first_slow_streams_leave_room_for_later_ones(self):
        """Otherwise a few clients that never read would take the whole process."""
        bounds = BufferBounds(1_000, 1_000)
        sizes = []
        for _ in range(20):
            sizes.append(1)
            while not find_reached_bound(sizes[-1], sum(sizes), bounds):
                sizes[-1] += 1
        self.assertLess(sum(sizes), 1_000 + len(sizes))
        self.assertGreater(sizes[4], 10)

    def test_stream_resumes_at_half_of_its_part(self):
        self.assertEqual(compute_resume_size(110, 110, BufferBounds(100, 300)), 50)
        self.assertEqual(compute_resume_size(80, 310, BufferBounds(100, 300)), 35)
        self.assertEqual(compute_resume_size(80, 80, BufferBounds(0, 0)), 0)

    def test_bounds_fit_in_the_memory_beside_the_requests(self):
        for limit_mb in (64, 128, 256, 1_024):
            cfg = make_settings(limit_mb)
            for inflight in (0, 100, cfg.max_inflight):
                with self.subTest(limit_mb=limit_mb, inflight=inflight):
                    bounds = cfg.compute_buffer_bounds(inflight)
                    left_mb = max(0, limit_mb - 80 - 0.1 * inflight)
                    self.assertLessEqual(bounds.process_bytes, left_mb * 1e6)
        self.assertEqual(
            make_settings(256).compute_buffer_bounds(0).process_bytes, 88e6
        )

    def test_buffered_bytes_count_as_requests(self):
        cfg = make_settings(128)
        self.assertEqual(cfg.max_inflight, 480)
        self.assertEqual(cfg.compute_max_inflight(20_000_000), 280)


class TestSlowReaders(ServerCase):
    """Clients that stop reading, with small socket buffers on both sides."""

    def setUp(self):
        super().setUp()
        self.seen = []
        self.written = {}
        self.max_total = 0
        self.seconds = 60.0
        self.send_buffer_bytes = 4_096
        self.part_count = PART_COUNT
        self.set_bounds(400_000, 1_600_000)

    def set_bounds(self, stream_bytes, process_bytes):
        self.server.write_buffers = self.buffers = WriteBuffers(
            lambda: BufferBounds(stream_bytes, process_bytes),
            lambda request_id, bound, size: self.seen.append((request_id, bound)),
            lambda request_id, size: self.seen.append((request_id, "aborted")),
        )
        self.server.prepare_socket = self.prepare

    def prepare(self, sock):
        prepare_socket(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes)

    async def handle(self, request, reply):
        name = request.target
        reply.start_stream(200, [], name, self.loop.time() + self.seconds)
        for number in range(self.part_count):
            await reply.write(b"%03d:" % number + b"x" * (PART_BYTES - 4))
            self.written[name] = number + 1
            self.max_total = max(self.max_total, self.buffers.total)
        reply.end()

    def start_stream(self, name, connection=b"close"):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.settimeout(5.0)
        sock.connect(self.address)
        request = GET.replace(b"Host: h", b"Host: h\r\nConnection: " + connection)
        sock.sendall(request % name)
        return sock

    def assert_complete(self, data):
        self.assertTrue(data.endswith(b"0\r\n\r\n"))
        numbers = [b"%03d:" % number in data for number in range(self.part_count)]
        self.assertTrue(all(numbers))

    def test_stream_is_buffered_up_to_its_bound_and_others_continue(self):
        slow = self.start_stream(b"slow")
        self.assertTrue(self.wait_until(lambda: self.seen))
        self.assert_complete(read_all(self.start_stream(b"fast")))
        self.assertIn(self.written["/slow"], range(40, 50))
        self.assertIn(("/slow", Bound.STREAM), self.seen)
        self.assert_complete(read_all(slow))
        self.assertEqual([name for name, _ in self.seen].count("/slow"), 1)
        self.assertTrue(self.wait_until(lambda: self.buffers.total == 0))

    def test_many_slow_readers_stay_within_the_process_bound(self):
        self.set_bounds(400_000, 600_000)
        names = [b"s%d" % number for number in range(12)]
        socks = [self.start_stream(name) for name in names]
        self.assertTrue(self.wait_until(lambda: len(self.seen) == len(names)))
        self.assertLessEqual(self.max_total, 600_000 + len(names) * 2 * PART_BYTES)
        self.assertIn(Bound.PROCESS, [bound for _, bound in self.seen])
        for sock in socks:
            self.assert_complete(read_all(sock))
        self.assertTrue(self.wait_until(lambda: self.buffers.total == 0))

    def test_unread_stream_is_aborted_at_its_deadline(self):
        """A client must not take a stream that was given up for a complete one."""
        for stream_bytes in (100_000, 2_000_000):
            with self.subTest(stream_bytes=stream_bytes):
                self.set_bounds(stream_bytes, 4_000_000)
                self.seconds = 0.5
                sock = self.start_stream(b"late")
                self.assertTrue(
                    self.wait_until(lambda: ("/late", "aborted") in self.seen)
                )
                self.seen.clear()
                try:
                    self.assertNotIn(b"0\r\n\r\n", read_all(sock)[-5:])
                except ConnectionResetError:
                    pass
                self.assertTrue(self.wait_until(lambda: self.buffers.total == 0))

    def test_pause_longer_than_the_user_timeout(self):
        """TCP ends a connection whose receive window is closed for that long."""
        sock = self.start_stream(b"paused")
        time.sleep(2.5)
        self.assert_complete(read_all(sock))

    def test_pause_after_the_whole_stream_is_in_the_kernel(self):
        """The user timeout must stay raised although the response has ended here."""
        self.send_buffer_bytes, self.part_count = 200_000, 15
        sock = self.start_stream(b"tail", b"keep-alive")
        self.assertTrue(self.wait_until(lambda: self.written.get("/tail") == 15))
        self.assertEqual(self.seen, [])
        time.sleep(2.5)
        self.assert_complete(read_until(sock, b"\r\n0\r\n\r\n"))

    def test_pause_after_the_connection_is_closed_here(self):
        """The kernel sends on, and ends the connection if its timeout is short."""
        self.send_buffer_bytes, self.part_count = 200_000, 15
        sock = self.start_stream(b"closed")
        self.assertTrue(self.wait_until(lambda: not len(self.server)))
        time.sleep(2.5)
        self.assert_complete(read_all(sock))

    def test_pause_of_a_stream_without_deadline(self):
        """An infinite deadline must not stop the checks of all connections."""
        self.seconds = math.inf
        sock = self.start_stream(b"endless")
        time.sleep(2.5)
        self.assert_complete(read_all(sock))

    def test_deadline_of_a_stream_does_not_end_the_next_response(self):
        """The stream's end may still be in the kernel when the next one starts."""
        self.send_buffer_bytes, self.part_count = 200_000, 15
        self.seconds = 0.5
        sock = self.start_stream(b"first", b"keep-alive")
        self.assertTrue(self.wait_until(lambda: self.written.get("/first") == 15))
        self.server.handle = self.send_body
        sock.sendall(GET % b"second")
        self.assertTrue(self.wait_until(lambda: "/second" in self.written))
        time.sleep(1.0)
        self.assertEqual(self.seen, [])
        self.assertTrue(read_until(sock, b"END").endswith(b"END"))

    async def send_body(self, request, reply):
        reply.send(200, [], b"x" * 1_000_000 + b"END")
        self.written[request.target] = 1
