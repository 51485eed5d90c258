import unittest

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.stores import HistoryExpired, Position, StoreTimeout
from valeweir_gateway.view.follower import TopicFollower
from valeweir_gateway.view.topics import Batch, Entry, Listing


class ScriptedStore:
    """Returns prepared results; raises those that are exceptions."""

    def __init__(self, *results):
        self.results = list(results)
        self.reads = []
        self.anew = []

    def list_newest(self, topic, anew=False):
        self.anew.append(anew)
        return self._next()

    def read(self, topic, offset, wait, anew=False, timeout=None):
        self.reads.append(offset)
        self.anew.append(anew)
        return self._next()

    def _next(self):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class RecordingLog:
    def __init__(self):
        self.events = []

    def note(self, event, failed=False, **fields):
        self.events.append(event)


class FollowerCase(unittest.TestCase):
    def follow(self, *results):
        self.applied = []
        self.make_follower(self.applied.append)
        self.store.results = list(results)
        self.steps = [self.follower.follow_once() for _ in results]

    def make_follower(self, apply, clock=lambda: 7.0, **more):
        self.store = ScriptedStore()
        self.log = RecordingLog()
        self.ends = []
        self.follower = TopicFollower(
            self.store,
            "t",
            apply,
            self.ends.append,
            self.log,
            lambda: 1.0,
            clock,
            **more,
        )

    def get_applied(self):
        return [(entry.key, entry.value) for entry in self.applied]


# Guards against answers of another era that are taken for a recent view.
class TestEras(FollowerCase):
    def test_batch_of_a_later_era_leads_to_a_listing(self):
        self.follow(
            Listing([Entry("a", b"1", 3)], 4, era=1),
            Batch([Entry("b", b"9", 4)], 5, era=2),
            Listing([Entry("a", b"2", 2)], 5, era=2),
            Batch([], 5, era=2),
        )
        self.assertEqual(self.steps, [True] * 4)
        self.assertEqual(self.get_applied(), [("a", b"1"), ("a", b"2")])
        self.assertEqual(self.store.reads, [4, 5])
        self.assertEqual(self.log.events.count("store restored"), 1)

    def test_late_answer_of_an_earlier_era_fails(self):
        self.follow(Listing([], 4, era=1))

        def read(*args, **more):
            self.follower.adopt(Listing([], 2, era=2))
            return Batch([Entry("a", b"1", 4)], 5, era=1)

        self.store.read = read
        self.assertFalse(self.follower.follow_once())
        self.assertEqual(self.get_applied(), [])
        self.assertEqual(self.follower.position, Position(2, 2))

    def test_store_that_ends_early_without_a_new_era(self):
        refused = HistoryExpired("t", 0)
        behind = Listing([Entry("a", b"2", 2)], 3)
        self.follow(Listing([Entry("a", b"1", 3)], 9), refused, behind, behind)
        self.assertEqual(self.steps, [True, True, False, False])
        self.store.results = [Listing([Entry("a", b"3", 9)], 10), Batch([], 10)]
        self.assertTrue(self.follower.follow_once())
        self.assertEqual(self.get_applied(), [("a", b"1"), ("a", b"3")])

    def test_store_without_eras(self):
        self.follow(Listing([], 4, era=3), Batch([Entry("a", b"1", 4)], 5))
        self.assertEqual(self.follower.position, Position(3, 5))

    # A gateway that had been paused took its first answer for the return of the store,
    # and retained an upstream that had left long before.
    def test_restore_during_a_pause_is_no_recovery(self):
        for paused, recoveries in ((0.0, [7.0]), (4.6, [])):
            pauses, recovered = [0.0], []
            self.make_follower(
                [].append,
                on_recovered=recovered.append,
                get_pause_total=lambda pauses=pauses: pauses[0],
            )
            self.store.results = [Listing([], 4, era=1), Listing([], 2, era=2)]
            self.follower.follow_once()
            pauses[0] = paused
            self.follower._needs_listing = True
            self.follower.follow_once()
            self.assertEqual(recovered, recoveries)

    def test_what_the_copy_lacks_settles(self):
        now = [7.0]
        self.make_follower([].append, keeps=lambda entry: True, clock=lambda: now[0])
        self.follower.adopt(Listing([Entry("a", b"1", 3)], 9, era=1))
        self.follower.adopt(Listing([], 2, era=2))
        for at, unconfirmed in ((7.1, 1), (30.0, 0)):
            self.follower.settle(at)
            count = len(self.follower._records.get_unconfirmed())
            self.assertEqual(count, unconfirmed)


class TestFollowing(FollowerCase):
    def test_listing_then_batches(self):
        self.follow(
            Listing([Entry("a", b"1", 3)], 4),
            Batch([Entry("a", b"2", 4)], 5),
            Batch([], 5),
        )
        self.assertEqual(self.get_applied(), [("a", b"1"), ("a", b"2")])
        self.assertEqual(self.store.reads, [4, 5])
        self.assertEqual([position.offset for position in self.ends], [4, 5, 5])

    def test_records_read_twice_are_applied_once(self):
        # The second page contains a record that is read again from offset 4.
        self.follow(
            Listing([Entry("a", b"1", 3), Entry("b", b"2", 5)], 4),
            Batch([Entry("c", b"1", 4), Entry("b", b"2", 5)], 6),
        )
        self.assertEqual(self.get_applied(), [("a", b"1"), ("b", b"2"), ("c", b"1")])

    def test_expired_history_is_listed_again(self):
        self.follow(
            Listing([Entry("a", b"1", 3), Entry("b", b"1", 2)], 4),
            HistoryExpired("expired"),
            Listing([Entry("a", b"2", 9)], 10),
        )
        self.assertEqual(self.steps, [True, True, True])
        self.assertEqual(self.get_applied()[2:], [("a", b"2"), ("b", None)])

    def test_failures_change_nothing_and_are_logged_once(self):
        down = PlatformUnavailable("down")
        self.follow(Listing([Entry("a", b"1", 3)], 4), down, down, Batch([], 4))
        self.assertEqual(self.steps, [True, False, False, True])
        self.assertEqual(self.get_applied(), [("a", b"1")])
        self.assertEqual(
            self.log.events, ["store regained", "store lost", "store regained"]
        )

    def test_unexpected_exception_does_not_end_following(self):
        self.follow(
            Listing([Entry("a", b"1", 3)], 4),
            ValueError("unexpected"),
            Batch([Entry("a", b"2", 4)], 5),
        )
        self.assertEqual(self.steps, [True, False, True])
        self.assertEqual(self.get_applied(), [("a", b"1"), ("a", b"2")])
        self.assertIn("following failed", self.log.events)

    def test_removed_key_may_return(self):
        self.follow(
            Listing([Entry("a", b"1", 3)], 4),
            Batch([Entry("a", None, 4), Entry("a", b"2", 5)], 6),
        )
        self.assertEqual(self.get_applied(), [("a", b"1"), ("a", None), ("a", b"2")])


# Guards against starting with an older version that was written after a newer one.
class TestHistory(FollowerCase):
    """Ranked keys are looked up in the records before their newest one."""

    def list_topic(self, *results):
        self.applied = []
        self.store = ScriptedStore(*results)
        self.follower = TopicFollower(
            self.store,
            "t",
            self.applied.append,
            lambda end: None,
            RecordingLog(),
            lambda: 1.0,
            lambda: 7.0,
            rank=lambda entry: int(entry.value) if entry.key == "c" else None,
        )
        return self.follower.follow_once()

    def test_only_the_highest_version_is_applied(self):
        listing = Listing([Entry("c", b"5", 3)], 4)
        history = Batch([Entry("c", b"9", 1), Entry("c", b"11", 2)], 4)
        self.assertTrue(self.list_topic(listing, history))
        self.assertEqual(self.get_applied(), [("c", b"11")])
        self.assertEqual(self.store.reads, [0])

    def test_partly_expired_history(self):
        listing = Listing([Entry("c", b"5", 90)], 91)
        history = Batch([Entry("c", b"11", 89), Entry("c", b"5", 90)], 91)
        self.assertTrue(self.list_topic(listing, HistoryExpired("t", 88), history))
        self.assertEqual(self.get_applied(), [("c", b"11")])
        self.assertEqual(self.store.reads, [58, 88])

    def test_expired_history(self):
        listing = Listing([Entry("c", b"5", 90)], 91)
        for expired in (HistoryExpired("t", 91), HistoryExpired("t")):
            self.assertTrue(self.list_topic(listing, expired))
            self.assertEqual(self.get_applied(), [("c", b"5")])

    def test_history_is_read_in_pages(self):
        listing = Listing([Entry("c", b"5", 3)], 4)
        pages = [Batch([Entry("c", b"9", 1)], 2), Batch([Entry("c", b"11", 2)], 4)]
        self.assertTrue(self.list_topic(listing, *pages))
        self.assertEqual(self.get_applied(), [("c", b"11")])

    def test_batch_that_does_not_advance_ends_the_history(self):
        listing = Listing([Entry("c", b"5", 3)], 4)
        self.assertTrue(self.list_topic(listing, Batch([], 0)))
        self.assertEqual(self.get_applied(), [("c", b"5")])

    def test_unranked_keys_need_no_history(self):
        self.assertTrue(self.list_topic(Listing([Entry("a", b"5", 3)], 4)))
        self.assertEqual(self.store.reads, [])


# Guards against a recent age of a view that lacks the later records of the topic.
class TestPartialBatches(FollowerCase):
    def setUp(self):
        self.completions = []
        self.store = ScriptedStore()
        self.follower = TopicFollower(
            self.store,
            "t",
            lambda entry: None,
            lambda end: None,
            RecordingLog(),
            lambda: 1.0,
            lambda: 7.0,
            on_complete=lambda topic, as_of: self.completions.append(as_of),
        )
        self.store.results = [Listing([], 0)]
        self.follower.follow_once()
        self.completions.clear()

    def test_partial_batch_does_not_refresh_the_age(self):
        part = Batch([Entry("a", b"1", 0)], 1, is_whole=False)
        self.store.results = [part, part._replace(end=2)]
        self.follower.follow_once()
        self.follower.refresh()
        self.assertEqual(self.completions, [])
        self.assertEqual(self.follower.end, 2)

    def test_complete_batch_refreshes_the_age(self):
        self.store.results = [Batch([Entry("a", b"1", 0)], 1)]
        self.follower.follow_once()
        self.assertEqual(self.completions, [7.0])


class TestApplyErrors(FollowerCase):
    """Guards against records that are skipped because applying them raised once.

    Records counted as known before they were applied. One that raised was never applied
    again, nor were the later ones of the same answer, while the end offset advanced and
    no peer had a newer view. The gateway kept an outdated configuration.
    """

    def follow_with_error(self, *results):
        self.remaining_errors = 1
        self.applied = []

        def apply(entry):
            if entry.value == b"odd" and self.remaining_errors:
                self.remaining_errors -= 1
                raise RuntimeError("first attempt")
            self.applied.append(entry)

        self.make_follower(apply)
        self.store.results = list(results)
        return [self.follower.follow_once() for _ in results]

    def test_failed_record_is_applied_with_the_next_call(self):
        self.follow_with_error(
            Listing([], 4), Batch([Entry("a", b"odd", 4)], 5), Batch([], 5)
        )
        self.assertEqual(self.get_applied(), [("a", b"odd")])

    def test_failed_record_does_not_block_others(self):
        rows = [Entry("a", b"odd", 4), Entry("b", b"1", 5)]
        self.follow_with_error(Listing([], 4), Batch(rows, 6))
        self.assertEqual(self.get_applied(), [("b", b"1")])

    def test_newer_record_replaces_the_failed_one(self):
        self.follow_with_error(
            Listing([], 4),
            Batch([Entry("a", b"odd", 4)], 5),
            Batch([Entry("a", b"2", 5)], 6),
            Batch([], 6),
        )
        self.assertEqual(self.get_applied(), [("a", b"2")])

    def test_view_with_unapplied_record_has_no_age(self):
        self.make_follower(self.fail_to_apply)
        self.store.results = [Listing([Entry("a", b"1", 3)], 4)]
        self.follower.follow_once()
        self.assertEqual(self.follower.unapplied, 1)
        self.assertIsNone(self.follower.get_age(9.0))
        self.assertEqual(self.log.events.count("record not applied"), 1)

    def test_failure_is_logged_once(self):
        self.make_follower(self.fail_to_apply)
        self.store.results = [Listing([Entry("a", b"1", 3)], 4)]
        self.follower.follow_once()
        for _ in range(3):
            self.follower.retry_unapplied()
        self.assertEqual(self.log.events.count("record not applied"), 1)

    def fail_to_apply(self, entry):
        raise RuntimeError("invalid")


class TestStoreTimeouts(FollowerCase):
    """A timeout means a lost connection or an unavailable store."""

    def setUp(self):
        self.recoveries = []

    def make_follower(self, apply, clock=lambda: 7.0, **more):
        super().make_follower(apply)
        self.follower._on_recovered = self.recoveries.append

    def test_single_timeout_is_no_outage(self):
        """Counted as an outage, it would retain upstreams that have left."""
        self.follow(Listing([], 4), StoreTimeout("timeout"), Batch([], 4))
        self.assertEqual(self.recoveries, [])
        self.assertNotIn("store lost", self.log.events)

    def test_second_timeout_is_an_outage(self):
        timeout = StoreTimeout("timeout")
        self.follow(Listing([], 4), timeout, timeout, Batch([], 4))
        self.assertEqual(self.recoveries, [7.0])
        self.assertIn("store lost", self.log.events)

    def test_refresh_reads_on_a_new_connection(self):
        self.follow(Listing([], 4))
        self.store.results = [Batch([Entry("a", b"1", 4)], 5)]
        self.assertTrue(self.follower.refresh())
        self.assertEqual(self.get_applied(), [("a", b"1")])
        self.assertEqual(self.store.anew, [False, True])
        self.assertEqual(self.recoveries, [])

    def test_refresh_lists_after_expired_history(self):
        self.follow(Listing([], 4))
        self.store.results = [HistoryExpired("4"), Listing([Entry("a", b"1", 8)], 9)]
        self.assertTrue(self.follower.refresh())
        self.assertEqual(self.get_applied(), [("a", b"1")])
        self.assertEqual(self.follower.end, 9)

    def test_refresh_lists_in_another_era(self):
        self.follow(Listing([], 4, era=1))
        self.store.results = [Batch([], 4, era=2), Listing([Entry("a", b"1", 2)], 4, 2)]
        self.assertTrue(self.follower.refresh())
        self.assertEqual(self.get_applied(), [("a", b"1")])
        self.assertEqual(self.recoveries, [7.0])

    def test_refresh_is_repeated_after_a_timeout(self):
        self.follow(Listing([], 4))
        self.store.results = [StoreTimeout("timeout"), Batch([], 4)]
        self.assertTrue(self.follower.refresh())
        self.assertEqual(self.recoveries, [])

    def test_second_refresh_timeout_is_an_outage(self):
        self.follow(Listing([], 4))
        timeout = StoreTimeout("timeout")
        self.store.results = [timeout, timeout, Batch([], 4)]
        self.assertFalse(self.follower.refresh())
        self.assertTrue(self.follower.refresh())
        self.assertEqual(self.recoveries, [7.0])

    def test_outage_marked_by_another_topic(self):
        self.follow(Listing([], 4))
        self.follower.mark_outage()
        self.store.results = [Batch([], 4)]
        self.follower.follow_once()
        self.assertEqual(self.recoveries, [7.0])

    def test_active_call_is_waiting_and_overdue(self):
        now = []
        self.follow(Listing([], 4))
        self.store.read = lambda *args, **more: now.extend(
            (
                self.follower.is_waiting(7.1, 0.2),
                self.follower.is_waiting(7.5, 0.2),
                self.follower.is_overdue(8.1),
                self.follower.is_overdue(8.5),
            )
        )
        self.follower.follow_once()
        self.assertEqual(now, [False, True, False, True])
        self.assertFalse(self.follower.is_waiting(99.0, 0.2))
        self.assertFalse(self.follower.is_overdue(99.0))


class TestAges(FollowerCase):
    def test_timeout_is_logged(self):
        self.follow(Listing([], 4), StoreTimeout("timeout"), PlatformUnavailable("no"))
        self.assertEqual(self.log.events.count("store call unanswered"), 1)

    def test_age_counts_from_the_start_of_the_call(self):
        self.follow()
        self.assertIsNone(self.follower.get_age(9.0))
        self.follow(Listing([], 4))
        self.assertEqual(self.follower.get_age(9.0), 2.0)


class RecordingEvent:
    """An event that records the wait times and returns from each wait at once."""

    def __init__(self, max_count):
        self.waits = []
        self._max_count = max_count

    def is_set(self):
        return len(self.waits) >= self._max_count

    def wait(self, seconds):
        self.waits.append(seconds)


class TestLongOutages(FollowerCase):
    def test_retry_delay_is_at_most_one_second(self):
        # Time limits for hosts that reach the store count from the end of the outage.
        self.follow(Listing([], 1))
        self.store.results = [PlatformUnavailable("down")] * 40
        stopped = RecordingEvent(40)
        self.follower.run(stopped)
        self.assertEqual(max(stopped.waits), 1.0)


class TestListingFromPeer(FollowerCase):
    def test_newer_listing_of_a_peer_is_merged(self):
        self.follow(Listing([Entry("a", b"1", 3), Entry("b", b"1", 2)], 4))
        self.follower.adopt(Listing([Entry("a", b"2", 6)], 7))
        self.assertEqual(self.get_applied()[2:], [("a", b"2"), ("b", None)])
        self.assertEqual(self.follower.end, 7)

    def test_older_listing_of_a_peer_changes_nothing(self):
        self.follow(Listing([Entry("a", b"2", 6), Entry("b", b"1", 5)], 7))
        self.follower.adopt(Listing([Entry("a", b"1", 3)], 4))
        self.assertEqual(len(self.applied), 2)
        self.assertEqual(self.follower.end, 7)

    def test_listing_for_a_peer(self):
        self.follow(Listing([Entry("a", b"2", 6)], 7))
        self.assertEqual(self.follower.get_listing(), Listing([Entry("a", b"2", 6)], 7))


class TestBatchesForPeers(FollowerCase):
    def setUp(self):
        self.follow(
            Listing([Entry("a", b"1", 3), Entry("b", b"1", 2)], 4),
            Batch([Entry("a", b"2", 4), Entry("b", None, 5)], 6),
        )

    def test_batch_contains_later_changes(self):
        self.assertEqual(
            self.follower.get_batch(4),
            Batch([Entry("a", b"2", 4), Entry("b", None, 5)], 6),
        )
        self.assertEqual(self.follower.get_batch(6), Batch([], 6))

    def test_listing_omits_removed_keys(self):
        self.assertEqual(self.follower.get_listing().entries, [Entry("a", b"2", 4)])

    def test_discarded_removals_require_a_listing(self):
        rows = [Entry(f"k{n}", None, 6 + n) for n in range(2_100)]
        self.follower.adopt_batch(Batch(rows, 2_106))
        self.assertIsNone(self.follower.get_batch(4))
        self.assertIsNotNone(self.follower.get_batch(2_000))

    def test_batch_of_a_peer_is_not_read_again(self):
        self.follower.adopt_batch(Batch([Entry("c", b"1", 6)], 7))
        self.store.results.append(Batch([], 7))
        self.follower.follow_once()
        self.assertEqual(self.store.reads[-1], 7)

    def test_older_batch_of_a_peer_changes_nothing(self):
        self.follower.adopt_batch(Batch([Entry("b", b"old", 2)], 3))
        self.assertEqual(self.follower.end, 6)
        self.assertEqual(self.follower.get_listing().entries, [Entry("a", b"2", 4)])
