import itertools
import unittest

from valeweir_gateway.stores import Position
from valeweir_gateway.view.topics import (
    Batch,
    Entry,
    Listing,
    TopicRecords,
    restore_highest_ranked,
)

KEY = "config"


def rank(entry):
    """Return the version of a configuration, which is its value here."""
    if entry.key != KEY:
        return None
    return -1 if entry.value in (None, b"bad") else int(entry.value)


def make(version, offset, key=KEY):
    value = version if isinstance(version, bytes) else str(version).encode()
    return Entry(key, value, offset)


class TopicCase(unittest.TestCase):
    def setUp(self):
        self.records, self.applied = self.make_records()

    def make_records(self):
        applied = []
        return TopicRecords(applied.append, rank=rank), applied

    def get_value(self, records=None, key=KEY):
        listing = (records or self.records).get_listing()
        return next(row.value for row in listing.entries if row.key == key)


# Guards against an older version that is written again after a newer one.
class TestRankedKeys(TopicCase):
    rows = [make(4, 0), make(9, 1), make(11, 2), make(5, 3)]

    def test_highest_version_is_kept(self):
        self.records.merge_batch(Batch(self.rows, 4))
        self.assertEqual(self.get_value(), b"11")
        self.assertEqual(self.records.end, 4)

    def test_batch_for_a_peer_contains_the_highest(self):
        self.records.merge_batch(Batch(self.rows, 4))
        for known in range(4):
            with self.subTest(known=known):
                other, _ = self.make_records()
                other.merge_batch(Batch(self.rows[:known], known))
                other.merge_batch(self.records.get_batch(known))
                self.assertEqual(self.get_value(other), b"11")

    def test_any_order_of_listings_and_batches(self):
        steps = [
            lambda records: records.merge_batch(Batch(self.rows[:2], 2)),
            lambda records: records.merge_batch(Batch(self.rows[2:], 4)),
            lambda records: records.merge_listing(Listing([make(5, 3)], 4)),
            lambda records: records.merge_listing(Listing([make(11, 2)], 3)),
        ]
        for order in itertools.permutations(steps):
            records, _ = self.make_records()
            for step in order:
                step(records)
            self.assertEqual(self.get_value(records), b"11")

    def test_repeated_version_gets_the_newer_offset(self):
        self.records.merge_batch(Batch([make(11, 0), make(11, 1)], 2))
        self.assertEqual(self.records.get_batch(1).entries, [make(11, 1)])

    def test_undecodable_version_ranks_lowest(self):
        self.records.merge_batch(Batch([make(11, 0), make(b"bad", 1)], 2))
        self.assertEqual(self.get_value(), b"11")
        self.records.merge_batch(Batch([make(12, 2)], 3))
        self.assertEqual(self.get_value(), b"12")

    def test_unranked_keys_are_ordered_by_offset(self):
        rows = [make(9, 0, "other"), make(5, 1, "other")]
        self.records.merge_batch(Batch(rows, 2))
        self.assertEqual(self.get_value(key="other"), b"5")

    def test_unapplied_record_keeps_its_place_with_a_newer_offset(self):
        errors = [ValueError()]

        def apply(entry):
            if entry.value == b"11" and errors:
                raise errors[0]

        records = TopicRecords(apply, rank=rank)
        records.merge_batch(Batch(self.rows, 4))
        self.assertEqual(records.get_unapplied(), [make(11, 3)])
        errors.clear()
        records.retry_unapplied(records.get_unapplied())
        self.assertEqual(records.get_unapplied(), [])


class TestRestoreHighestRanked(unittest.TestCase):
    def test_listing_with_history(self):
        listing = Listing([make(5, 3), make(1, 2, "other")], 4)
        history = [make(9, 0), make(11, 1), make(7, 0, "other")]
        restored = restore_highest_ranked(listing, history, rank)
        self.assertEqual(restored.entries, [make(11, 3), make(1, 2, "other")])
        self.assertEqual(restored.end, 4)

    def test_listing_without_history(self):
        listing = Listing([make(5, 3)], 4)
        self.assertEqual(restore_highest_ranked(listing, [], rank), listing)


# Guards against offsets of an earlier era that are compared with those of a later one.
class TestEras(TopicCase):
    def setUp(self):
        super().setUp()
        rows = [make(4, 0), make(9, 1), make(1, 2, "other"), make(1, 3, "lost")]
        self.records.merge_listing(Listing(rows, 20, era=1))
        self.applied.clear()

    def test_shorter_listing_of_a_later_era_replaces_the_view(self):
        rows = [make(9, 1), make(2, 5, "other")]
        self.assertTrue(self.records.merge_listing(Listing(rows, 6, era=2)))
        self.assertEqual(self.records.position, Position(2, 6))
        self.assertEqual(self.get_value(key="other"), b"2")
        keys = {entry.key for entry in self.records.get_listing().entries}
        self.assertEqual(keys, {KEY, "other"})

    def test_version_never_reverts(self):
        for end in (0, 2, 30):
            with self.subTest(end=end):
                rows = [make(4, 0)] if end else []
                era = self.records.era + 1
                self.records.merge_listing(Listing(rows, end, era))
                self.assertEqual(self.get_value(), b"9")

    def test_answer_of_an_earlier_era_adds_only_higher_versions(self):
        self.records.merge_listing(Listing([make(9, 1)], 2, era=2))
        late = [make(11, 21), make(3, 22, "other")]
        self.assertFalse(self.records.merge_listing(Listing(late, 23, era=1)))
        self.assertFalse(self.records.merge_batch(Batch(late, 23, era=1)))
        self.assertEqual(self.get_value(), b"11")
        self.assertEqual(self.records.position, Position(2, 2))
        self.assertEqual(len(self.records.get_listing().entries), 1)

    def test_batch_of_a_later_era_does_not_move_the_position(self):
        self.assertFalse(self.records.merge_batch(Batch([], 25, era=2)))
        self.assertEqual(self.records.position, Position(1, 20))

    def test_peers_of_another_era_get_a_listing(self):
        self.records.merge_listing(Listing([make(9, 1)], 2, era=2))
        self.assertIsNone(self.records.get_batch(20, era=1))
        self.assertIsNone(self.records.get_batch(1, era=2))
        self.assertEqual(self.records.get_batch(2, era=2), Batch([], 2, era=2))

    def test_twice_in_a_row(self):
        for era, end in ((2, 12), (3, 3), (4, 40)):
            self.records.merge_listing(Listing([make(5, 1, "other")], end, era))
            self.assertEqual(self.records.position, Position(era, end))
        self.assertEqual(self.get_value(), b"9")
        self.assertEqual(self.get_value(key="other"), b"5")


# Guards against records that revert after a restore until they are written again.
class TestRestoredRecords(unittest.TestCase):
    def setUp(self):
        self.applied = {}
        self.records = TopicRecords(
            lambda entry: self.applied.update({entry.key: entry.value}),
            keeps=lambda entry: entry.key not in ("plain", "left"),
            withholds=lambda entry, known: entry.key != "plain" and not known.value,
        )
        rows = [Entry(key, b"1", 0) for key in ("lost", "plain", "left", "stays")]
        self.records.merge_listing(Listing(rows, 8, era=1))
        self.records.merge_batch(Batch([Entry("back", b"1", 8)], 9, era=1))
        self.records.merge_batch(Batch([Entry("back", None, 9)], 10, era=1))

    def restore(self, *rows, era=2):
        rows = [Entry("stays", b"1", 0), *rows]
        self.records.merge_listing(Listing(rows, 5, era))

    def test_lost_record_is_kept_until_the_view_settles(self):
        self.restore()
        self.assertEqual(self.applied["lost"], b"1")
        self.assertIsNone(self.applied["plain"])
        self.records.settle()
        self.assertIsNone(self.applied["lost"])

    def test_record_that_is_written_again_stays(self):
        self.restore()
        self.records.merge_batch(Batch([Entry("lost", b"2", 5)], 6, era=2))
        self.records.settle()
        self.assertEqual(self.applied["lost"], b"2")

    def test_removed_record_is_withheld_until_the_view_settles(self):
        self.restore(Entry("back", b"1", 4))
        self.assertIsNone(self.applied["back"])
        self.records.settle()
        self.assertEqual(self.applied["back"], b"1")

    def test_removal_that_is_written_again_ends_the_withholding(self):
        self.restore(Entry("back", b"1", 4))
        self.records.merge_batch(Batch([Entry("back", None, 5)], 6, era=2))
        self.records.settle()
        self.assertIsNone(self.applied["back"])

    def test_new_record_of_a_removed_key_is_applied(self):
        self.restore(Entry("back", b"1", 4))
        self.records.merge_batch(Batch([Entry("back", b"2", 5)], 6, era=2))
        self.assertEqual(self.applied["back"], b"2")

    # A gateway that had been paused learned of a removal by a peer's listing only, and
    # took the upstream from the next copy.
    def test_key_that_a_copy_lacked_is_withheld_in_the_next(self):
        self.restore()
        self.restore(Entry("left", b"1", 1), Entry("plain", b"1", 2), era=3)
        self.assertIsNone(self.applied["left"])
        self.assertEqual(self.applied["plain"], b"1")

    def test_first_era_is_no_restore(self):
        self.records.era = 0
        self.restore(Entry("back", b"1", 4), era=1)
        self.assertIsNone(self.applied["lost"])
        self.assertEqual(self.applied["back"], b"1")

    def test_peers_get_what_the_store_has(self):
        self.restore(Entry("back", b"1", 4))
        keys = {entry.key for entry in self.records.get_listing().entries}
        self.assertEqual(keys, {"stays", "back"})
        self.records.merge_listing(self.records.get_listing())
        self.assertIsNone(self.applied["back"])
        self.assertEqual(self.applied["lost"], b"1")
