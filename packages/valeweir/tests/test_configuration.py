import unittest

import msgspec
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from valeweir.configuration import Configuration, View, decode_record
from valeweir.resources import Change

SPEC = {"partner": "p", "key_hashes": []}


def change(number, base=0, name="a", spec=SPEC):
    return Change(
        id=f"c{number}", kind="client-accounts", name=name, base=base, spec=spec
    )


class TestFold(unittest.TestCase):
    def test_change_is_accepted_at_its_offset(self):
        cfg = Configuration()
        self.assertEqual(cfg.fold(0, change(1)), (True, "", 0))
        self.assertEqual(cfg.get("client-accounts", "a").version, 0)

    def test_refusals(self):
        cases = [
            (change(2, base=5), "conflict"),
            (change(2, base=3, spec={"partner": 3}), "invalid"),
            (change(2, base=3, spec={**SPEC, "odd": 1}), "invalid"),
            (
                Change(id="c", kind="odd", name="a", base=0, spec={}),
                "unknown kind",
            ),
        ]
        for refused, why in cases:
            with self.subTest(why=why):
                cfg = Configuration()
                cfg.fold(3, change(1))
                self.assertEqual(cfg.fold(4, refused).why, why)
                self.assertEqual(cfg.get("client-accounts", "a").version, 3)

    def test_repeated_change_id_counts_once(self):
        cfg = Configuration()
        first = cfg.fold(0, change(1))
        self.assertEqual(cfg.fold(1, change(1)), first)
        self.assertEqual(cfg.get("client-accounts", "a").version, 0)

    def test_record_folded_before_changes_nothing(self):
        cfg = Configuration()
        cfg.fold(0, change(1))
        cfg.fold(1, change(2, base=0, spec=None))
        self.assertEqual(cfg.fold(0, change(1)), (True, "", 0))
        self.assertEqual(cfg.offset, 2)

    def test_older_view_is_never_adopted(self):
        cfg = Configuration()
        cfg.fold(0, change(1))
        old = cfg.get_view()
        cfg.fold(1, change(2, base=0, name="b"))
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
    def test_all_routers_agree_whatever_way_they_learn(self, rows, cut):
        records = [
            change(n, base, name, None if gone else SPEC)
            for n, base, name, gone in rows
        ]
        one, other = Configuration(), Configuration()
        for offset, record in enumerate(records):
            one.fold(offset, record)
            if offset == min(cut, len(records) - 1):
                data = msgspec.msgpack.encode(one.get_view())
                other.adopt(msgspec.msgpack.decode(data, type=View))
        for offset, record in enumerate(records):
            other.fold(offset, record)
        self.assertEqual(one.resources, other.resources)
        self.assertEqual(one.verdicts, other.verdicts)


class TestRecords(unittest.TestCase):
    def test_foreign_records_are_passed_over(self):
        for body in ({}, {"change": 1}, {"snapshot": {}}, {"x": {}}):
            with self.subTest(body=body):
                self.assertEqual(decode_record(body), ("other", None))
