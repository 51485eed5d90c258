"""Tests that a gateway sends nothing based on its view from before a process pause.

Two requests reached an upstream long after its leaving was acknowledged. Requests are
buffered in the kernel while a process is paused, and read before any changes of the
view when it resumes. A gateway that takes its view from another one, paused for 3 s,
sent 11 to 13 of 24 requests to an upstream that had left 2.9 s before, with a store
that took 20 ms or more to respond.
"""

import asyncio
import socket
import unittest
from types import SimpleNamespace

from valeweir_gateway.fleet.members import MESH_LIMIT, Member, Members
from valeweir_gateway.forwarding.handler import create_handler
from valeweir_gateway.transport.requests import Headers, Request
from valeweir_gateway.view.catalog import (
    Catalog,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
)
from valeweir_gateway.view.directory import Instance
from viewing import Clock, make_state

LEAVE_WITHIN_S = 3.0
ROUTE = Route(
    "r", "h", "/", RouteKind.SAFE, 3.0, 0.5, 1, (Target("api", 1.0),), 1, public=True
)
INSTANCE = Instance("x", "api", "127.0.0.1:1", "a", 8, True)
REQUEST = Request("GET", "/x", Headers([("Host", "h")]), b"", True)


class RecordingReply:
    """Records the status of a response; its client stays connected."""

    is_disconnected = False
    started = False

    def __init__(self):
        self.status = None

    def watch(self, waiter):
        """Never call ``waiter``, as the client stays connected."""

    def send(self, status, headers, body):
        self.status = status

    def send_json(self, status, value, headers=()):
        self.status = status

    def close(self):
        """Do nothing."""

    async def flush(self):
        """Do nothing."""


class TestProcessPauses(unittest.TestCase):
    def setUp(self):
        # Exchanges wait on the event loop's clock, by which they are past the deadline.
        self.clock = Clock(1.0)
        self.state = make_state(
            Member("h0", "a", "10.0.0.1:4"), self.clock, LEAVE_WITHIN_S
        )
        self.state.put_catalog(self.make_catalog(1, [ROUTE]))
        self.state.catalog_known = True
        self.state.directory.put(INSTANCE)
        self.state.sleep = self.sleep
        self.add_members(MESH_LIMIT + 1)
        self.upstream, near = socket.socketpair()
        self.addCleanup(self.upstream.close)
        self.upstream.setblocking(False)
        self.state.connections.keep(INSTANCE.id, near)
        self.state.connections._clock = lambda: 0.0
        self.pending_changes = {}
        self.mark_view_complete()
        self.state.pause_detector.tick()

    def make_catalog(self, version, routes):
        return Catalog(version, routes, [Service("api", 8, None)], [], Limits())

    def add_members(self, gateways):
        for number in range(1, gateways):
            address = f"10.0.0.{number + 1}:4"
            self.state.members.add(Member(f"h{number}", "a", address))

    def mark_view_complete(self):
        self.state.freshness.record_peer_view(self.clock.now)

    def schedule_changes(self, seconds, *changes):
        """Apply changes at a gateway some seconds after it resumes."""
        self.pending_changes[self.clock.now + seconds] = (
            *changes,
            self.mark_view_complete,
        )

    def remove_upstream(self):
        self.state.directory.remove(INSTANCE.id)

    def replace_routes(self):
        self.state.put_catalog(self.make_catalog(2, []))

    async def sleep(self, seconds):
        self.clock.now += seconds
        self.state.pause_detector.tick()
        for at in [at for at in self.pending_changes if at <= self.clock.now]:
            for change in self.pending_changes.pop(at):
                change()

    def pause_process(self, seconds):
        self.clock.now += seconds

    def run_process(self, seconds):
        """Advance the time while the process runs."""
        for _ in range(round(seconds / 0.02)):
            self.clock.now += 0.02
            self.state.pause_detector.tick()

    def handle(self):
        """Handle a request; return its status and how many seconds it waited."""
        started = self.clock.now
        reply = RecordingReply()
        asyncio.run(create_handler(self.state)(REQUEST, reply))
        return SimpleNamespace(status=reply.status, waited=self.clock.now - started)

    def is_request_sent(self):
        try:
            return self.upstream.recv(100).startswith(b"GET /x")
        except BlockingIOError:
            return False

    def test_upstream_removed_during_the_pause_gets_no_request(self):
        scenarios = {
            "changes arrive soon": lambda: self.resume_with_changes(3.2, 0.02),
            "changes arrive late": lambda: self.resume_with_changes(3.2, 0.5),
            "the view was old before the pause": self.resume_with_an_old_view,
            "the gateway reads the store": self.resume_with_unread_responses,
            "two pauses": self.resume_between_two_pauses,
        }
        for name, scenario in scenarios.items():
            with self.subTest(name):
                self.setUp()
                scenario()
                self.assertEqual(self.handle().status, 503)
                self.assertFalse(self.is_request_sent())

    def resume_with_changes(self, paused_s, delay_s):
        self.pause_process(paused_s)
        self.schedule_changes(delay_s, self.remove_upstream)

    def resume_with_an_old_view(self):
        """Only the age and the pause together exceed the allowed age of the view."""
        self.run_process(1.8)
        self.resume_with_changes(1.4, 0.1)

    def resume_with_unread_responses(self):
        """A reader of the store has the first change buffered; others come later."""
        self.state.members = Members(self.state.members.own)
        self.resume_with_changes(3.2, 0.3)

    def resume_between_two_pauses(self):
        self.pause_process(1.5)
        self.run_process(0.02)
        self.resume_with_changes(1.5, 0.1)

    def test_configuration_from_before_the_pause_is_not_used(self):
        self.pause_process(3.2)
        self.schedule_changes(0.1, self.replace_routes)
        self.assertEqual(self.handle().status, 404)
        self.assertFalse(self.is_request_sent())

    def test_wait_is_bounded(self):
        """While the store is unavailable, an old view is better than none."""
        self.pause_process(3.2)
        self.assertLessEqual(self.handle().waited, 1.05)
        self.assertTrue(self.is_request_sent())

    def test_wait_ends_with_a_new_view(self):
        self.pause_process(3.2)
        self.schedule_changes(0.1)
        self.assertLessEqual(self.handle().waited, 0.15)
        self.assertTrue(self.is_request_sent())

    def test_no_wait_without_a_relevant_pause(self):
        cases = {
            "a fresh view": lambda: self.run_process(1.0),
            "an outage of the store": lambda: self.run_process(9.0),
            "a short pause": lambda: self.pause_process(0.5),
            "a pause long ago": self.pause_before_an_outage,
            "an outage at a busy gateway": self.pause_during_an_outage,
        }
        for name, scenario in cases.items():
            with self.subTest(name):
                self.setUp()
                scenario()
                self.assertEqual(self.handle().waited, 0.0)
                self.assertTrue(self.is_request_sent())

    def pause_before_an_outage(self):
        self.pause_process(3.2)
        self.run_process(2.0)

    def pause_during_an_outage(self):
        self.run_process(5.0)
        self.pause_process(0.3)
