import unittest

from hypothesis import given
from hypothesis import strategies as st
from valeweir_gateway.admission.shares import (
    AccountShare,
    Shares,
    compute_pass_rate,
    compute_share_factor,
)
from valeweir_gateway.admission.usage import UsageWindow, compute_share_level
from valeweir_gateway.digests import get_digest
from valeweir_gateway.fleet.totals import Totals
from valeweir_gateway.settings import Sharing

INFINITE = float("inf")
PAIRS = st.tuples(st.integers(0, 99), st.integers(0, 99))
AMOUNTS = st.lists(st.floats(0.0, 1e6), min_size=1, max_size=30)


def record(shares, account, cost, begun, now):
    shares.count_asked_tokens(account, cost, now)
    if begun:
        shares.count_begun_tokens(account, cost, now)


class TestShareLevel(unittest.TestCase):
    def test_table(self):
        cases = [
            ([10, 10], 100, float("inf")),
            ([10, 90], 50, 40),
            ([90, 90], 60, 30),
            ([5, 20, 90], 45, 20),
        ]
        for asked, capacity, level in cases:
            with self.subTest(asked=asked):
                self.assertAlmostEqual(compute_share_level(asked, capacity), level)

    @given(AMOUNTS, st.floats(1.0, 1e6))
    def test_capacity_is_divided_exactly(self, asked, capacity):
        level = compute_share_level(asked, capacity)
        divided = sum(min(amount, level) for amount in asked)
        self.assertAlmostEqual(
            divided, min(capacity, sum(asked)), delta=1e-6 * (1 + sum(asked))
        )

    @given(AMOUNTS, st.floats(1.0, 1e6))
    def test_demand_below_an_even_share_is_met(self, asked, capacity):
        level = compute_share_level(asked, capacity)
        for amount in asked:
            if amount < capacity / len(asked) * (1 - 1e-9):
                self.assertGreaterEqual(level, amount)


class TestUsageWindow(unittest.TestCase):
    def setUp(self):
        self.usage = UsageWindow(4.0)

    def test_old_usage_expires(self):
        self.usage.add(1, 100, 50, 0.0)
        self.usage.add(1, 10, 10, 3.0)
        self.assertEqual(self.usage.get_token_usage(3.0)[1], (110, 60))
        self.assertEqual(self.usage.get_token_usage(5.0)[1], (10, 10))
        self.assertEqual(self.usage.get_token_usage(9.0), {})

    @given(st.lists(st.tuples(st.integers(1, 3), st.floats(0, 20)), max_size=40))
    def test_sums_are_never_negative(self, rows):
        usage = UsageWindow(4.0)
        for account, at in sorted(rows, key=lambda row: row[1]):
            usage.add(account, 5, 3, at)
            for amount in usage.get_token_usage(at).values():
                self.assertGreaterEqual(amount.asked, amount.begun)
                self.assertGreater(amount.begun, 0)


class TestTotals(unittest.TestCase):
    def make_totals(self, loads, usage, gateways):
        totals = Totals()
        totals.add(loads, usage, gateways)
        return totals

    def test_subtracting_a_part_leaves_the_rest(self):
        one = self.make_totals({1: (10, 1)}, {7: (5, 3)}, 1)
        both = one.joined(self.make_totals({1: (4, 2), 2: (9, 9)}, {7: (1, 1)}, 3))
        self.assertEqual(both.loads, {1: (14, 3), 2: (9, 9)})
        rest = both.without(one)
        self.assertEqual(rest.loads, {1: (4, 2), 2: (9, 9)})
        self.assertEqual(rest.usage, {7: (1, 1)})
        self.assertEqual(rest.gateways, 3)
        self.assertEqual(one.loads, {1: (10, 1)})

    def test_subtracting_an_older_report_is_never_negative(self):
        now = self.make_totals({1: (1, 1)}, {}, 1)
        before = self.make_totals({1: (5, 0), 3: (2, 2)}, {9: (1, 1)}, 2)
        rest = now.without(before)
        self.assertEqual(rest.loads, {1: (0, 1)})
        self.assertEqual((rest.usage, rest.gateways), ({}, 0))

    @given(st.lists(st.dictionaries(st.integers(0, 9), PAIRS, max_size=6)))
    def test_order_and_grouping_do_not_matter(self, tables):
        flat = Totals()
        for table in tables:
            flat.add(table, {}, 1)
        halves = Totals()
        for part in (tables[::2], tables[1::2]):
            group = Totals()
            for table in part:
                group.add(table, {}, 1)
            halves.add(group.loads, {}, group.gateways)
        self.assertEqual(flat.loads, halves.loads)
        self.assertEqual(flat.gateways, halves.gateways)


class TestShares(unittest.TestCase):
    def setUp(self):
        self.shares = Shares(UsageWindow(4.0), Sharing(window=4.0))

    def test_usual_wait_limit_while_all_demand_is_met(self):
        record(self.shares, "big", 100, True, 1.0)
        record(self.shares, "small", 10, True, 1.0)
        self.assertEqual(
            self.shares.get_share_status("big", 100, 1.1).share_factor, 1.0
        )
        self.assertEqual(self.shares.get_share_level(), float("inf"))

    def test_only_accounts_beyond_the_level_have_a_lower_limit(self):
        record(self.shares, "big", 900, True, 1.0)
        record(self.shares, "big", 900, False, 1.0)
        record(self.shares, "small", 100, True, 1.0)
        record(self.shares, "small", 600, False, 1.0)
        self.assertLess(self.shares.get_share_status("big", 0, 1.1).share_factor, 1.0)
        self.assertEqual(
            self.shares.get_share_status("small", 0, 1.1).share_factor, 1.4
        )
        self.assertEqual(self.shares.get_share_status("new", 0, 1.1).share_factor, 1.4)

    def test_usage_at_other_gateways_counts(self):
        for _ in range(2):
            # Figures are absolute, so a repeated report counts once.
            self.shares.set_remote({get_digest("big"): (1_800, 900)})
            record(self.shares, "small", 350, False, 1.0)
        self.assertLess(self.shares.get_share_status("big", 0, 1.1).share_factor, 1.0)
        self.shares.set_remote({})
        self.assertEqual(self.shares.get_share_status("big", 0, 1.3).share_factor, 1.4)

    def test_starved_account_takes_precedence(self):
        shares = self.shares
        for _ in range(60):
            record(shares, "heavy", 100, True, 1.0)
            record(shares, "starved", 100, False, 1.0)
        record(shares, "starved", 100, True, 1.0)
        record(shares, "small", 100, True, 1.0)

        def get_pass_rate(account, crowding):
            share = shares.get_share_status(account, 100, 1.1).share
            return compute_pass_rate(share, 100, crowding)

        self.assertLess(get_pass_rate("heavy", 1.0), 0.15)
        self.assertGreater(get_pass_rate("starved", 1.0), 0.5)
        self.assertEqual(get_pass_rate("starved", 0.0), 1.0)
        self.assertEqual(get_pass_rate("small", 1.0), 1.0)
        heavy = shares.get_share_status("heavy", 100, 1.1)
        starved = shares.get_share_status("starved", 100, 1.1)
        self.assertGreater(starved.share_factor, 10 * heavy.share_factor)

    def test_all_attempts_pass_while_all_get_their_share(self):
        shares = self.shares
        for _ in range(60):
            record(shares, "heavy", 100, True, 1.0)
            record(shares, "other", 100, True, 1.0)
            record(shares, "other", 100, False, 1.0)
        share = shares.get_share_status("heavy", 100, 1.1).share
        self.assertEqual(compute_pass_rate(share, 100, 1.0), 1.0)

    def test_factor_falls_with_use(self):
        cases = [(0.0, 1.4), (0.5, 1.4), (0.75, 1.2), (1.0, 1.0), (1.1, 0.7), (9, 0.25)]
        for used_ratio, factor in cases:
            with self.subTest(used_ratio=used_ratio):
                share = AccountShare(100 * used_ratio, 100 * used_ratio, 0, 100.0)
                self.assertAlmostEqual(compute_share_factor(share, 10), factor)

    @given(st.floats(0.0, 10.0), st.floats(0.0, 10.0), st.floats(0.0, 5.0))
    def test_factor_never_rises_with_use(self, first, second, cost):
        low, high = sorted((first, second))
        factors = [
            compute_share_factor(AccountShare(9.0, used_ratio, 0, 1.0), cost)
            for used_ratio in (low, high)
        ]
        self.assertGreaterEqual(*factors)

    def test_starved_accounts_have_the_highest_factor(self):
        cases = {
            "nothing begun": (AccountShare(100, 0, 0, 200.0), 2.9),
            "short by one request": (AccountShare(100, 70, 0, 200.0), 2.15),
            "most of its share": (AccountShare(100, 80, 0, 200.0), 1.4),
            "no demand": (AccountShare(0, 0, 0, 200.0), 1.4),
            "half of the level": (AccountShare(900, 100, 0, 200.0), 2.9),
        }
        for name, (share, factor) in cases.items():
            with self.subTest(name):
                self.assertAlmostEqual(compute_share_factor(share, 10), factor)

    def test_declared_rate_alone_raises_no_factor(self):
        record(self.shares, "big", 900, True, 1.0)
        record(self.shares, "small", 300, False, 1.0)
        status = self.shares.get_share_status("big", 100, 1.1, 1_000)
        self.assertLess(status.share_factor, 1.0)
        self.assertEqual(status.share.declared_level, float("inf"))
        self.assertEqual(self.shares.get_share_level(), 600)
        self.assertGreater(
            self.shares.get_share_status("small", 100, 1.1).share_factor, 1.4
        )


ACCOUNT_SHARES = st.builds(
    AccountShare, st.floats(0, 1e6), st.floats(0, 1e6), st.just(0), st.floats(0, 1e6)
)


class TestPassRate(unittest.TestCase):
    def test_table(self):
        cases = {
            "all demand is met": (AccountShare(900, 900, 0, None), 1.0, 1.0),
            "demand below its share": (AccountShare(80, 10, 0, 100.0), 1.0, 1.0),
            "demand of ten shares": (AccountShare(1_000, 90, 0, 100.0), 1.0, 0.11),
            "demand of ten shares, engines idle": (
                AccountShare(1_000, 90, 0, 100.0),
                0.0,
                0.81,
            ),
            "twice its share begun": (
                AccountShare(1_000, 200, 0, 100.0),
                1.0,
                0.0275,
            ),
            "nothing begun": (AccountShare(1_000, 0, 0, 0.0), 1.0, 0.01),
            "nothing begun, engines idle": (
                AccountShare(1_000, 0, 0, 0.0, 50.0),
                0.0,
                0.41,
            ),
            "nothing begun, engines crowded": (
                AccountShare(1_000, 0, 0, 0.0, 500.0),
                1.0,
                0.01,
            ),
            "declared rate covers all demand": (
                AccountShare(1_000, 90, 0, 100.0, INFINITE),
                1.0,
                0.11,
            ),
            "the same, engines nearly crowded": (
                AccountShare(1_000, 90, 0, 100.0, INFINITE),
                0.9,
                1,
            ),
            "high declared rate, engines crowded": (
                AccountShare(1_000, 90, 0, 100.0, 500.0),
                1.0,
                0.11,
            ),
        }
        for name, (share, crowding, rate) in cases.items():
            with self.subTest(name):
                self.assertAlmostEqual(compute_pass_rate(share, 10, crowding), rate)

    @given(ACCOUNT_SHARES, st.floats(1, 1e5), st.floats(0, 1))
    def test_one_more_request_may_always_be_attempted(self, share, cost, crowding):
        rate = compute_pass_rate(share, cost, crowding)
        self.assertLessEqual(rate, 1.0)
        if share.begun <= share.level:
            self.assertGreater(rate, 0.0)

    @given(ACCOUNT_SHARES, st.floats(1, 1e5), st.floats(0, 1), st.floats(0, 1))
    def test_pass_rate_falls_with_crowding(self, share, cost, first, second):
        low, high = sorted((first, second))
        self.assertGreaterEqual(
            compute_pass_rate(share, cost, low), compute_pass_rate(share, cost, high)
        )

    @given(st.lists(st.floats(1, 1e6), min_size=2, max_size=20), st.floats(0.1, 1))
    def test_attempts_that_pass_amount_to_the_share(self, asked, capacity_ratio):
        """Crowded engines get the share of each account if none has exceeded it."""
        level = compute_share_level(asked, capacity_ratio * sum(asked))
        level = None if level == float("inf") else level
        for amount in asked:
            rate = compute_pass_rate(AccountShare(amount, 0, 0, level), 0, 1.0)
            wanted = amount if level is None else min(amount, level)
            self.assertAlmostEqual(rate * amount, wanted, delta=1e-6 * amount)
