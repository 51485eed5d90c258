import itertools
import unittest

from valeweir_sharing.idempotency_keys import (
    RETENTION_S,
    ClaimAnswer,
    KeyTable,
    evaluate_claim,
    get_holders,
)

GRANTED, DUPLICATE, INCOMPLETE = (
    ClaimAnswer.GRANTED,
    ClaimAnswer.DUPLICATE,
    ClaimAnswer.INCOMPLETE,
)


def make_tables(count=3):
    tables = [KeyTable() for _ in range(count)]
    for table in tables:
        table.complete = True
    return tables


class TestKeyTable(unittest.TestCase):
    def test_first_claim_wins_and_can_be_repeated(self):
        (table,) = make_tables(1)
        answers = [table.claim("k", r, 0.0) for r in ("r1", "r1", "r2")]
        self.assertEqual(answers, [GRANTED, GRANTED, DUPLICATE])

    def test_only_the_claiming_request_can_release_a_key(self):
        (table,) = make_tables(1)
        table.claim("k", "r1", 0.0)
        table.release("k", "r2")
        self.assertEqual(table.claim("k", "r2", 0.0), DUPLICATE)
        table.release("k", "r1")
        self.assertEqual(table.claim("k", "r2", 0.0), GRANTED)

    def test_incomplete_holder_is_not_counted_until_it_has_merged(self):
        old, new = make_tables(1)[0], KeyTable()
        old.claim("k", "r1", 5.0)
        self.assertEqual(new.claim("x", "r9", 6.0), INCOMPLETE)
        new.merge(old.get_rows(6.0), 100.0)
        new.complete = True
        self.assertEqual(new.claim("k", "r2", 100.0), DUPLICATE)

    def test_claims_expire(self):
        (table,) = make_tables(1)
        table.claim("k", "r1", 0.0)
        table.expire(RETENTION_S + 1)
        self.assertEqual(table.records, {})


class TestClaimEvaluation(unittest.TestCase):
    def test_evaluation_of_answers(self):
        cases = [
            ({"a": GRANTED, "b": GRANTED}, 3, True),
            ({"a": GRANTED}, 3, None),
            ({"a": GRANTED, "b": DUPLICATE}, 3, False),
            ({"a": GRANTED, "b": INCOMPLETE, "c": INCOMPLETE}, 3, None),
            ({"a": GRANTED}, 1, True),
            ({"a": GRANTED, "b": GRANTED}, 2, True),
            ({}, 3, None),
        ]
        for answers, holder_count, expected in cases:
            with self.subTest(answers=answers, holder_count=holder_count):
                self.assertIs(evaluate_claim(answers, holder_count), expected)

    def test_two_requests_are_never_both_sent(self):
        """Tries all interleavings of two claims at three holders with lost messages.

        Claims reach the holders in any order, and up to two of them are lost.
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
                sent = [r for r in answers if evaluate_claim(answers[r], 3)]
                self.assertLessEqual(len(sent), 1)
                checked += 1
        self.assertGreater(checked, 10_000)

    def test_restarted_holder_allows_no_second_call(self):
        for restarted in range(3):
            tables = make_tables()
            for table in tables[:2]:
                table.claim("k", "r1", 0.0)
            tables[restarted] = KeyTable()
            answers = {n: table.claim("k", "r2", 1.0) for n, table in enumerate(tables)}
            self.assertIsNot(evaluate_claim(answers, 3), True)

    def test_holders_do_not_depend_on_the_order_of_members(self):
        members = [f"h{i}" for i in range(9)]
        for key in (b"a", b"b", b"c"):
            self.assertEqual(
                get_holders(key, members), get_holders(key, reversed(members))
            )
        self.assertEqual(len(get_holders(b"a", members)), 3)
