import json
import unittest
from types import SimpleNamespace

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.stores import HistoryExpired, Position
from valeweir_gateway.view.catalog import Service
from valeweir_gateway.view.directory import Instance, make_incarnation_id
from valeweir_gateway.view.follower import TopicFollower
from valeweir_gateway.view.lapsed_records import LapsedRecords
from valeweir_gateway.view.topics import Batch, Entry, Listing
from valeweir_gateway.view.view_sync import (
    ViewSync,
    decode_view,
    encode_view,
    make_topic_view,
    merge_topic_view,
)
from valeweir_gateway.view.views import ViewUpdater
from viewing import Clock, RecordingLog, make_followers, make_state

RETENTION_S = 1.8


OWN = Member("h", "a", "10.0.0.1:4")


def decode_instance(key, value):
    fields = json.loads(value)
    ready, warming, seq = fields["ready"], fields["warming"], fields["seq"]
    started_at = fields["started_at"]
    name = make_incarnation_id(key, started_at)
    return Instance(
        name, "llm", "10.0.0.5:1", "a", 8, ready, warming, key, seq, started_at
    )


def make_value(ready=True, seq=1, warming=0.0, started_at=None):
    fields = {"ready": ready, "seq": seq, "warming": warming, "started_at": started_at}
    return json.dumps(fields).encode()


class ViewCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.state = make_state(OWN, self.clock)
        adapter = SimpleNamespace(
            decode_instance=decode_instance,
            catalog_key="config",
            find_evacuated_domain=lambda key: key.removeprefix("empty-") or None,
        )
        self.updater = ViewUpdater(self.state, adapter)
        self.offset = 0

    def put(self, key="i", **fields):
        self.offset += 1
        self.updater.apply_instance(Entry(key, make_value(**fields), self.offset))

    def drop(self, key="i"):
        self.offset += 1
        self.updater.apply_instance(Entry(key, None, self.offset))

    def is_ready(self, key="i"):
        return self.state.directory.is_ready(key)

    def pass_time(self, seconds):
        self.clock.now += seconds
        self.updater.remove_expired()


class TestRemovedRecords(ViewCase):
    def test_removed_at_once_without_an_outage(self):
        self.put()
        self.drop()
        self.assertFalse(self.is_ready())

    def test_retained_after_an_outage_until_renewal_is_due(self):
        self.put()
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.pass_time(0.3)
        self.drop()
        self.assertTrue(self.is_ready())
        self.pass_time(RETENTION_S - 0.4)
        self.assertTrue(self.is_ready())
        self.pass_time(0.2)
        self.assertFalse(self.is_ready())

    def test_renewed_record_is_kept(self):
        self.put()
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.drop()
        self.pass_time(1.0)
        self.put()
        self.pass_time(10.0)
        self.assertTrue(self.is_ready())

    def test_leaving_instance_is_removed_at_once(self):
        self.put()
        self.put(ready=False)
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.drop()
        self.assertNotIn("i", self.state.directory.by_id)

    def test_leaving_record_of_retained_instance_counts(self):
        self.put()
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.drop()
        self.put(ready=False)
        self.assertFalse(self.is_ready())
        self.pass_time(RETENTION_S + 1.0)
        self.assertIn("i", self.state.directory.by_id)

    def test_removed_at_once_long_after_an_outage(self):
        self.put()
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.pass_time(RETENTION_S + 0.1)
        self.drop()
        self.assertFalse(self.is_ready())

    def test_leaving_instance_stays_leaving_during_an_outage(self):
        self.put()
        self.put(ready=False)
        self.pass_time(60.0)
        self.assertFalse(self.is_ready())


class _RecordingIndex(dict):
    """Records every value that readers on other threads could see."""

    def __init__(self, rows):
        super().__init__(rows)
        self.seen = []

    def __setitem__(self, service, instances):
        self.seen.append([instance.id for instance in instances])
        super().__setitem__(service, instances)


class TestReplacedIncarnation(ViewCase):
    """Guards against a moment without any ready instance during a restart.

    A request was refused with `no-upstream` between the removal of an incarnation and
    the insertion of the next one, which happened on another thread.
    """

    def setUp(self):
        super().setUp()
        self.put(started_at=5)
        directory = self.state.directory
        directory._ready = self.index = _RecordingIndex(directory._ready)

    def test_replaced_in_one_step(self):
        self.put(started_at=6)
        self.assertEqual(self.index.seen, [["i@6"]])
        self.assertNotIn("i@5", self.state.directory.by_id)

    def test_state_of_the_earlier_incarnation_is_discarded(self):
        self.state.loads.start("i@5", 100, self.clock.now)
        self.put(started_at=6)
        self.assertEqual(self.state.loads.get_report(), {})
        self.assertEqual(
            self.state.log.events[-2:], ["upstream restarted", "upstream ready"]
        )

    def test_next_record_belongs_to_the_new_incarnation(self):
        self.put(started_at=6)
        self.drop()
        self.assertEqual(self.index.seen, [["i@6"], []])

    def test_retained_incarnation_is_replaced(self):
        self.state.lapsed_records.mark_store_recovered(self.clock.now)
        self.drop()
        self.put(started_at=6)
        self.pass_time(RETENTION_S + 1.0)
        self.assertEqual(self.index.seen, [["i@6"]])


class TestRetentionTime(unittest.TestCase):
    def test_table(self):
        for leave_within, retain in ((2.0, 1.8), (3.0, 2.0), (10.0, 2.0)):
            with self.subTest(leave_within=leave_within):
                lapsed_records = LapsedRecords(leave_within)
                lapsed_records.mark_store_recovered(5.0)
                instance = Instance("i", "llm", "10.0.0.5:1", "a", 8, True)
                self.assertAlmostEqual(
                    lapsed_records.retain(instance, 5.0), 5.0 + retain
                )


# Guards against requests to an upstream that left while its gateway was cut off: each
# topic that was read again later extended the time for which the upstream was retained.
class TestEndOfAnOutage(unittest.TestCase):
    def retain_after(self, first, second):
        """Return the end of a retention that begins as topics are read again."""
        lapsed_records = LapsedRecords(2.0)
        lapsed_records.mark_store_recovered(first)
        lapsed_records.mark_store_recovered(second)
        return lapsed_records.retain(decode_instance("i", make_value()), second)

    def test_first_answer_after_an_outage_counts(self):
        self.assertAlmostEqual(self.retain_after(9.8, 11.1), 9.8 + RETENTION_S)

    def test_next_outage_counts_anew(self):
        self.assertAlmostEqual(self.retain_after(9.8, 12.0), 12.0 + RETENTION_S)


# Guards against an upstream that has left and returns with a restored store.
class TestReturnedRecords(ViewCase):
    def withholds(self, known=None, **fields):
        """Return whether a record is withheld; ``known`` is the one before."""
        entry = Entry("i", make_value(**fields), 3)
        return self.updater.withholds_instance(entry, Entry("i", known, -2))

    def test_removed_upstream_is_withheld(self):
        self.assertTrue(self.withholds())

    def test_lapsed_upstream_that_is_still_in_use_is_not(self):
        self.put()
        self.assertFalse(self.withholds())

    def test_earlier_incarnation_is_withheld(self):
        self.put(started_at=6)
        known = make_value(started_at=6)
        self.assertTrue(self.withholds(known, started_at=5))
        self.assertFalse(self.withholds(known, started_at=6, seq=2))
        self.assertFalse(self.withholds(known, started_at=7))
        self.assertFalse(self.withholds(known))


# Guards against an older ready record that is written again after the leaving one.
class TestStaleRecords(ViewCase):
    def test_stale_record_does_not_undo_leaving(self):
        self.put(seq=5)
        self.put(seq=6, ready=False)
        self.put(seq=5)
        self.assertFalse(self.is_ready())
        self.assertIn("older record ignored", self.state.log.events)

    def test_newer_record_undoes_leaving(self):
        self.put(seq=5)
        self.put(seq=6, ready=False)
        self.put(seq=7)
        self.assertTrue(self.is_ready())

    def test_leaving_counts_with_any_sequence(self):
        self.put(seq=5)
        self.put(seq=4, ready=False)
        self.assertFalse(self.is_ready())


class TestUnchangedRecords(ViewCase):
    def test_new_sequence_alone_changes_nothing(self):
        self.put()
        load = self.state.loads.get("i", self.clock.now)
        load.errors = 1
        known = self.state.directory.by_id["i"]
        events = list(self.state.log.events)
        self.put(seq=2)
        self.assertIs(self.state.directory.by_id["i"], known)
        self.assertIs(self.state.loads.get("i", self.clock.now), load)
        self.assertEqual(self.state.log.events, events)


class ScriptedStore:
    """Returns prepared results, each after some seconds."""

    def __init__(self, clock, *steps):
        self.clock = clock
        self.steps = list(steps)

    def list_newest(self, topic, anew=False):
        return self._next()

    def read(self, topic, offset, wait):
        return self._next()

    def _next(self):
        seconds, result = self.steps.pop(0)
        self.clock.now += seconds
        if isinstance(result, Exception):
            raise result
        return result


class TestStoreRecovery(ViewCase):
    def follow(self, *steps):
        self.follower = TopicFollower(
            ScriptedStore(self.clock, *steps),
            "t",
            self.updater.apply_instance,
            lambda end: None,
            self.state.log,
            lambda: 1.0,
            self.clock,
            on_recovered=self.state.lapsed_records.mark_store_recovered,
        )
        for _ in steps:
            self.follower.follow_once()

    def test_table(self):
        listed = Listing([Entry("i", make_value(), 1)], 2)
        removed = Batch([Entry("i", None, 2)], 3)
        down = PlatformUnavailable("down")
        cases = {
            "no outage": ([(0.0, listed), (0.9, removed)], False),
            "failed call": ([(0.0, listed), (0.0, down), (0.0, removed)], True),
            "late answer": ([(0.0, listed), (4.0, removed)], True),
            "history expired during the outage": (
                [
                    (0.0, listed),
                    (0.0, down),
                    (0.0, HistoryExpired("t")),
                    (0.0, Listing([], 5)),
                ],
                True,
            ),
        }
        for name, (steps, is_retained) in cases.items():
            with self.subTest(name):
                self.setUp()
                self.follow(*steps)
                self.assertEqual(self.is_ready(), is_retained)


class TestStoreRecoveryFromPeers(ViewCase):
    def make_follower(self, apply):
        return TopicFollower(
            None,
            "t",
            apply,
            lambda end: None,
            self.state.log,
            lambda: 1.0,
            self.clock,
        )

    def test_view_contains_the_age_of_the_recovery(self):
        reader = self.make_follower(lambda entry: None)
        reader.adopt_batch(Batch([Entry("i", make_value(), 1)], 2))
        reader.adopt_batch(Batch([Entry("i", None, 2)], 3))
        nothing = make_topic_view(
            self.make_follower(lambda entry: None), Position(0, 0)
        )
        data = encode_view(nothing, make_topic_view(reader, Position(0, 2)), 0.5)
        self.put()
        catalog = self.make_follower(lambda entry: None)
        instances = self.make_follower(self.updater.apply_instance)
        instances.adopt_batch(Batch([Entry("i", make_value(), 1)], 2))
        sync = ViewSync(self.state, make_followers(catalog, instances), 1, None)
        sync.merge_view(decode_view(data), "reader", self.clock.now)
        self.assertTrue(self.is_ready())
        self.pass_time(RETENTION_S - 0.6)
        self.assertTrue(self.is_ready())
        self.pass_time(0.2)
        self.assertFalse(self.is_ready())


class TestViews(unittest.TestCase):
    def make_follower(self):
        return TopicFollower(
            None, "t", lambda entry: None, lambda end: None, None, None, Clock()
        )

    def test_peer_merges_a_listing_then_changes(self):
        ours, theirs = self.make_follower(), self.make_follower()
        ours.adopt(Listing([Entry("i", b"x", 1), Entry("j", b"y", 2)], 9))
        self.exchange(ours, theirs)
        self.assertEqual(theirs.get_listing(), ours.get_listing())
        ours.adopt_batch(Batch([Entry("i", None, 9), Entry("k", b"z", 10)], 11))
        view = self.exchange(ours, theirs)
        self.assertFalse(view.is_whole)
        self.assertEqual(len(view.entries), 2)
        self.assertEqual(theirs.get_listing(), ours.get_listing())

    def exchange(self, ours, theirs):
        view = make_topic_view(ours, theirs.position)
        data = encode_view(view, view)
        got = decode_view(data)
        self.assertEqual(got.catalog, view)
        merge_topic_view(theirs, got.catalog)
        return view

    def test_undecodable_view(self):
        self.assertIsNone(decode_view(b"\x00nothing"))


if __name__ == "__main__":
    unittest.main()


class TestWarmingInstances(ViewCase):
    def is_warming(self, key="i"):
        return self.state.slow_start.is_warming(key, self.clock.now)

    def end_warm_ups(self, seconds):
        self.clock.now += seconds
        self.updater.end_warm_ups()

    def test_warm_up_from_the_record(self):
        self.put(warming=2.0)
        self.assertTrue(self.is_warming())
        self.end_warm_ups(1.9)
        self.assertTrue(self.is_warming())
        self.end_warm_ups(0.2)
        self.assertFalse(self.is_warming())
        self.assertEqual(self.state.log.events[-1], "upstream warm")

    def test_ready_instance_warms_up_again(self):
        self.put()
        self.assertFalse(self.is_warming())
        self.put(warming=3.0)
        self.assertTrue(self.is_warming())

    def test_record_without_warming_ends_the_warm_up(self):
        self.put(warming=9.0)
        self.put()
        self.assertFalse(self.is_warming())

    def test_removed_instance_stops_warming(self):
        self.put(warming=9.0)
        self.drop()
        self.assertEqual(len(self.state.slow_start), 0)


class TestEvacuations(ViewCase):
    def setUp(self):
        super().setUp()
        catalog = SimpleNamespace(
            version=1, services={"llm": Service("llm", 8, None, 3.0, 6.1)}
        )
        self.state.put_catalog(catalog)
        self.put()

    def write(self, value, offset, domain="a"):
        self.updater.apply_catalog(Entry(f"empty-{domain}", value, offset))

    def follow(self):
        return TopicFollower(
            None,
            "t",
            self.updater.apply_catalog,
            self.updater.record_catalog_position,
            RecordingLog(),
            lambda: 1.0,
            self.clock,
        )

    def test_evacuation_lasts_until_its_record_is_removed(self):
        self.write(b"{}", 4)
        self.assertEqual(self.state.evacuations.domains, {"a"})
        self.write(None, 5)
        self.assertEqual(self.state.evacuations.domains, frozenset())
        self.assertEqual(
            self.state.log.events[-2:], ["upstream warming", "evacuation over"]
        )

    def test_instances_warm_up_after_an_evacuation(self):
        self.write(b"{}", 4)
        self.write(None, 5)
        now = self.clock.now
        self.assertTrue(self.state.slow_start.is_warming("i", now + 2.9))
        self.assertFalse(self.state.slow_start.is_warming("i", now + 3.1))

    def test_unknown_evacuation_end_changes_nothing(self):
        self.write(None, 5)
        self.assertFalse(self.state.slow_start.is_warming("i", self.clock.now))

    def test_ended_evacuation_does_not_return(self):
        """An older view of a peer does not restore an ended evacuation."""
        follower = self.follow()
        begun = Entry("empty-a", b"{}", 4)
        follower.adopt_batch(Batch([begun], 5))
        self.assertEqual(self.state.evacuations.domains, {"a"})
        follower.adopt_batch(Batch([Entry("empty-a", None, 6)], 7))
        follower.adopt_batch(Batch([begun], 5))
        self.assertEqual(self.state.evacuations.domains, frozenset())
        self.assertEqual(self.state.catalog_position, Position(0, 7))

    def test_evacuation_missing_from_a_listing_ends(self):
        """The removal was not read, but the listing no longer contains the record."""
        follower = self.follow()
        follower.adopt(Listing([Entry("empty-a", b"{}", 4)], 5))
        self.assertEqual(self.state.evacuations.domains, {"a"})
        follower.adopt(Listing([], 9))
        self.assertEqual(self.state.evacuations.domains, frozenset())

    def test_not_ready_before_evacuations_are_known(self):
        self.state.directory_known = True
        self.state.quarantine_known = True
        self.assertFalse(self.state.is_ready())
        self.updater.record_catalog_position(Position(0, 3))
        self.assertTrue(self.state.is_ready())
