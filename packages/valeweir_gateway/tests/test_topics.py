import itertools
import unittest

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
