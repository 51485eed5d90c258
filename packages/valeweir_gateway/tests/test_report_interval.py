"""Interval of reports: engines are chosen by loads as old as several intervals.

Behind relays a load is known elsewhere after three hops, each of which waits for the
next tick. With prompts of 0.1 to 0.4 s of reading, requests meet queues that no gateway
knew of when it chose the engine.
"""

import unittest

from conflicts import ContentionSimulation, Demand
from valeweir_gateway.admission.pressure import ProcessorPressure
from valeweir_gateway.fleet.report_exchange import compute_interval

GATEWAY_COUNT = 8
# Delays in seconds of a report over three hops at intervals of 20 and 10 ms.
LONG_DELAY, SHORT_DELAY = (0.1, 0.14), (0.04, 0.07)


def count_late(report_delay, seed, rate):
    """Return the requests without a first event within the latency target."""
    gateways = tuple(range(GATEWAY_COUNT))
    demands = [Demand(f"a{n}", rate / 8, gateways) for n in range(8)]
    simulation = ContentionSimulation(
        demands, engines=10, report_delay=report_delay, seed=seed
    )
    simulation.run(10.0)
    return sum(
        row.first_event is None or row.first_event > row.kind.latency_target
        for row in simulation.outcomes
    )


class TestStaleLoads(unittest.TestCase):
    def test_fewer_requests_are_late_by_newer_loads(self):
        # Guards against reports so rare that prompts queue behind unknown ones.
        plays = [(seed, rate) for seed in (1, 2, 3) for rate in (70, 90)]
        late = {
            delay: sum(count_late(delay, *play) for play in plays)
            for delay in (LONG_DELAY, SHORT_DELAY)
        }
        self.assertLess(late[SHORT_DELAY], 0.8 * late[LONG_DELAY])


class TestInterval(unittest.TestCase):
    def test_follows_the_settings(self):
        for interval in (0.02, 0.01):
            busy = compute_interval(interval, links=1, is_quiet=False, is_busy=True)
            self.assertEqual(busy, interval)
            plain = compute_interval(interval, links=1, is_quiet=False, is_busy=False)
            self.assertAlmostEqual(plain, 2.5 * interval)

    def test_relays_with_many_links_send_less_often(self):
        # Guards against relays that spend their processor on reports alone.
        many = compute_interval(0.01, links=60, is_quiet=False, is_busy=True)
        self.assertAlmostEqual(many, 0.06)

    def test_quiet_gateways_keep_their_interval(self):
        self.assertEqual(compute_interval(0.01, 1, is_quiet=True, is_busy=False), 0.1)


class TestPressure(unittest.TestCase):
    def test_mean_covers_the_same_time_at_any_interval(self):
        # Guards against gateways that turn clients away for one slow tick.
        lags = []
        for interval, count in ((0.02, 5), (0.01, 10)):
            pressure = ProcessorPressure(log=None)
            for _ in range(count):
                pressure.observe(0.01, interval)
            lags.append(pressure.lag)
        self.assertAlmostEqual(*lags)
