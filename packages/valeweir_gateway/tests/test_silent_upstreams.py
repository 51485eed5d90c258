"""Tests that one request suffices to detect silent idle connections to an upstream.

Sends timed out without a byte of a response, several at one upstream that served other
requests. If idle connections go silent while new ones work, every request that reuses
one waits until its own deadline. The recorded incident does not show whether its sends
failed in this way.
"""

import socket
import threading
import unittest

from test_standstill import INSTANCE, REQUEST, ROUTE, RecordingReply
from valeweir.timers import get_lease_time
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.forwarding.handler import create_handler
from valeweir_gateway.loops import create_loop
from valeweir_gateway.view.catalog import Catalog, Limits, Service
from viewing import make_state

SHORT_ROUTE = ROUTE._replace(timeout=0.3)


class TestIdleConnections(unittest.TestCase):
    def setUp(self):
        self.state = make_state(Member("h0", "a", "10.0.0.1:4"), get_lease_time)
        services = [Service("api", 8, None)]
        self.state.put_catalog(Catalog(1, [SHORT_ROUTE], services, [], Limits()))
        self.state.catalog_known = True
        self.state.directory.put(INSTANCE)
        self.upstreams = [self.keep_connection() for _ in range(3)]

    def keep_connection(self):
        upstream, near = socket.socketpair()
        self.addCleanup(upstream.close)
        self.state.connections.keep(INSTANCE.id, near)
        return upstream

    def handle(self):
        reply = RecordingReply()
        loop = create_loop(get_lease_time)
        loop.run_until_complete(create_handler(self.state)(REQUEST, reply))
        loop.close()
        return reply.status

    def test_silent_connection_drops_all_idle_ones(self):
        self.assertEqual(self.handle(), 504)
        self.assertIsNone(self.state.connections.take(INSTANCE.id))

    def test_partial_response_keeps_idle_connections(self):
        newest = self.upstreams[-1]

        def send_partial_response():
            newest.recv(100)
            newest.sendall(b"HTTP/1.1 200 OK\r\n")

        threading.Thread(target=send_partial_response).start()
        self.assertEqual(self.handle(), 504)
        self.assertIsNotNone(self.state.connections.take(INSTANCE.id))
