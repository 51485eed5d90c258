import fcntl
import resource
import socket
import threading
import unittest
from types import SimpleNamespace

from valeweir.servers import ResponseWriter, create_server

HIGH_DESCRIPTOR = 1_500


# Guards against a stop that never ends: a thread that was added meanwhile took the
# place of one for which the stop waited.
class TestStopping(unittest.TestCase):
    def test_no_thread_is_added_during_a_stop(self):
        server = create_server("127.0.0.1:0", lambda request, response: None)
        server.start_threads()
        grown = threading.Event()
        server.requests.grow = lambda amount: grown.set()
        stop_threads = server.requests.stop

        def stop(timeout):
            server._threads_needed.set()
            grown.wait(1.0)
            stop_threads(timeout)

        server.requests.stop = stop
        server.stop()
        self.assertFalse(grown.is_set())


class TestAccepting(unittest.TestCase):
    def setUp(self):
        self.server = create_server("127.0.0.1:0", lambda request, response: None)
        self.server.prepare()
        self.addCleanup(self.server.stop)
        self.processed = []
        self.server.process_conn = self.processed.append

    def connect(self, count):
        for _ in range(count):
            sock = socket.create_connection(self.server.bind_addr[:2])
            self.addCleanup(sock.close)

    def run_accept_turn(self):
        """Accept and process connections like one turn of the server loop."""
        manager = self.server._connections
        conn = manager._from_server_socket(self.server.socket)
        if conn is not None:
            self.server.process_conn(conn)

    def test_one_turn_accepts_all_pending_connections(self):
        self.connect(40)
        self.run_accept_turn()
        self.assertEqual(len(self.processed), 40)

    def test_connections_accepted_in_one_turn_are_bounded(self):
        self.connect(90)
        self.run_accept_turn()
        self.assertEqual(len(self.processed), 65)
        self.run_accept_turn()
        self.assertEqual(len(self.processed), 90)


class TestIsDisconnected(unittest.TestCase):
    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft <= HIGH_DESCRIPTOR:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        low, self.client = socket.socketpair()
        high = fcntl.fcntl(low.fileno(), fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        self.pairs = {"low": low, "high": socket.socket(fileno=high)}
        for sock in (self.client, *self.pairs.values()):
            self.addCleanup(sock.close)

    def check(self, expected):
        for name, sock in self.pairs.items():
            with self.subTest(name, descriptor=sock.fileno()):
                conn = SimpleNamespace(socket=sock)
                response = ResponseWriter(SimpleNamespace(conn=conn))
                self.assertIs(response.is_disconnected(), expected)

    def test_idle_client_is_connected(self):
        self.check(False)

    def test_client_that_sent_more_data_is_connected(self):
        self.client.sendall(b"x")
        self.check(False)

    def test_client_that_closed_is_disconnected(self):
        self.client.close()
        self.check(True)


class TestThreadPoolGrowth(unittest.TestCase):
    def test_thread_start_failure_is_retried(self):
        server = create_server("127.0.0.1:0", lambda request, response: None)
        self.addCleanup(server.stop)
        retried = threading.Event()
        calls = []

        def grow(amount):
            calls.append(amount)
            if len(calls) == 1:
                server._threads_needed.set()
                raise RuntimeError("can't start new thread")
            retried.set()

        server.requests.grow = grow
        server.ready = True
        thread = threading.Thread(target=server._grow_pool, daemon=True)
        server._threads_needed.set()
        thread.start()
        self.assertTrue(retried.wait(3.0))
        server.ready = False
        thread.join(3.0)
        self.assertEqual(len(calls), 2)
