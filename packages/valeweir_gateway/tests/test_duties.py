import unittest
from types import SimpleNamespace

from valeweir_gateway.settings import Store
from valeweir_gateway.stores import Position
from valeweir_gateway.view.store_read_policy import StoreReadPolicy, get_max_view_age
from valeweir_gateway.view.view_sync import ViewSync
from valeweir_standins.wires import Wire
from viewing import make_followers


def make_read_policy(fleet):
    return StoreReadPolicy(fleet._state, lambda: fleet.plan)


class TestStoreReadPolicy(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(3, 40)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.age = 0.5
        self.read_policies = {}
        for fleet in self.wire.fleets.values():
            state = fleet._state
            state.freshness.get_age = lambda now: self.age
            state.cfg.store = Store("10.9.9.9:1", poll=5.0)
            self.read_policies[state.cfg.host] = make_read_policy(fleet)

    def get_readers(self):
        return [
            host
            for host, read_policy in self.read_policies.items()
            if read_policy.reads_store()
        ]

    def test_one_reader_per_domain(self):
        self.assertEqual(len(self.get_readers()), 3)

    def test_all_read_while_the_view_is_too_old(self):
        self.wire.now += 3.0
        for age in (None, 9.0):
            self.age = age
            self.assertEqual(len(self.get_readers()), 40)

    def test_starting_fleet_waits_for_its_readers(self):
        self.age = None
        self.assertEqual(len(self.get_readers()), 3)

    def test_none_read_before_members_are_listed(self):
        for state in self.wire.states.values():
            state.members_known = False
        self.assertEqual(self.get_readers(), [])
        self.wire.now += 1.5
        self.assertEqual(len(self.get_readers()), 3)

    def test_members_are_read_twice_at_start(self):
        """Gateways that start together may be missing from each other's first list."""
        read_policy = make_read_policy(next(iter(self.wire.fleets.values())))
        reads = []
        for _ in range(60):
            if read_policy.should_read_members():
                reads.append(round(self.wire.now, 1))
                read_policy.mark_members_read()
            self.wire.now += 0.1
        self.assertEqual(len(reads), 2)
        self.assertGreater(reads[1] - reads[0], 2.0)
        self.assertTrue(read_policy.has_read_members())

    def test_listed_gateway_reads_members_once(self):
        read_policy = make_read_policy(next(iter(self.wire.fleets.values())))
        self.wire.states["h0"].member_record = b"d0 10.0.0.1:7400 1"
        self.assertTrue(read_policy.should_read_members())
        read_policy.mark_members_read()
        self.assertTrue(read_policy.has_read_members())

    def test_members_reading_ends_during_store_outage(self):
        read_policy = make_read_policy(next(iter(self.wire.fleets.values())))
        self.wire.now += 4.0
        self.assertTrue(read_policy.should_read_members())
        self.assertFalse(read_policy.has_read_members())
        self.wire.now += 2.0
        self.assertFalse(read_policy.should_read_members())
        self.assertTrue(read_policy.has_read_members())

    def test_relays_poll_often(self):
        self.assertLessEqual(self.read_policies["h0"].get_poll(), 1.0)


class TestSmallFleets(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(3, 9)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.read_policies = {}
        for fleet in self.wire.fleets.values():
            fleet._state.cfg.store = Store("10.9.9.9:1", poll=5.0)
            self.read_policies[fleet._state.cfg.host] = make_read_policy(fleet)

    def get_frequent_readers(self):
        """Return the hosts that poll often enough to keep all views recent."""
        polls = {
            host: read_policy.get_poll()
            for host, read_policy in self.read_policies.items()
        }
        frequent = [host for host, poll in polls.items() if poll <= 1.0]
        for host in polls.keys() - frequent:
            self.assertEqual(polls[host], 5.0)
        return frequent

    def test_all_read(self):
        for read_policy in self.read_policies.values():
            self.assertTrue(read_policy.reads_store())

    def test_one_gateway_polls_often(self):
        self.assertEqual(len(self.get_frequent_readers()), 1)

    def test_another_gateway_polls_often_after_a_failure(self):
        (host,) = self.get_frequent_readers()
        for state in self.wire.states.values():
            state.members.is_suspect = lambda other, now: other == host
        self.read_policies.pop(host)
        self.assertEqual(len(self.get_frequent_readers()), 1)

    def test_poll_keeps_views_below_the_max_age(self):
        (host,) = self.get_frequent_readers()
        max_age = get_max_view_age(self.read_policies[host]._state.cfg)
        self.assertLessEqual(self.read_policies[host].get_poll() + 0.4, max_age)

    def test_change_within_bounds_the_max_age(self):
        cfg = next(iter(self.read_policies.values()))._state.cfg
        before = get_max_view_age(cfg)
        cfg.store = Store("10.9.9.9:1", change_within_ms=1_500.0)
        self.assertAlmostEqual(get_max_view_age(cfg), before - 0.5)


class TestViewSync(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(3, 40)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.fleet = next(f for f in self.wire.fleets.values() if not f.plan.is_relay)
        state = self.fleet._state
        state.freshness.get_age = lambda now: 0.5
        state.catalog_known = state.directory_known = True
        state.quarantine_known = True
        self.read_policy = make_read_policy(self.fleet)
        follower = SimpleNamespace(position=Position(0, 0))
        followers = make_followers(follower, follower)
        self.sync = ViewSync(state, followers, 1, self.read_policy)
        self.sync.fetch = lambda peer: self.can_fetch
        relay = self.fleet.plan.relay.host
        self.wire.states[relay].directory_position = Position(0, 7)
        self.wire.run(0.5)

    def test_view_of_the_relay_is_merged_at_once(self):
        self.can_fetch = True
        self.assertTrue(self.sync.catch_up(self.wire.now))
        self.assertFalse(self.read_policy.reads_store())

    def test_store_is_read_if_the_relay_fails(self):
        self.can_fetch = False
        self.assertFalse(self.sync.catch_up(self.wire.now))
        self.assertFalse(self.read_policy.reads_store())
        self.sync.catch_up(self.wire.now + 1.0)
        self.assertTrue(self.read_policy.reads_store())
        self.wire.now += 9.0
        self.assertFalse(self.read_policy.reads_store())

    def test_empty_unread_topic_is_fetched(self):
        """Guards against a gateway that never becomes ready.

        It stopped reading before it had listed the empty quarantine topic, and no peer
        had a higher offset of that topic.
        """
        state = self.fleet._state
        state.directory_position = Position(0, 7)
        state.quarantine_known = False
        self.can_fetch = True
        self.assertTrue(self.sync.catch_up(self.wire.now))

    def test_gateway_without_any_view_fetches_nothing(self):
        """Gateways that start together would request views that none of them has."""
        state = self.fleet._state
        state.directory_position = Position(0, 7)
        state.quarantine_known = False
        state.directory_known = False
        self.assertIsNone(self.sync.catch_up(self.wire.now))

    def test_no_fetch_without_newer_peer(self):
        self.fleet._state.directory_position = Position(0, 7)
        self.assertIsNone(self.sync.catch_up(self.wire.now))
