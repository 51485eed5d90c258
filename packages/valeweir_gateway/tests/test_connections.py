import socket
import unittest

from valeweir_gateway.upstreams.connections import Connections


class TestConnections(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.connections = Connections(lambda: self.now)
        self.peer_sockets = []

    def keep(self, lifetime=None):
        sock, peer = socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(peer.close)
        self.peer_sockets.append(peer)
        self.connections.keep("i", sock, lifetime)
        return sock

    def test_last_used_is_taken_first(self):
        self.keep()
        self.now += 0.1
        newest = self.keep()
        self.assertIs(self.connections.take("i"), newest)

    def test_too_old_connection_is_left_for_other_requests(self):
        """A non-repeatable request needs a fresher connection than a repeatable one."""
        kept = self.keep()
        self.now += 2.0
        self.assertIsNone(self.connections.take("i", 1.0))
        self.assertIs(self.connections.take("i", 4.0), kept)

    def test_connection_closed_by_upstream_is_skipped(self):
        older = self.keep()
        self.keep()
        self.peer_sockets[1].close()
        self.assertIs(self.connections.take("i"), older)

    def test_connection_past_upstream_timeout_is_not_taken(self):
        self.keep(lifetime=0.5)
        self.now += 0.6
        self.assertIsNone(self.connections.take("i"))
