"""Refreshes of the view on new connections, and retries of unapplied records.

Guards against open connections that stop delivering data while new ones work. A gateway
waiting on such a connection would miss changes until its call times out.
"""

import unittest
from types import SimpleNamespace

from valeweir_gateway.fleet.members import Member
from valeweir_gateway.stores import StoreTimeout
from valeweir_gateway.view.follower import TopicFollower
from valeweir_gateway.view.refresher import Refresher
from valeweir_gateway.view.topics import Batch, Entry
from viewing import Clock, ignore, make_followers, make_state


class FakeFollower:
    """Counts the calls of its methods."""

    def __init__(self):
        self.refreshed = 0
        self.applied = 0
        self.unapplied = 0
        self.waiting = True
        self.overdue = False
        self.answered = True
        self.outages = 0

    def refresh(self):
        self.refreshed += 1
        return self.answered

    def mark_outage(self):
        self.outages += 1

    def settle(self, now):
        pass

    def retry_unapplied(self):
        self.applied += 1

    def is_waiting(self, now, seconds):
        return self.waiting

    def is_overdue(self, now):
        return self.overdue


class TestRefresher(unittest.TestCase):
    def setUp(self):
        self.clock = Clock(100.0)
        # Changes must be in force within 2 s.
        self.state = make_state(Member("h0", "a", "10.0.0.1:4"), self.clock)
        self.followers = [FakeFollower() for _ in range(3)]
        self.reads = True
        read_policy = SimpleNamespace(reads_store=lambda: self.reads)
        followers = make_followers(*self.followers)
        self.refresher = Refresher(self.state, followers, read_policy)
        self.state.freshness.record_peer_view(100.0)

    def check(self, at):
        """Return the number of refreshes made by a check at a time."""
        before = sum(row.refreshed for row in self.followers)
        self.refresher.check(at)
        return sum(row.refreshed for row in self.followers) - before

    def test_fresh_view_is_not_refreshed(self):
        self.assertEqual(self.check(101.3), 0)

    def test_old_view_is_refreshed_in_time(self):
        """The rest of the 2 s covers a check interval, 0.15 s, and an answer, 0.3 s."""
        self.assertEqual(self.check(101.5), 3)

    def test_refreshes_are_spaced(self):
        self.check(101.5)
        self.assertEqual(self.check(102.4), 0)
        self.assertEqual(self.check(102.6), 3)

    def test_only_waiting_followers_are_refreshed(self):
        self.followers[0].waiting = False
        self.assertEqual(self.check(101.5), 2)

    def test_new_call_postpones_the_refresh_briefly(self):
        """A new call may have a dead connection too; the next check is not delayed."""
        for row in self.followers:
            row.waiting = False
        self.assertEqual(self.check(101.5), 0)
        for row in self.followers:
            row.waiting = True
        self.assertEqual(self.check(101.7), 3)

    def test_outage_costs_one_call(self):
        self.followers[0].answered = False
        self.assertEqual(self.check(101.5), 1)

    def test_outage_is_marked_for_every_topic(self):
        """Guards against removing lapsed upstreams before the recovery is detected."""
        self.followers[0].answered = False
        self.check(101.5)
        self.assertEqual([row.outages for row in self.followers], [1, 1, 1])

    def test_silent_connection_is_no_outage(self):
        self.check(101.5)
        self.assertEqual([row.outages for row in self.followers], [0, 0, 0])

    def test_overdue_call_triggers_a_refresh(self):
        self.followers[1].overdue = True
        self.assertEqual(self.check(100.5), 3)

    def test_gateway_that_does_not_read_is_not_refreshed(self):
        self.reads = False
        self.assertEqual(self.check(105.0), 0)

    def test_unapplied_records_are_retried(self):
        self.reads = False
        self.followers[0].unapplied = 1
        for at in (100.0, 100.1, 100.4):
            self.refresher.check(at)
        self.assertEqual([row.applied for row in self.followers], [2, 0, 0])


class HangingStore:
    """Answers with one new record, except calls on the first new connections.

    These hang until their time limit, which moves the clock.
    """

    def __init__(self, clock, hang_count):
        self.clock = clock
        self.hang_count = hang_count

    def read(self, topic, offset, wait, anew=False, timeout=1.0):
        if self.hang_count:
            self.hang_count -= 1
            self.clock.now += timeout
            raise StoreTimeout("no answer")
        return Batch([Entry("key", b"new", offset)], offset + 1)


# Guards against a change that is in force late because one call of the store hangs.
class TestHangingCall(unittest.TestCase):
    def test_view_is_refreshed_in_time(self):
        clock = Clock(100.0)
        state = make_state(Member("h0", "a", "10.0.0.1:4"), clock)
        state.freshness.record_peer_view(100.0)
        store = HangingStore(clock, 1)
        applied = []
        followers = [
            TopicFollower(store, name, applied.append, ignore, state.log, None, clock)
            for name in ("catalog", "instances", "quarantine")
        ]
        for follower in followers:
            follower.is_waiting = lambda now, seconds: True
        read_policy = SimpleNamespace(reads_store=lambda: True)
        refresher = Refresher(state, make_followers(*followers), read_policy)
        # The view exceeds its maximum age of 1.4 s just after the check before.
        clock.now = 101.55
        refresher.check(clock.now)
        self.assertEqual(len(applied), 3)
        self.assertLess(clock.now, 102.0)
