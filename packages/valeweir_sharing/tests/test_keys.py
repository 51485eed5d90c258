import itertools
import unittest

from valeweir_sharing.keys import (
    RETENTION,
    Claimed,
    KeyTable,
    get_holders,
    judge_claim,
)

GRANTED, KNOWN, YOUNG = Claimed.GRANTED, Claimed.KNOWN, Claimed.YOUNG


def make_tables(count=3):
    tables = [KeyTable() for _ in range(count)]
    for table in tables:
        table.complete = True
    return tables


class TestKeyTable(unittest.TestCase):
    def test_first_claim_wins_and_may_be_repeated_by_itself(self):
        (table,) = make_tables(1)
        answers = [table.claim("k", r, 0.0) for r in ("r1", "r1", "r2")]
        self.assertEqual(answers, [GRANTED, GRANTED, KNOWN])

    def test_released_key_can_be_claimed_again_but_only_by_its_owner(self):
        (table,) = make_tables(1)
        table.claim("k", "r1", 0.0)
        table.release("k", "r2")
        self.assertEqual(table.claim("k", "r2", 0.0), KNOWN)
        table.release("k", "r1")
        self.assertEqual(table.claim("k", "r2", 0.0), GRANTED)

    def test_empty_holder_counts_for_nothing_until_it_has_learned(self):
        old, new = make_tables(1)[0], KeyTable()
        old.claim("k", "r1", 5.0)
        self.assertEqual(new.claim("x", "r9", 6.0), YOUNG)
        new.merge(old.get_rows(6.0), 100.0)
        new.complete = True
        self.assertEqual(new.claim("k", "r2", 100.0), KNOWN)

    def test_claims_expire(self):
        (table,) = make_tables(1)
        table.claim("k", "r1", 0.0)
        table.expire(RETENTION + 1)
        self.assertEqual(table.records, {})


class TestClaims(unittest.TestCase):
    def test_verdicts(self):
        cases = [
            ({"a": GRANTED, "b": GRANTED}, 3, True),
            ({"a": GRANTED}, 3, None),
            ({"a": GRANTED, "b": KNOWN}, 3, False),
            ({"a": GRANTED, "b": YOUNG, "c": YOUNG}, 3, None),
            ({"a": GRANTED}, 1, True),
            ({"a": GRANTED, "b": GRANTED}, 2, True),
            ({}, 3, None),
        ]
        for answers, holders, expected in cases:
            with self.subTest(answers=answers, holders=holders):
                self.assertIs(judge_claim(answers, holders), expected)

    def test_two_requests_never_both_go_ahead(self):
        """Every interleaving of two claims over three holders, with losses.

        Each message reaches its holder or is lost; holders are met in any
        order; one holder may restart empty at any point.
        """
        steps = [(r, h) for r in ("r1", "r2") for h in range(3)]
        checked = 0
        for order in itertools.permutations(steps):
            for lost in range(1 << len(steps)):
                if bin(lost).count("1") > 2:
                    continue
                answers = {"r1": {}, "r2": {}}
                tables = make_tables()
                for number, (request, holder) in enumerate(order):
                    if lost >> number & 1:
                        continue
                    answer = tables[holder].claim("k", request, 0.0)
                    answers[request][holder] = answer
                sent = [r for r in answers if judge_claim(answers[r], 3)]
                self.assertLessEqual(len(sent), 1)
                checked += 1
        self.assertGreater(checked, 10_000)

    def test_restarted_holder_lets_no_second_run_through(self):
        for restarted in range(3):
            tables = make_tables()
            for table in tables[:2]:
                table.claim("k", "r1", 0.0)
            tables[restarted] = KeyTable()
            answers = {n: table.claim("k", "r2", 1.0) for n, table in enumerate(tables)}
            self.assertIsNot(judge_claim(answers, 3), True)

    def test_holders_are_the_same_whoever_asks(self):
        members = [f"h{i}" for i in range(9)]
        for key in (b"a", b"b", b"c"):
            self.assertEqual(
                get_holders(key, members), get_holders(key, reversed(members))
            )
        self.assertEqual(len(get_holders(b"a", members)), 3)
