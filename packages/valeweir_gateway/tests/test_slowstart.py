import random
import unittest

from valeweir_gateway.placement.slow_start import SlowStart, compute_poisson_mean
from valeweir_gateway.settings import SlowStart as Bound

RATE = 6.1
BOUND = Bound(1.5, 5.0)
GATEWAY_COUNT = 64
STEP_S = 0.01


def make_fleet(gateways, seed, gateway_count=None):
    return [
        SlowStart(
            random.Random(f"{seed}/{n}"), lambda: gateway_count or gateways, BOUND
        )
        for n in range(gateways)
    ]


def simulate_sends(fleet, seconds, is_active=lambda number, now: True):
    """Send from every gateway whenever it has a permit; return the send times."""
    for gateway in fleet:
        gateway.mark_warming("i", 1e9, 0.0)
    sent = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for number, gateway in enumerate(fleet):
            if is_active(number, now) and gateway.use_permit("i", RATE, now):
                sent.append(now)
    return sent


def find_max_count(times, window=1.0):
    """Return the maximum number of times within a window."""
    max_count = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > window:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


class TestFleetWideBound(unittest.TestCase):
    max_rate = RATE * BOUND.factor + BOUND.slack

    def test_all_gateways_always_sending(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                sent = simulate_sends(make_fleet(GATEWAY_COUNT, seed), 20.0)
                self.assertLessEqual(find_max_count(sent), self.max_rate)
                self.assertGreater(len(sent) / 20.0, 1.0)

    def test_gateways_join_and_leave(self):
        def is_active(number, now):
            return (now + number * 0.37) % 3.0 < 2.0

        sent = simulate_sends(make_fleet(GATEWAY_COUNT, 7), 30.0, is_active)
        self.assertLessEqual(find_max_count(sent), self.max_rate)

    def test_unused_permits_expire(self):
        """All gateways are suspended for 10 s, then resume at the same time."""
        sent = simulate_sends(
            make_fleet(GATEWAY_COUNT, 8), 12.0, lambda number, now: now >= 10.0
        )
        self.assertLessEqual(find_max_count(sent), self.max_rate)

    def test_gateways_disagree_on_fleet_size(self):
        """Half of the gateways count half of the fleet and use twice their share."""
        fleet = make_fleet(GATEWAY_COUNT // 2, 9) + make_fleet(
            GATEWAY_COUNT // 2, 10, GATEWAY_COUNT
        )
        self.assertLessEqual(find_max_count(simulate_sends(fleet, 20.0)), self.max_rate)

    def test_single_gateway(self):
        sent = simulate_sends(make_fleet(1, 11), 60.0)
        self.assertLessEqual(find_max_count(sent), self.max_rate)
        self.assertGreater(len(sent) / 60.0, 1.0)

    def test_undivided_rate_exceeds_bound(self):
        """Shows that the check detects gateways that each use the whole rate."""
        sent = simulate_sends(make_fleet(GATEWAY_COUNT, 12, gateway_count=1), 3.0)
        self.assertGreater(find_max_count(sent), self.max_rate)


class TestSlowStart(unittest.TestCase):
    def setUp(self):
        self.count = 1
        self.slow_start = SlowStart(random.Random(1), lambda: self.count, BOUND)

    def test_warming_ends(self):
        self.assertTrue(self.slow_start.mark_warming("i", 8.0, 5.0))
        self.assertTrue(self.slow_start.is_warming("i", 7.9))
        self.assertFalse(self.slow_start.is_warming("i", 8.0))
        self.assertEqual(self.slow_start.take_ended(8.0), ["i"])
        self.assertEqual(len(self.slow_start), 0)

    def test_longer_warm_up_wins(self):
        self.slow_start.mark_warming("i", 8.0, 5.0)
        self.assertFalse(self.slow_start.mark_warming("i", 6.0, 5.0))
        self.assertEqual(self.slow_start.get_end("i"), 8.0)

    def test_no_permit_before_fleet_size_is_known(self):
        self.count = None
        self.slow_start.mark_warming("i", 100.0, 0.0)
        self.assertFalse(
            any(self.slow_start.use_permit("i", RATE, n * 0.1) for n in range(200))
        )

    def test_permit_allows_one_send(self):
        self.slow_start.mark_warming("i", 100.0, 0.0)
        now = next(
            n * 0.1
            for n in range(100)
            if self.slow_start.has_permit("i", RATE, n * 0.1)
        )
        self.assertTrue(self.slow_start.use_permit("i", RATE, now))
        self.assertFalse(self.slow_start.use_permit("i", RATE, now))


class TestPoissonMean(unittest.TestCase):
    def test_mean_is_below_bound(self):
        for bound in (1.0, 4.0, 14.15, 60.0, 500.0):
            with self.subTest(bound=bound):
                mean = compute_poisson_mean(bound)
                self.assertGreater(mean, 0.0)
                self.assertLess(mean, bound)

    def test_utilisation_rises_with_bound(self):
        utilisations = [
            compute_poisson_mean(bound) / bound for bound in (4.0, 14.0, 60.0, 500.0)
        ]
        self.assertEqual(utilisations, sorted(utilisations))
