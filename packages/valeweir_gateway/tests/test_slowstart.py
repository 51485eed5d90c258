import random
import unittest

from valeweir_gateway.placement.slowstart import SlowStart, compute_mean
from valeweir_gateway.settings import SlowStart as Bound

RATE = 6.1
BOUND = Bound(1.5, 5.0)
GATEWAYS = 64
STEP = 0.01


def make_fleet(gateways, seed, counted=None):
    return [
        SlowStart(random.Random(f"{seed}/{n}"), lambda: counted or gateways, BOUND)
        for n in range(gateways)
    ]


def play(fleet, seconds, is_there=lambda number, now: True):
    """Every gateway sends whenever it may; return the times of the sends."""
    for gateway in fleet:
        gateway.note("i", 1e9, 0.0)
    sent = []
    for step in range(int(seconds / STEP)):
        now = step * STEP
        for number, gateway in enumerate(fleet):
            if is_there(number, now) and gateway.take("i", RATE, now):
                sent.append(now)
    return sent


def find_most(times, window=1.0):
    """Return the most times that lie within a window."""
    most = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


class TestFleetWideBound(unittest.TestCase):
    most = RATE * BOUND.factor + BOUND.slack

    def test_many_gateways_that_all_want_to_send(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                sent = play(make_fleet(GATEWAYS, seed), 20.0)
                self.assertLessEqual(find_most(sent), self.most)
                self.assertGreater(len(sent) / 20.0, 1.0)

    def test_gateways_that_come_and_go(self):
        def is_there(number, now):
            return (now + number * 0.37) % 3.0 < 2.0

        sent = play(make_fleet(GATEWAYS, 7), 30.0, is_there)
        self.assertLessEqual(find_most(sent), self.most)

    def test_all_wake_at_once(self):
        """What was not used while all were frozen is gone."""
        sent = play(make_fleet(GATEWAYS, 8), 12.0, lambda number, now: now >= 10.0)
        self.assertLessEqual(find_most(sent), self.most)

    def test_views_that_differ(self):
        """Half of the fleet knows of half of it only, and takes twice its part."""
        fleet = make_fleet(GATEWAYS // 2, 9) + make_fleet(GATEWAYS // 2, 10, GATEWAYS)
        self.assertLessEqual(find_most(play(fleet, 20.0)), self.most)

    def test_one_gateway_alone(self):
        sent = play(make_fleet(1, 11), 60.0)
        self.assertLessEqual(find_most(sent), self.most)
        self.assertGreater(len(sent) / 60.0, 1.0)

    def test_broken_on_purpose_it_goes_beyond(self):
        """Gateways that each take the whole rate are a herd; the check sees it."""
        sent = play(make_fleet(GATEWAYS, 12, counted=1), 3.0)
        self.assertGreater(find_most(sent), self.most)


class TestBelief(unittest.TestCase):
    def setUp(self):
        self.count = 1
        self.slow = SlowStart(random.Random(1), lambda: self.count, BOUND)

    def test_until_its_end(self):
        self.assertTrue(self.slow.note("i", 8.0, 5.0))
        self.assertTrue(self.slow.is_warming("i", 7.9))
        self.assertFalse(self.slow.is_warming("i", 8.0))
        self.assertEqual(self.slow.take_ended(8.0), ["i"])
        self.assertEqual(len(self.slow), 0)

    def test_a_longer_time_counts_and_is_no_news(self):
        self.slow.note("i", 8.0, 5.0)
        self.assertFalse(self.slow.note("i", 6.0, 5.0))
        self.assertEqual(self.slow.get_end("i"), 8.0)

    def test_nothing_is_sent_before_the_fleet_is_known(self):
        self.count = None
        self.slow.note("i", 100.0, 0.0)
        self.assertFalse(any(self.slow.take("i", RATE, n * 0.1) for n in range(200)))

    def test_one_send_a_permit(self):
        self.slow.note("i", 100.0, 0.0)
        now = next(
            n * 0.1 for n in range(100) if self.slow.may_send("i", RATE, n * 0.1)
        )
        self.assertTrue(self.slow.take("i", RATE, now))
        self.assertFalse(self.slow.take("i", RATE, now))


class TestMean(unittest.TestCase):
    def test_well_below_the_bound(self):
        for bound in (1.0, 4.0, 14.15, 60.0, 500.0):
            with self.subTest(bound=bound):
                mean = compute_mean(bound)
                self.assertGreater(mean, 0.0)
                self.assertLess(mean, bound)

    def test_greater_bounds_are_used_better(self):
        parts = [compute_mean(bound) / bound for bound in (4.0, 14.0, 60.0, 500.0)]
        self.assertEqual(parts, sorted(parts))
