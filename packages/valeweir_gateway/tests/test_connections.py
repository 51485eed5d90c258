import socket
import unittest

from valeweir_gateway.upstreams.connections import Connections


class TestKeptConnections(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.connections = Connections(lambda: self.now)
        self.far_ends = []

    def keep(self, lifetime=None):
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        self.far_ends.append(far)
        self.connections.keep("i", near, lifetime)
        return near

    def test_the_last_used_first(self):
        self.keep()
        self.now += 0.1
        newest = self.keep()
        self.assertIs(self.connections.take("i"), newest)

    def test_one_too_old_for_this_request_is_left_for_others(self):
        """A request that may run once needs a fresher one than a repeatable one."""
        kept = self.keep()
        self.now += 2.0
        self.assertIsNone(self.connections.take("i", 1.0))
        self.assertIs(self.connections.take("i", 4.0), kept)

    def test_one_that_the_upstream_has_closed_is_passed_over(self):
        older = self.keep()
        self.keep()
        self.far_ends[1].close()
        self.assertIs(self.connections.take("i"), older)

    def test_beyond_the_time_that_the_upstream_keeps_it(self):
        self.keep(lifetime=0.5)
        self.now += 0.6
        self.assertIsNone(self.connections.take("i"))
