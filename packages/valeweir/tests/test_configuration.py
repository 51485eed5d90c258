import unittest

import msgspec
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from valeweir.configuration import Configuration, View, decode_record
from valeweir.resources import Change

SPEC = {"partner": "p", "key_hashes": []}


def make_change(number, base=0, name="a", spec=SPEC):
    return Change(
        id=f"c{number}", kind="client-accounts", name=name, base=base, spec=spec
    )


class TestApplyingChanges(unittest.TestCase):
    def test_change_is_accepted_at_its_offset(self):
        cfg = Configuration()
        self.assertEqual(cfg.apply_change(0, make_change(1)), (True, "", 0))
        self.assertEqual(cfg.get("client-accounts", "a").version, 0)

    def test_invalid_changes_are_rejected(self):
        cases = [
            (make_change(2, base=5), "conflict"),
            (make_change(2, base=3, spec={"partner": 3}), "invalid"),
            (make_change(2, base=3, spec={**SPEC, "odd": 1}), "invalid"),
            (
                Change(id="c", kind="odd", name="a", base=0, spec={}),
                "unknown kind",
            ),
        ]
        for rejected, why in cases:
            with self.subTest(why=why):
                cfg = Configuration()
                cfg.apply_change(3, make_change(1))
                self.assertEqual(cfg.apply_change(4, rejected).why, why)
                self.assertEqual(cfg.get("client-accounts", "a").version, 3)

    def test_repeated_change_id_is_applied_once(self):
        cfg = Configuration()
        first = cfg.apply_change(0, make_change(1))
        self.assertEqual(cfg.apply_change(1, make_change(1)), first)
        self.assertEqual(cfg.get("client-accounts", "a").version, 0)

    def test_record_before_the_offset_changes_nothing(self):
        cfg = Configuration()
        cfg.apply_change(0, make_change(1))
        cfg.apply_change(1, make_change(2, base=0, spec=None))
        self.assertEqual(cfg.apply_change(0, make_change(1)), (True, "", 0))
        self.assertEqual(cfg.offset, 2)

    def test_older_view_is_never_adopted(self):
        cfg = Configuration()
        cfg.apply_change(0, make_change(1))
        old = cfg.get_view()
        cfg.apply_change(1, make_change(2, base=0, name="b"))
        self.assertFalse(cfg.adopt(old))
        self.assertIsNotNone(cfg.get("client-accounts", "b"))

    @seed(7)
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 8),
                st.integers(0, 6),
                st.sampled_from("ab"),
                st.booleans(),
            ),
            max_size=30,
        ),
        st.integers(0, 30),
    )
    def test_snapshot_and_log_give_equal_configurations(self, rows, snapshot_offset):
        records = [
            make_change(n, base, name, None if deleted else SPEC)
            for n, base, name, deleted in rows
        ]
        one, other = Configuration(), Configuration()
        for offset, record in enumerate(records):
            one.apply_change(offset, record)
            if offset == min(snapshot_offset, len(records) - 1):
                data = msgspec.msgpack.encode(one.get_view())
                other.adopt(msgspec.msgpack.decode(data, type=View))
        for offset, record in enumerate(records):
            other.apply_change(offset, record)
        self.assertEqual(one.resources, other.resources)
        self.assertEqual(one.verdicts, other.verdicts)


class TestDecodeRecord(unittest.TestCase):
    def test_unknown_records_are_ignored(self):
        for body in ({}, {"change": 1}, {"snapshot": {}}, {"x": {}}):
            with self.subTest(body=body):
                self.assertEqual(decode_record(body), ("other", None))
