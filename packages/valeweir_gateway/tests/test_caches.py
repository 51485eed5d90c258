"""Who asks engines what they hold, in fleets where every gateway starts anew."""

import unittest
from types import SimpleNamespace

import msgspec
from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.digests import get_digest
from valeweir_gateway.placement.caches import (
    CACHES_PATH,
    CacheScout,
    choose_peer,
    create_caches_handler,
)
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire

ENGINES = 20
PARTS = ["aa", "bb"]


def get_caches(state):
    """Return the body that a gateway answers a peer with."""
    replies = []
    reply = SimpleNamespace(send=lambda *row: replies.append(row))
    request = SimpleNamespace(method="GET", path=CACHES_PATH)
    create_caches_handler(state)(request, reply)
    return replies[0][2]


class Fleet:
    """Gateways of which each has just started, before the same engines."""

    def __init__(self, domains, size):
        self.wire = Wire(domains, size)
        self.wire.introduce()
        self.wire.run(2.0)
        self.lists = []
        self.asked_peers = []
        self.scouts = {}
        self.engines = [
            Instance(f"e{n}", "llm", f"10.9.9.{n}:1", "d0", 64, True)
            for n in range(ENGINES)
        ]
        self.answers = True
        for host, state in self.wire.states.items():
            self.scouts[host] = CacheScout(state, self.list_parts, self.fetch)

    def list_parts(self, address):
        self.lists.append(address)
        if not self.answers:
            raise PlatformUnavailable("down")
        return PARTS

    def fetch(self, ip):
        """Answer as the gateway on this IP does."""
        self.asked_peers.append(ip)
        for state in self.wire.states.values():
            address = state.members.own.address
            if address.rpartition(":")[0] == ip and address not in self.wire.down:
                return get_caches(state)
        return None

    def learn(self, host, waits=lambda seconds: False):
        self.scouts[host].learn_all(list(self.engines), waits)

    def knows(self, host):
        loads = self.wire.states[host].loads
        return all(
            loads.is_listed(row.id) and loads.is_cached("aa", row.id, self.wire.now)
            for row in self.engines
        )

    def get_first(self, domain):
        return self.wire.states["h0"].members.get_ranked(domain)[0].host


class TestBehindRelays(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(3, 60)

    def test_a_restart_of_all_costs_a_list_for_each_domain(self):
        """As when all lose power; 60 gateways and 20 engines were 1,200 lists."""
        for domain in ("d0", "d1", "d2"):
            self.fleet.learn(self.fleet.get_first(domain))
        for host in self.fleet.wire.states:
            self.fleet.learn(host)
            self.assertTrue(self.fleet.knows(host), host)
        firsts_again = 3 * ENGINES
        self.assertEqual(len(self.fleet.lists), 3 * ENGINES + firsts_again)

    def test_the_first_of_a_domain_may_still_be_asking(self):
        first = self.fleet.get_first("d0")
        host = next(h for h in self.fleet.wire.states if self.is_behind(h, first))

        def wait(seconds):
            if len(self.fleet.asked_peers) == 2:
                self.fleet.learn(first)
            return False

        self.fleet.learn(host, wait)
        self.assertTrue(self.fleet.knows(host))
        self.assertEqual(len(self.fleet.asked_peers), 3)
        self.assertEqual(len(self.fleet.lists), ENGINES)

    def is_behind(self, host, first):
        state = self.fleet.wire.states[host]
        return state.cfg.domain == "d0" and host != first

    def test_a_peer_that_never_knows_is_not_waited_for_for_ever(self):
        first = self.fleet.get_first("d0")
        host = next(h for h in self.fleet.wire.states if self.is_behind(h, first))
        waited = []
        self.fleet.learn(host, lambda seconds: waited.append(seconds))
        self.assertTrue(self.fleet.knows(host))
        self.assertLess(sum(waited), 5.0)

    def test_who_does_not_answer_is_passed_over(self):
        first = self.fleet.get_first("d0")
        host = next(h for h in self.fleet.wire.states if self.is_behind(h, first))
        members = self.fleet.wire.states[host].members
        self.assertEqual(choose_peer(members, self.fleet.wire.now).host, first)
        members.note_tried(first, self.fleet.wire.now - 99.0)
        members._tried[first] = self.fleet.wire.now - 2.0
        self.assertNotEqual(choose_peer(members, self.fleet.wire.now).host, first)

    def test_bytes_that_no_gateway_sends(self):
        for data in (b"", b"\xff", msgspec.msgpack.encode({"a": 1}), None):
            with self.subTest(data=data):
                self.fleet.fetch = lambda ip, data=data: data
                scout = CacheScout(
                    self.fleet.wire.states["h9"],
                    self.fleet.list_parts,
                    self.fleet.fetch,
                )
                peer = self.fleet.wire.states["h0"].members.own
                unknown = scout.ask_peer(peer, self.fleet.engines)
                self.assertEqual(unknown, self.fleet.engines)


class TestMesh(unittest.TestCase):
    def test_everybody_asks_engines(self):
        fleet = Fleet(3, 6)
        fleet.learn("h5")
        self.assertEqual((len(fleet.lists), fleet.asked_peers), (ENGINES, []))
        self.assertTrue(fleet.knows("h5"))


class TestTable(unittest.TestCase):
    def test_only_what_is_listed_and_held_lately(self):
        loads = Fleet(1, 1).wire.states["h0"].loads
        loads.note_listed("e0", [1, 2], 0.0)
        loads.note_listed("e1", [], 0.0)
        loads.note_digest(3, "e0", 50.0)
        loads.note_digest(4, "e2", 50.0)
        wanted = {get_digest("e0"): [3], get_digest("e1"): []}
        self.assertEqual(loads.get_listed(80.0), wanted)
