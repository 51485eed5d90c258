import unittest

from valeweir_gateway.fleet.freshness import Echo, Freshness, Stamps, make_echo
from valeweir_gateway.fleet.reports import VERSION, Report, Role
from valeweir_gateway.settings import Store, Upstreams
from valeweir_gateway.stores import Position
from valeweir_gateway.view.store_read_policy import StoreReadPolicy
from valeweir_standins.wires import Wire
from viewing import Clock

INCARNATION = 5_000_000_077
# Pause of a reader after it has received records.
READ_PAUSE_S = 0.2


def create_duty(fleet):
    return StoreReadPolicy(fleet._state, lambda: fleet.plan)


class TestFreshness(unittest.TestCase):
    def setUp(self):
        self.freshness = Freshness()

    def check(self, age):
        self.assertEqual(self.freshness.get_age(20.0), age)

    def test_unapplied_records_keep_view_from_becoming_newer(self):
        self.freshness.record_peer_view(12.0)
        self.freshness.has_unapplied_records = lambda: True
        for topic in ("catalog", "instances"):
            self.freshness.record_store_read(topic, 19.0)
        self.freshness.record_peer_view(19.0)
        self.check(8.0)

    def test_age_is_that_of_the_older_topic(self):
        self.check(None)
        self.freshness.record_store_read("catalog", 19.0)
        self.check(None)
        self.freshness.record_store_read("instances", 17.0)
        self.check(3.0)

    def test_newest_time_of_each_source_is_used(self):
        self.freshness.record_peer_view(15.0)
        self.freshness.record_peer_view(14.0)
        self.check(5.0)
        self.freshness.record_store_read("catalog", 18.0)
        self.freshness.record_store_read("catalog", 12.0)
        self.freshness.record_store_read("instances", 16.0)
        self.check(4.0)

    def test_announces_views_that_are_newer_by_a_step(self):
        versions = []
        for as_of in (10.0, 10.1, 10.4, 10.6, 10.7, 11.2):
            self.freshness.record_peer_view(as_of)
            versions.append(self.freshness.announce_version)
        self.assertEqual(versions, [1, 1, 1, 2, 2, 3])


class TestStamps(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.stamps = Stamps(self.clock, INCARNATION)

    def echo(self, number, stamp):
        report = Report(VERSION, "b", "z", number, 1, Role.UP, stamp=stamp)
        return make_echo(report)

    def test_own_stamp(self):
        self.clock.now = 101.5
        stamp = self.stamps.make()
        self.clock.now = 109.0
        self.assertEqual(self.stamps.get_time(self.echo(INCARNATION, stamp)), 101.5)

    def test_echoes_without_a_valid_time(self):
        cases = {
            "no report yet": make_echo(None),
            "a peer without stamps": Echo(),
            "an earlier incarnation": self.echo(INCARNATION - 1, 100_000),
            "before the start": self.echo(INCARNATION, 99_000),
            "in the future": self.echo(INCARNATION, 101_000),
        }
        for name, echo in cases.items():
            with self.subTest(name):
                self.assertIsNone(self.stamps.get_time(echo))


class TestFleet(unittest.TestCase):
    """Ages of views in a fleet whose readers receive the store's responses rarely."""

    def setUp(self):
        self.wire = Wire(3, 70)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.read_policies = {
            fleet._state.cfg.host: StoreReadPolicy(
                fleet._state, lambda fleet=fleet: fleet.plan
            )
            for fleet in self.wire.fleets.values()
        }

    def record_store_responses(self, hosts):
        """Record responses of the store at some gateways."""
        for host in hosts:
            for topic in ("catalog", "instances"):
                self.wire.states[host].freshness.record_store_read(topic, self.wire.now)

    def get_readers(self):
        return {
            host
            for host, read_policy in self.read_policies.items()
            if read_policy.reads_store()
        }

    def get_ages(self):
        now = self.wire.now
        return {
            host: state.freshness.get_age(now)
            for host, state in self.wire.states.items()
        }

    def test_three_readers_suffice_without_faults(self):
        """The store responds at the longest interval of a call and its pause."""
        for leave_within in (2_000.0, 3_000.0, 10_000.0):
            with self.subTest(leave_within=leave_within):
                self.setUp()
                for state in self.wire.states.values():
                    state.cfg.upstreams = Upstreams(leave_within_ms=leave_within)
                    state.cfg.store = Store(
                        "10.9.9.9:1", poll=5.0, change_within_ms=leave_within
                    )
                self.check_readers_stay_the_same()

    def check_readers_stay_the_same(self):
        readers = self.get_readers()
        self.assertEqual(len(readers), 3)
        wait = self.read_policies[min(readers)].get_poll()
        for _ in range(10):
            self.record_store_responses(readers)
            for _ in range(round((wait + READ_PAUSE_S) / 0.1)):
                self.wire.run(0.1)
                self.assertEqual(self.get_readers(), readers)

    def test_age_is_never_underestimated(self):
        for delay in (0.0, 0.05, 0.3):
            with self.subTest(delay=delay):
                self.setUp()
                self.wire.delay = delay
                self.record_store_responses(self.get_readers())
                responded_at = self.wire.now
                for _ in range(30):
                    self.wire.run(0.2)
                    ages = [age for age in self.get_ages().values() if age is not None]
                    self.assertGreaterEqual(
                        min(ages) + 0.001, self.wire.now - responded_at
                    )
                self.assertEqual(len(ages), 70)

    def test_view_behind_a_peer_is_not_complete(self):
        for state in self.wire.states.values():
            state.directory_position = Position(0, 7)
        behind = next(
            host for host in self.read_policies if host not in self.get_readers()
        )
        self.wire.states[behind].directory_position = Position(0, 6)
        self.record_store_responses(self.get_readers())
        self.wire.run(2.0)
        ages = self.get_ages()
        self.assertIsNone(ages.pop(behind))
        self.assertNotIn(None, ages.values())

    def test_reports_delayed_by_a_pause_do_not_renew_view(self):
        paused = next(
            host for host in self.read_policies if host not in self.get_readers()
        )
        self.record_store_responses(self.get_readers())
        self.wire.run(1.0)
        before = self.wire.now - self.get_ages()[paused]
        fleet = next(
            row for row in self.wire.fleets.values() if row._state.cfg.host == paused
        )
        pending = []
        receive, fleet.receive = fleet.receive, lambda *args: pending.append(args)
        tick, fleet.tick = fleet.tick, lambda now: None
        for _ in range(5):
            self.record_store_responses(self.get_readers() - {paused})
            self.wire.run(1.0)
        self.assertGreater(len(pending), 2)
        fleet.receive, fleet.tick = receive, tick
        for args in pending:
            fleet.receive(*args)
        # Its last stamp was sent before the pause, so no echo can be of a later one.
        as_of = self.wire.now - self.get_ages()[paused]
        self.assertLess(as_of, before + 1.0)
        self.assertTrue(self.read_policies[paused].reads_store())
