import socket
import unittest

from valeweir.servers import create_server


class TestAccepting(unittest.TestCase):
    def setUp(self):
        self.server = create_server("127.0.0.1:0", lambda request, reply: None)
        self.server.prepare()
        self.addCleanup(self.server.stop)
        self.processed = []
        self.server.process_conn = self.processed.append

    def connect(self, count):
        for _ in range(count):
            sock = socket.create_connection(self.server.bind_addr[:2])
            self.addCleanup(sock.close)

    def accept(self):
        """Do what one turn of the server's loop does."""
        manager = self.server._connections
        conn = manager._from_server_socket(self.server.socket)
        if conn is not None:
            self.server.process_conn(conn)

    def test_one_turn_takes_all_that_wait(self):
        self.connect(40)
        self.accept()
        self.assertEqual(len(self.processed), 40)

    def test_a_turn_is_bounded(self):
        self.connect(90)
        self.accept()
        self.assertEqual(len(self.processed), 65)
        self.accept()
        self.assertEqual(len(self.processed), 90)
