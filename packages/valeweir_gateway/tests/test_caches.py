"""Discovery of engine caches in fleets in which all gateways have just started.

Guards against every gateway listing the cache of every engine after a power failure.
"""

import unittest
from types import SimpleNamespace

import msgspec
from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.digests import get_digest
from valeweir_gateway.placement.caches import (
    CACHES_PATH,
    CacheDiscovery,
    choose_peer,
    create_caches_handler,
)
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire

ENGINE_COUNT = 20
PARTS = ["aa", "bb"]


def get_caches_body(state):
    """Return the body of a gateway's response to a peer."""
    replies = []
    reply = SimpleNamespace(send=lambda *args: replies.append(args))
    request = SimpleNamespace(method="GET", path=CACHES_PATH)
    create_caches_handler(state)(request, reply)
    return replies[0][2]


class Fleet:
    """Gateways that have all just started and use the same engines."""

    def __init__(self, domains, size):
        self.wire = Wire(domains, size)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.listed_addresses = []
        self.fetched_ips = []
        self.discoveries = {}
        self.engines = [
            Instance(f"e{n}", "llm", f"10.9.9.{n}:1", "d0", 64, True)
            for n in range(ENGINE_COUNT)
        ]
        self.engines_respond = True
        for host, state in self.wire.states.items():
            self.discoveries[host] = CacheDiscovery(state, self.list_parts, self.fetch)

    def list_parts(self, address):
        self.listed_addresses.append(address)
        if not self.engines_respond:
            raise PlatformUnavailable("down")
        return PARTS

    def fetch(self, ip):
        """Return the response of the gateway at this IP address."""
        self.fetched_ips.append(ip)
        for state in self.wire.states.values():
            address = state.members.own.address
            if address.rpartition(":")[0] == ip and address not in self.wire.down:
                return get_caches_body(state)
        return None

    def discover(self, host, wait=lambda seconds: False):
        self.discoveries[host].discover_all(list(self.engines), wait)

    def has_listed_all(self, host):
        loads = self.wire.states[host].loads
        return all(
            loads.is_listed(engine.id)
            and loads.is_cached("aa", engine.id, self.wire.now)
            for engine in self.engines
        )

    def get_first_member(self, domain):
        return self.wire.states["h0"].members.get_ranked(domain)[0].host


class TestRelays(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(3, 60)

    def test_fleet_restart_lists_engines_once_per_domain(self):
        """All gateways lose power; 60 gateways and 20 engines would need 1,200 lists.

        The loop runs discovery a second time on the first gateway of each domain.
        """
        for domain in ("d0", "d1", "d2"):
            self.fleet.discover(self.fleet.get_first_member(domain))
        for host in self.fleet.wire.states:
            self.fleet.discover(host)
            self.assertTrue(self.fleet.has_listed_all(host), host)
        first_member_lists = 3 * ENGINE_COUNT
        self.assertEqual(
            len(self.fleet.listed_addresses), 3 * ENGINE_COUNT + first_member_lists
        )

    def test_first_member_is_retried_until_it_has_listed_engines(self):
        first_member = self.fleet.get_first_member("d0")
        host = next(
            h for h in self.fleet.wire.states if self.is_other_member(h, first_member)
        )

        def wait(seconds):
            if len(self.fleet.fetched_ips) == 2:
                self.fleet.discover(first_member)
            return False

        self.fleet.discover(host, wait)
        self.assertTrue(self.fleet.has_listed_all(host))
        self.assertEqual(len(self.fleet.fetched_ips), 3)
        self.assertEqual(len(self.fleet.listed_addresses), ENGINE_COUNT)

    def is_other_member(self, host, first_member):
        state = self.fleet.wire.states[host]
        return state.cfg.domain == "d0" and host != first_member

    def test_engines_are_listed_when_peer_never_has_an_answer(self):
        first_member = self.fleet.get_first_member("d0")
        host = next(
            h for h in self.fleet.wire.states if self.is_other_member(h, first_member)
        )
        waits = []
        self.fleet.discover(host, lambda seconds: waits.append(seconds))
        self.assertTrue(self.fleet.has_listed_all(host))
        self.assertLess(sum(waits), 5.0)

    def test_unresponsive_first_member_is_skipped(self):
        first_member = self.fleet.get_first_member("d0")
        host = next(
            h for h in self.fleet.wire.states if self.is_other_member(h, first_member)
        )
        members = self.fleet.wire.states[host].members
        self.assertEqual(choose_peer(members, self.fleet.wire.now).host, first_member)
        members.expect_reply(first_member, self.fleet.wire.now - 99.0)
        members._reply_awaited_since[first_member] = self.fleet.wire.now - 2.0
        self.assertNotEqual(
            choose_peer(members, self.fleet.wire.now).host, first_member
        )

    def test_malformed_peer_response_is_ignored(self):
        for data in (b"", b"\xff", msgspec.msgpack.encode({"a": 1}), None):
            with self.subTest(data=data):
                self.fleet.fetch = lambda ip, data=data: data
                discovery = CacheDiscovery(
                    self.fleet.wire.states["h9"],
                    self.fleet.list_parts,
                    self.fleet.fetch,
                )
                peer = self.fleet.wire.states["h0"].members.own
                unknown = discovery.list_from_peer(peer, self.fleet.engines)
                self.assertEqual(unknown, self.fleet.engines)


class TestMesh(unittest.TestCase):
    def test_every_gateway_lists_engines(self):
        fleet = Fleet(3, 6)
        fleet.discover("h5")
        self.assertEqual(
            (len(fleet.listed_addresses), fleet.fetched_ips), (ENGINE_COUNT, [])
        )
        self.assertTrue(fleet.has_listed_all("h5"))


class TestListedParts(unittest.TestCase):
    def test_returns_recent_parts_of_listed_instances(self):
        loads = Fleet(1, 1).wire.states["h0"].loads
        loads.record_listed("e0", [1, 2], 0.0)
        loads.record_listed("e1", [], 0.0)
        loads.record_part_digest(3, "e0", 50.0)
        loads.record_part_digest(4, "e2", 50.0)
        expected = {get_digest("e0"): [3], get_digest("e1"): []}
        self.assertEqual(loads.get_listed(80.0), expected)
