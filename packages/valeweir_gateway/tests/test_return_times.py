import collections
import functools
import itertools
import unittest

from conflicts import ContentionSimulation, Demand, RequestKind, sum_tokens
from valeweir_gateway.admission.return_times import (
    ReturnInputs,
    compute_retry_after,
    compute_return_window,
)

# Half of the tokens asked for are begun; the best engine's wait exceeds the limit.
INPUTS = ReturnInputs(40_000, 10_000, 4.0, 0.75, 0.65, 0.05, 1.0, 0.0, 15.0, 0.5)
# Kinds of deployment A in docs/HARD-LOAD.md.
KINDS = (
    RequestKind(5_382, 6_610, 384, 1.0, 15.0, 0.3),
    RequestKind(198, 628, 288, 0.4, 12.0, 0.35),
    RequestKind(568, 1_800, 24, 0.5, 3.0, 0.35),
)
ALL = tuple(range(8))
SEEDS = (1, 2, 3)


class TestReturnTimes(unittest.TestCase):
    def check(self, timing, start, end, **changes):
        window = compute_return_window(INPUTS._replace(**changes))
        self.assertEqual(window.timing, timing)
        self.assertAlmostEqual(window.start, start)
        self.assertAlmostEqual(window.end, end)

    def test_return_within_the_target_while_enough_is_begun(self):
        self.check("on-time", 0.1, 0.65)
        self.check("late", 0.65, 5.0, refused_tokens=200_000)
        # A gateway that has just started knows only of the refused request.
        self.check("on-time", 0.1, 0.65, refused_tokens=1_000, tokens_per_second=0.0)

    def test_return_after_the_target_spreads_until_the_backlog_is_begun(self):
        self.check("late", 0.1, 4.0, spent=1.0)
        self.check("late", 0.1, 3.0, spent=1.0, left=9.0)
        self.check("late", 0.1, 5.0, spent=1.0, tokens_per_second=0.0)

    def test_client_with_too_little_time_left(self):
        """A return that cannot be served in time would only take capacity."""
        for left, wait in ((0.7, 0.75), (0.06, 0.0), (0.0, 0.0), (-1.0, 0.0)):
            inputs = INPUTS._replace(left=left, wait=wait)
            self.assertIsNone(compute_retry_after(inputs), inputs)

    def test_no_return_is_longer_than_clients_accept(self):
        """Clients ignore a Retry-After over a third of their remaining time."""
        waits, times_spent, lefts = (0.0, 0.75, 8.0), (0.0, 2.0), (0.1, 0.2, 3.0, 15.0)
        for refused, rate, wait, spent, left, draw in itertools.product(
            (0.0, 1e6), (0.0, 1e5), waits, times_spent, lefts, (0.0, 1.0)
        ):
            inputs = ReturnInputs(
                refused, rate, 4.0, wait, 0.65, 0.05, 1.0, spent, left, draw
            )
            retry_after = compute_retry_after(inputs)
            if retry_after is not None:
                self.assertTrue(0.005 < retry_after <= left / 3, inputs)


@functools.cache
def simulate_bursts(with_returns, restarted=()):
    """Return the outcomes of runs with 1.5 times the capacity from 5 to 9 s.

    At other times the load is 0.7 times the capacity, 100 requests per second. The
    state of the ``restarted`` gateways is lost at 8 s.
    """
    outcomes = []
    for seed in SEEDS:
        names = [f"a{n}" for n in range(8)]
        demands = [Demand(name, 70 / 8, ALL, 1) for name in names]
        demands += [Demand(name, 80 / 8, ALL, 1, None, 5.0, 9.0) for name in names]
        simulation = ContentionSimulation(
            demands, seed=seed, kinds=KINDS, with_returns=with_returns
        )
        simulation.restart_gateways(8.0, restarted)
        simulation.run(16.0)
        outcomes += [row._replace(seed=seed) for row in simulation.outcomes]
    return outcomes


def compute_credit(outcomes):
    """Return the mean credit: 1 for a response on time, 0.3 for a late one."""
    served = [row for row in outcomes if row.first_event is not None]
    on_time = sum(row.first_event <= row.kind.latency_target for row in served)
    return (on_time + 0.3 * (len(served) - on_time)) / len(outcomes)


def count_refused_again(outcomes):
    return sum(row.is_return and row.first_event is None for row in outcomes)


def compute_crowding(outcomes):
    """Return the part of the requests refused in 100 ms that return in one 100 ms."""
    returns = [row for row in outcomes if row.is_return and 5 <= row.refused_at < 9]
    refused = collections.Counter(
        (row.seed, int(row.refused_at * 10)) for row in returns
    )
    together = collections.Counter(
        (row.seed, int(row.refused_at * 10), int(row.at * 10)) for row in returns
    )
    parts = (count**2 / refused[key[:2]] for key, count in together.items())
    return sum(parts) / len(returns)


class TestBurst(unittest.TestCase):
    """Clients refused in a burst must not return together, nor earn less for it."""

    def test_requests_refused_together_do_not_return_together(self):
        fixed, spread = map(compute_crowding, map(simulate_bursts, (False, True)))
        self.assertLess(spread, 0.75 * fixed)

    def test_responses_earn_more(self):
        fixed, spread = map(compute_credit, map(simulate_bursts, (False, True)))
        self.assertGreater(spread, fixed)

    def test_returns_within_the_target_are_not_much_more_often_refused(self):
        fixed, spread = map(count_refused_again, map(simulate_bursts, (False, True)))
        self.assertLess(spread, 1.2 * fixed)

    def test_gateways_that_restart_with_returns_outstanding(self):
        """A return needs no state of the gateway that asked for it."""
        credit = compute_credit(simulate_bursts(True, ALL[:4]))
        self.assertGreater(credit, compute_credit(simulate_bursts(False)))


class TestFrequentReturns(unittest.TestCase):
    def test_account_that_returns_sooner_gains_nothing(self):
        demands = (Demand("eager", 70, ALL, 5, 0.05), Demand("patient", 70, ALL, 5))
        for seed in SEEDS:
            simulation = ContentionSimulation(
                demands, seed=seed, kinds=KINDS, with_returns=True
            )
            sums = sum_tokens(simulation.run(16.0), 4, 16)
            with self.subTest(seed=seed):
                self.assertLess(sums["eager"][1], 1.1 * sums["patient"][1])
