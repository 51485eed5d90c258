"""A gateway that stood still sends nothing on the view from before.

Two requests reached an upstream at one moment, long after its leaving had been
acknowledged. Requests wait in a kernel while a process is paused or gets no processor,
and are read at once when it goes on, before anything that changed meanwhile: a gateway
that takes its view from another, paused for 3 s, sent 11 to 13 of 24 such requests to
an upstream that had left 2.9 s before, where the store took 20 ms and more to answer.
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

LEAVE_WITHIN = 3.0
ROUTE = Route(
    "r", "h", "/", RouteKind.SAFE, 3.0, 0.5, 1, (Target("api", 1.0),), 1, public=True
)
INSTANCE = Instance("x", "api", "127.0.0.1:1", "a", 8, True)
REQUEST = Request("GET", "/x", Headers([("Host", "h")]), b"", True)


class RecordingReply:
    """Takes the answer to a request; its client stays."""

    is_gone = False
    started = False

    def __init__(self):
        self.status = None

    def watch(self, waiter):
        """Never call the waiter."""

    def send(self, status, headers, body):
        self.status = status

    def send_json(self, status, value, headers=()):
        self.status = status

    def close(self):
        """Stay open."""

    async def flush(self):
        """Have nothing to wait for."""


class TestStandstill(unittest.TestCase):
    def setUp(self):
        # An exchange waits on the loop's own clock, and there its time is long up.
        self.clock = Clock(1.0)
        self.state = make_state(
            Member("h0", "a", "10.0.0.1:4"), self.clock, LEAVE_WITHIN
        )
        self.state.put_catalog(self.make_catalog(1, [ROUTE]))
        self.state.catalog_known = True
        self.state.directory.put(INSTANCE)
        self.state.pause = self.pause
        self.join(MESH_LIMIT + 1)
        self.upstream, near = socket.socketpair()
        self.addCleanup(self.upstream.close)
        self.upstream.setblocking(False)
        self.state.connections.keep(INSTANCE.id, near)
        self.state.connections._clock = lambda: 0.0
        self.news = {}
        self.note_whole()
        self.state.stalls.tick()

    def make_catalog(self, version, routes):
        return Catalog(version, routes, [Service("api", 8, None)], [], Limits())

    def join(self, gateways):
        for number in range(1, gateways):
            address = f"10.0.0.{number + 1}:4"
            self.state.members.add(Member(f"h{number}", "a", address))

    def note_whole(self):
        self.state.freshness.note_peer(self.clock.now)

    def tell_in(self, seconds, *changes):
        """Let the gateway hear of changes some seconds after it goes on."""
        self.news[self.clock.now + seconds] = (*changes, self.note_whole)

    def leave(self):
        self.state.directory.remove(INSTANCE.id)

    def replace_routes(self):
        self.state.put_catalog(self.make_catalog(2, []))

    async def pause(self, seconds):
        self.clock.now += seconds
        self.state.stalls.tick()
        for at in [at for at in self.news if at <= self.clock.now]:
            for change in self.news.pop(at):
                change()

    def stand_still(self, seconds):
        self.clock.now += seconds

    def run_on(self, seconds):
        """Let time pass in which the process runs."""
        for _ in range(round(seconds / 0.02)):
            self.clock.now += 0.02
            self.state.stalls.tick()

    def handle(self):
        """Handle a request; return its status and the seconds that it was held."""
        started = self.clock.now
        reply = RecordingReply()
        asyncio.run(create_handler(self.state)(REQUEST, reply))
        return SimpleNamespace(status=reply.status, held=self.clock.now - started)

    def is_sent(self):
        try:
            return self.upstream.recv(100).startswith(b"GET /x")
        except BlockingIOError:
            return False

    def test_an_upstream_that_left_meanwhile_gets_nothing(self):
        plays = {
            "told soon": lambda: self.wake_and_be_told(3.2, 0.02),
            "told late": lambda: self.wake_and_be_told(3.2, 0.5),
            "a view that was old before": self.wake_with_an_old_view,
            "reads the store for itself": self.wake_with_answers_unread,
            "stood still twice": self.wake_for_a_moment,
        }
        for name, play in plays.items():
            with self.subTest(name):
                self.setUp()
                play()
                self.assertEqual(self.handle().status, 503)
                self.assertFalse(self.is_sent())

    def wake_and_be_told(self, stalled, told_in):
        self.stand_still(stalled)
        self.tell_in(told_in, self.leave)

    def wake_with_an_old_view(self):
        """Only both together are longer than a leaving may take to be known."""
        self.run_on(1.8)
        self.wake_and_be_told(1.4, 0.1)

    def wake_with_answers_unread(self):
        """One that reads the store: the first change lies there, others come later."""
        self.state.members = Members(self.state.members.own)
        self.wake_and_be_told(3.2, 0.3)

    def wake_for_a_moment(self):
        self.stand_still(1.5)
        self.run_on(0.02)
        self.wake_and_be_told(1.5, 0.1)

    def test_a_configuration_from_before_decides_nothing(self):
        self.stand_still(3.2)
        self.tell_in(0.1, self.replace_routes)
        self.assertEqual(self.handle().status, 404)
        self.assertFalse(self.is_sent())

    def test_nobody_is_held_for_long(self):
        """Where the store is away, an old view is better than none."""
        self.stand_still(3.2)
        self.assertLessEqual(self.handle().held, 1.05)
        self.assertTrue(self.is_sent())

    def test_it_goes_on_once_the_view_is_new(self):
        self.stand_still(3.2)
        self.tell_in(0.1)
        self.assertLessEqual(self.handle().held, 0.15)
        self.assertTrue(self.is_sent())

    def test_nothing_is_held_otherwise(self):
        cases = {
            "a view that is new": lambda: self.run_on(1.0),
            "an outage of the store": lambda: self.run_on(9.0),
            "a short standstill": lambda: self.stand_still(0.5),
            "a standstill that is long over": self.stand_still_before_an_outage,
            "an outage at a crowded gateway": self.stand_still_in_an_outage,
        }
        for name, play in cases.items():
            with self.subTest(name):
                self.setUp()
                play()
                self.assertEqual(self.handle().held, 0.0)
                self.assertTrue(self.is_sent())

    def stand_still_before_an_outage(self):
        self.stand_still(3.2)
        self.run_on(2.0)

    def stand_still_in_an_outage(self):
        self.run_on(5.0)
        self.stand_still(0.3)
