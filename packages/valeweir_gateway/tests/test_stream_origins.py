"""Tests of what gateways know of the service and version that began a stream."""

import asyncio
import unittest

from valeweir_gateway.fleet.reports import MAX_BYTES
from valeweir_gateway.upstreams.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    StreamOrigins,
    get_stream_key,
)
from valeweir_gateway.view.catalog import Account
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire

ORIGIN = StreamOrigin(1, 2)


def make_instance(name, version, service="llm"):
    return Instance(name, service, "h:1", "a", 8, True, version=version)


class TestStreamOrigins(unittest.TestCase):
    def setUp(self):
        self.origins = StreamOrigins()

    def test_two_origins_under_one_id(self):
        self.assertTrue(self.origins.add(7, ORIGIN, 0.0))
        self.assertFalse(self.origins.add(7, ORIGIN, 1.0))
        self.assertEqual(self.origins.get(7), ORIGIN)
        self.origins.add(7, StreamOrigin(1, 3), 2.0)
        self.assertIsNone(self.origins.get(7))
        self.origins.add(7, ORIGIN, 3.0)
        self.assertTrue(self.origins.is_ambiguous(7))

    def test_bounded_in_time_and_number(self):
        self.origins.add(7, ORIGIN, 0.0)
        self.origins.add(8, ORIGIN, RETENTION_S + 1.0)
        self.assertIsNone(self.origins.get(7))
        for key in range(100, 100_000):
            self.origins.add(key, ORIGIN, RETENTION_S + 2.0)
        self.assertLess(len(self.origins), 40_000)
        self.assertEqual(self.origins.get(99_999), ORIGIN)

    def test_keys_of_accounts_differ(self):
        accounts = [None, Account("a", (), None), Account("a1", (), None)]
        keys = {get_stream_key(row, name) for row in accounts for name in ("b", "1b")}
        self.assertEqual(len(keys), 6)


class TestReports(unittest.TestCase):
    """Gateways learn origins from reports, or ask for them."""

    def begin(self, domains, size, count=1, mixed=False):
        self.wire = Wire(domains, size)
        for state in self.wire.states.values():
            state.stream_origins.mixed_services = {ORIGIN.service} if mixed else ()
        self.wire.add_all_members()
        self.wire.run(6.0)
        self.hosts = list(self.wire.states)
        state = self.wire.states[self.hosts[-1]]
        for key in range(2**63, 2**63 + count):
            state.stream_origins.begin(key, ORIGIN, self.wire.now)
        self.wire.run(1.0)

    def ask(self, host, key):
        address = self.wire.states[host].members.own.address
        return asyncio.run(self.wire.fleets[address].ask_for_origin(key))

    def test_mesh_knows_at_once(self):
        self.begin(3, 9, count=100)
        for state in self.wire.states.values():
            self.assertEqual(len(state.stream_origins), 100)

    def test_larger_fleet_is_asked(self):
        self.begin(3, 60)
        known = [h for h in self.hosts if len(self.wire.states[h].stream_origins)]
        self.assertEqual(len(known), 2)
        for host in self.hosts[::7]:
            self.assertEqual(self.ask(host, 2**63), ORIGIN)
        self.assertIsNone(self.ask(self.hosts[0], 5))

    def test_lost_domain(self):
        """Guards against streams that are unknown once their domain is lost."""
        for size in (18, 60):
            with self.subTest(size=size):
                self.begin(3, size, mixed=True)
                begun_at = self.hosts[-1]
                own = self.wire.states[begun_at].members.own
                for state in self.wire.states.values():
                    if state.members.own.domain == own.domain:
                        self.wire.down.add(state.members.own.address)
                self.wire.run(3.0)
                rest = [
                    host
                    for host, state in self.wire.states.items()
                    if state.members.own.address not in self.wire.down
                ]
                for host in rest[::5]:
                    self.assertEqual(self.ask(host, 2**63), ORIGIN)

    def test_origins_fit_into_a_datagram(self):
        self.begin(1, 2)
        fleet = next(iter(self.wire.fleets.values()))
        streams = [
            (2**64 - 1 - n, StreamOrigin(2**32 - 1, 2**32 - 1)) for n in range(24)
        ]
        sent = []
        fleet._sock.sendto = lambda data, to: sent.append(data)
        fleet._send_to("10.0.0.9:1", fleet._reporter.make_reply(streams))
        self.assertEqual(len(sent), 1)
        self.assertLessEqual(len(sent[0]), MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
