import collections
import random
import unittest
from types import SimpleNamespace

from valeweir_gateway.fleet.members import Member, Members
from valeweir_gateway.fleet.reports import (
    MAX_BYTES,
    VERSION,
    Report,
    Role,
    decode_report,
    encode_report,
)
from valeweir_gateway.placement.domains import DomainFailures, DomainProber
from valeweir_gateway.placement.prompts import Part
from valeweir_gateway.view.directory import Directory, Instance
from valeweir_standins.wires import TICK_S, Wire


def make_report(host="b", number=1, seq=1, domain="z", role=Role.ACROSS, **fields):
    values = {
        "catalog_version": 3,
        "directory_offset": 9,
        "loads": {1: (200, 2)},
        "usage": {7: (1_000, 500)},
        **fields,
    }
    return Report(VERSION, host, domain, number, seq, role, **values)


def make_members(host="a", domain="x"):
    return Members(Member(host, domain, f"10.0.0.{ord(host)}:7400"))


class TestReports(unittest.TestCase):
    def test_round_trip(self):
        report = make_report(reads=[(1, 2)], members=[("h", "d", "10.0.0.1:7400", 2.0)])
        (data,) = encode_report(report)
        self.assertEqual(decode_report(data), report)

    def test_malformed_or_incompatible_datagrams(self):
        (other,) = encode_report(make_report())
        cases = [b"", b"\xff", b"hello", other[:-1], other.replace(b"\x02", b"\x01", 1)]
        for data in cases:
            with self.subTest(data=data):
                self.assertIsNone(decode_report(data))

    def test_large_fleet_fits_one_datagram(self):
        loads = {2**31 + n: (99_999, 60) for n in range(70)}
        usage = {2**31 + n: (9_999_999, 9_999_999) for n in range(30)}
        report = make_report(loads=loads, usage=usage)
        (data,) = encode_report(report)
        self.assertLessEqual(len(data), MAX_BYTES)
        self.assertEqual(decode_report(data), report)

    def test_reads_do_not_displace_figures(self):
        """Guards against leaving out accounts in favour of hints.

        The tokens of an account that is left out would count as not started.
        """
        loads = {2**31 + n: (99_999, 60) for n in range(70)}
        usage = {2**31 + n: (9_999_999, 9_999_999) for n in range(30)}
        reads = [(2**31 + n, 2**31 + n) for n in range(24)]
        report = make_report(loads=loads, usage=usage, reads=reads)
        datagrams = encode_report(report)
        for data in datagrams:
            self.assertLessEqual(len(data), MAX_BYTES)
        hints, figures = [decode_report(data) for data in datagrams]
        self.assertEqual(hints.reads, reads)
        self.assertTrue(hints.only_hints)
        self.assertEqual(figures, make_report(loads=loads, usage=usage))

    def test_smallest_figures_are_left_out(self):
        loads = {n: (n, 1) for n in range(7_600)}
        usage = {n: (n, n) for n in range(530)}
        (data,) = encode_report(make_report(loads=loads, usage=usage))
        self.assertLessEqual(len(data), MAX_BYTES)
        report = decode_report(data)
        self.assertIn(7_599, report.loads)
        self.assertIn(529, report.usage)

    def test_least_loaded_instances_are_left_out_before_accounts(self):
        loads = {2**31 + n: (99_999 - n, 60) for n in range(150)}
        usage = {2**31 + n: (9_999_999, 9_999_999) for n in range(50)}
        (data,) = encode_report(make_report(loads=loads, usage=usage))
        report = decode_report(data)
        self.assertEqual(report.usage, usage)
        self.assertGreater(len(report.loads), 30)

    def test_failures_are_left_out_before_accounts(self):
        """Guards against accounts that look starved while many upstreams fail."""
        loads = {2**31 + n: (99_999, 300) for n in range(40)}
        usage = {2**31 + n: (9_999_999, 9_999_999) for n in range(40)}
        failures = {2**31 + n: (300 - n, 300) for n in range(32)}
        (data,) = encode_report(
            make_report(loads=loads, usage=usage, failures=failures)
        )
        report = decode_report(data)
        self.assertEqual(report.usage, usage)
        self.assertIn(2**31, report.failures)


class TestMembers(unittest.TestCase):
    def setUp(self):
        self.members = make_members()

    def test_mesh_limit(self):
        own = Member("a", "x", "10.0.0.1:7400")
        members = Members(own, mesh_limit=2)
        for host, is_mesh in (("b", True), ("c", False)):
            members.add(own._replace(host=host))
            self.assertEqual(members.is_mesh, is_mesh)

    def test_only_newer_reports_are_stored(self):
        rows = [(1, 1, True), (1, 1, False), (1, 3, True), (1, 2, False), (2, 1, True)]
        for number, seq, is_stored in rows:
            with self.subTest(number=number, seq=seq):
                report = make_report(number=number, seq=seq)
                peer = self.members.record_report(report, "10.0.0.2:7400", 5.0)
                self.assertEqual(peer is not None, is_stored)

    def test_restart_after_clock_was_set_back(self):
        self.members.record_report(make_report(number=9), "10.0.0.2:7400", 5.0)
        restarted = make_report(number=4)
        self.assertIsNone(self.members.record_report(restarted, "10.0.0.2:7400", 5.1))
        self.assertIsNotNone(
            self.members.record_report(restarted, "10.0.0.2:7400", 9.0)
        )

    def test_own_reports_and_address_are_ignored(self):
        own = self.members.own
        self.assertIsNone(
            self.members.record_report(make_report("a"), own.address, 5.0)
        )
        self.members.add_address(own.address)
        self.assertEqual(self.members.get_unresolved_addresses(), [])
        self.assertEqual(len(self.members), 1)
        self.assertEqual(self.members.get(own.host), own)

    def test_silent_peer_is_dropped_and_suspect(self):
        self.members.record_report(make_report(), "10.0.0.2:7400", 5.0)
        self.assertTrue(self.members.is_live("b", 5.5))
        self.assertFalse(self.members.is_live("b", 9.0))
        self.assertEqual(len(self.members.drop_silent(99.0)), 1)
        self.assertEqual(self.members.get("b").address, "10.0.0.2:7400")
        self.assertTrue(self.members.is_suspect("b", 99.1))

    def test_member_without_reply_is_suspect_until_it_reports(self):
        self.members.add(Member("b", "z", "10.0.0.2:7400"))
        self.assertFalse(self.members.is_suspect("b", 1.0))
        self.members.expect_reply("b", 1.0)
        self.assertFalse(self.members.is_suspect("b", 1.5))
        self.assertTrue(self.members.is_suspect("b", 2.5))
        self.members.record_report(make_report(), "10.0.0.2:7400", 2.6)
        self.assertFalse(self.members.is_suspect("b", 2.7))

    def test_own_report_overrides_third_party(self):
        self.members.record_report(make_report(), "10.0.0.2:7400", 5.0)
        self.members.add(Member("b", "old", "10.0.0.9:7400"))
        self.assertEqual(self.members.get("b"), Member("b", "z", "10.0.0.2:7400"))

    def test_address_is_resolved_by_report(self):
        self.members.add_address("10.0.0.2:7400")
        self.assertEqual(self.members.get_unresolved_addresses(), ["10.0.0.2:7400"])
        self.members.record_report(make_report(), "10.0.0.2:7400", 5.0)
        self.assertEqual(self.members.get_unresolved_addresses(), [])


class TestDomains(unittest.TestCase):
    def setUp(self):
        self.members = make_members()
        self.domains = DomainFailures("x")
        for host, domain in (("b", "y"), ("c", "y"), ("d", "z")):
            report = make_report(host, domain=domain)
            self.members.record_report(report, f"10.0.0.{ord(host)}:7400", 5.0)

    def get_unreachable(self, now):
        return self.domains.get_unreachable(self.members.get_silent_domains(now), now)

    def test_silence_and_failed_send(self):
        self.assertEqual(self.get_unreachable(9.0), frozenset())
        self.domains.record_failure("y", 9.0)
        self.assertEqual(self.get_unreachable(9.1), {"y"})

    def test_failed_send_without_silence(self):
        self.domains.record_failure("y", 5.1)
        self.assertEqual(self.get_unreachable(5.2), frozenset())

    def test_report_of_one_gateway_ends_cut(self):
        self.domains.record_failure("y", 9.0)
        again = make_report("b", seq=2, domain="y")
        self.members.record_report(again, "10.0.0.98:7400", 9.1)
        self.assertEqual(self.get_unreachable(9.2), frozenset())

    def test_success_or_timeout_ends_cut(self):
        self.domains.record_failure("y", 9.0)
        self.assertEqual(self.get_unreachable(13.0), frozenset())
        self.domains.record_failure("y", 13.0)
        self.domains.record_success("y")
        self.assertEqual(self.get_unreachable(13.1), frozenset())

    def test_own_domain_is_never_cut(self):
        self.domains.record_failure("x", 9.0)
        self.assertEqual(self.domains.get_unreachable({"x"}, 9.0), frozenset())

    def test_silent_domain_reported_by_relay(self):
        report = make_report("r", domain="x", role=Role.DOWN, silent=["w"])
        self.members.record_report(report, "10.0.0.7:7400", 5.0)
        self.assertEqual(self.members.get_silent_domains(5.1), {"w"})


class TestDomainProber(unittest.TestCase):
    def setUp(self):
        self.reachable = False
        self.probed = []
        directory = Directory()
        for name, domain in (("i1", "x"), ("i2", "y")):
            directory.put(Instance(name, "s", f"{name}:1", domain, 1, True))
        members = make_members()
        members.record_report(make_report("b", domain="y"), "10.0.0.2:7400", 5.0)
        self.state = SimpleNamespace(
            cfg=SimpleNamespace(domain="x"),
            clock=lambda: self.now,
            directory=directory,
            domains=DomainFailures("x"),
            log=SimpleNamespace(note=lambda *args, **fields: None),
            members=members,
            rng=random.Random(1),
        )
        self.prober = DomainProber(self.state, self.connect)

    def connect(self, address, timeout):
        self.probed.append(address)
        if not self.reachable:
            raise OSError
        return SimpleNamespace(close=lambda: None)

    def get_unreachable(self):
        silent = self.state.members.get_silent_domains(self.now)
        return self.state.domains.get_unreachable(silent, self.now)

    def test_reporting_domain_is_not_probed(self):
        self.now = 5.1
        self.prober.probe()
        self.assertEqual(self.probed, [])

    def test_silent_unreachable_domain_is_cut_without_requests(self):
        self.now = 8.0
        self.prober.probe()
        self.assertEqual(self.probed, ["i2:1"])
        self.assertEqual(self.get_unreachable(), {"y"})
        self.reachable = True
        self.now = 9.0
        self.prober.probe()
        self.assertEqual(self.get_unreachable(), frozenset())

    def test_long_silence_is_probed_once_a_second(self):
        for tenth in range(50):
            self.now = 8.0 + tenth / 10
            self.prober.probe()
            self.assertEqual(self.get_unreachable(), {"y"})
        self.assertEqual(self.probed, ["i2:1"] * 5)

    def test_new_silence_is_probed_immediately(self):
        self.now = 8.0
        self.prober.probe()
        self.state.members.record_report(
            make_report("b", seq=2, domain="y"), "10.0.0.2:7400", 8.1
        )
        self.now = 8.2
        self.prober.probe()
        self.now = 9.05
        self.prober.probe()
        self.assertEqual(self.probed, ["i2:1", "i2:1"])


def make_wire(domains, size):
    wire = Wire(domains, size)
    for state in wire.states.values():
        state.directory.put(Instance("engine", "llm", "10.9.9.9:1", "d0", 64, True))
    return wire


def count_datagrams(wire, seconds):
    """Run the wire for some seconds; return {address: datagrams sent}."""
    sent = collections.Counter()

    def count(sender, target):
        sent[sender] += 1
        return False

    wire.is_cut = count
    wire.run(seconds)
    return sent


class TestExchange(unittest.TestCase):
    def start(self, domains, size):
        wire = make_wire(domains, size)
        wire.add_all_members()
        for number, state in enumerate(wire.states.values()):
            state.loads.start("engine", 100 + number, 0.0)
            state.shares.count_asked_tokens("one", 10, 0.0)
        wire.run(2.0)
        return wire

    def check_totals(self, wire, hosts):
        wanted = sum(100 + int(host[1:]) for host in hosts)
        for host in hosts:
            self.assertEqual(wire.get_unread_tokens(host, "engine"), wanted, host)

    def test_totals_cover_fleet(self):
        for domains, size in ((3, 9), (1, 5), (3, 59), (4, 58), (2, 17)):
            with self.subTest(domains=domains, size=size):
                wire = self.start(domains, size)
                self.check_totals(wire, list(wire.states))
                counts = {s.retries.gateways for s in wire.states.values()}
                self.assertEqual(counts, {size})

    def test_usage_totals_cover_fleet(self):
        wire = self.start(3, 40)
        for state in wire.states.values():
            remote = state.shares._remote
            self.assertEqual(list(remote.values()), [(390, 0)])

    def test_reads_reach_all_gateways(self):
        wire = self.start(3, 40)
        wire.states["h7"].reads.add("engine", [Part("aa", 5)])
        wire.run(0.5)
        for host, state in wire.states.items():
            if host != "h7":
                self.assertTrue(state.loads.is_cached("aa", "engine", wire.now), host)

    def test_hints_do_not_replace_figures(self):
        wire = self.start(1, 3)
        wire.states["h1"].usage.add(7, 50, 50, wire.now)
        for number in range(70):
            wire.states["h1"].loads.start(f"other-{number}", 99_999, wire.now)
        for number in range(30):
            wire.states["h1"].usage.add(2**31 + number, 9_999_999, 0, wire.now)
        for number in range(24):
            wire.states["h1"].reads.add("engine", [Part(f"p{number}", 5)])
        wire.run(0.1)
        remote = wire.states["h0"].shares._remote
        self.assertEqual(len(remote), 32)
        self.assertTrue(
            wire.states["h0"].loads.is_cached("p23", "engine", wire.now),
        )

    def test_larger_hosts_are_relays(self):
        wire = make_wire(3, 40)
        large = {"h1", "h22", "h9", "h21", "h20", "h38"}
        for host in large:
            members = wire.states[host].members
            members.own = members.own._replace(capacity=2.0)
            members._known[host] = members.own
            members._ranked[members.own.domain] = [members.own]
        wire.add_all_members()
        wire.run(2.0)
        relays = {f._state.cfg.host for f in wire.fleets.values() if f.plan.is_relay}
        self.assertEqual(relays, large)

    def test_lost_relays_are_replaced(self):
        wire = self.start(3, 40)
        relays = [f for f in wire.fleets.values() if f.plan.is_relay]
        self.assertEqual(len(relays), 6)
        wire.down = {fleet.address for fleet in relays[::2]}
        wire.run(5.0)
        gone = {f._state.cfg.host for f in relays[::2]}
        self.check_totals(wire, [host for host in wire.states if host not in gone])
        wire.down = set()
        wire.run(5.0)
        self.check_totals(wire, list(wire.states))

    def test_partitioned_domain_continues_alone_and_rejoins(self):
        wire = self.start(2, 40)
        inside = {h for h, s in wire.states.items() if s.cfg.domain == "d1"}
        addresses = {wire.states[h].members.own.address for h in inside}
        wire.is_cut = lambda sender, target: (
            (sender in addresses) != (target in addresses)
        )
        wire.run(6.0)
        self.check_totals(wire, sorted(inside))
        self.check_totals(wire, sorted(wire.states.keys() - inside))
        counts = {s.retries.gateways for s in wire.states.values()}
        self.assertEqual(counts, {40}, "gateways behind the partition use their part")
        self.assertEqual(wire.states["h0"].members.get_silent_domains(wire.now), {"d1"})
        wire.is_cut = lambda sender, target: False
        wire.run(6.0)
        self.check_totals(wire, list(wire.states))

    def test_link_count_grows_less_than_fleet(self):
        max_links = {}
        for size in (60, 120):
            wire = self.start(3, size)
            max_links[size] = max(f.count_links() for f in wire.fleets.values())
            plain = [f for f in wire.fleets.values() if not f.plan.is_relay]
            self.assertEqual({fleet.count_links() for fleet in plain}, {1})
        self.assertLessEqual(max_links[120], 40)
        self.assertLess(max_links[120], 2 * max_links[60])

    def test_peer_that_replied_once_is_not_silent(self):
        """Guards against treating the seeds' domains as silent.

        Seeds reply once to each gateway that starts, then report to relays only. Every
        gateway probed their domains for half a minute, with one to two connections per
        second to healthy upstreams.
        """
        wire = make_wire(3, 60)
        for state in wire.states.values():
            for seed in ("10.0.0.1:7400", "10.0.1.1:7400", "10.0.2.1:7400"):
                state.members.add_address(seed)
        wire.run(8.0)
        for host, state in wire.states.items():
            self.assertEqual(state.members.get_silent_domains(wire.now), set(), host)

    def test_idle_fleet_sends_heartbeats_only(self):
        wire = make_wire(3, 60)
        wire.add_all_members()
        wire.run(5.0)
        sent = count_datagrams(wire, 3.0)
        links = {fleet.address: fleet.count_links() for fleet in wire.fleets.values()}
        for address, count in sent.items():
            # A heartbeat every 0.3 s to each link, and a HELLO once a second.
            self.assertLessEqual(count, links[address] * (3.0 / 0.3 + 1) + 12, address)

    def test_changed_load_is_reported_at_next_tick(self):
        wire = self.start(1, 2)
        wire.run(1.03)
        wire.states["h0"].loads.start("engine", 5_000, wire.now)
        wire.run(2 * TICK_S)
        self.assertEqual(wire.get_unread_tokens("h1", "engine"), 100 + 101 + 5_000)

    def test_partitioned_domain_is_reported_to_all_gateways(self):
        wire = self.start(3, 60)
        inside = {h for h, s in wire.states.items() if s.cfg.domain == "d1"}
        addresses = {wire.states[h].members.own.address for h in inside}
        wire.is_cut = lambda sender, target: (
            (sender in addresses) != (target in addresses)
        )
        wire.run(3.0)
        for host in wire.states.keys() - inside:
            silent = wire.states[host].members.get_silent_domains(wire.now)
            self.assertEqual(silent, {"d1"}, host)

    def test_start_from_seed_addresses(self):
        wire = make_wire(3, 20)
        for state in wire.states.values():
            state.members.add_address("10.0.0.1:7400")
            state.loads.start("engine", 100, 0.0)
        wire.run(8.0)
        for host in wire.states:
            self.assertEqual(wire.get_unread_tokens(host, "engine"), 2_000, host)
