import unittest

from valeweir_gateway.process_pauses import PauseDetector


class TestPauses(unittest.TestCase):
    def setUp(self):
        self.now = 50.0
        self.events = []
        self.pause_detector = PauseDetector(lambda: self.now, self.log_event)

    def log_event(self, event, failed=False, **fields):
        self.events.append((event, fields))

    def tick_after(self, *gaps):
        for gap in gaps:
            self.now += gap
            self.pause_detector.tick()

    def test_no_pause_before_the_first_tick(self):
        self.now += 9.0
        self.assertEqual(self.pause_detector.get_total(), 0.0)

    def test_regular_ticks(self):
        self.tick_after(0.0, 0.02, 0.1, 0.05)
        self.assertEqual(self.pause_detector.get_total(), 0.0)
        self.assertEqual(self.events, [])

    def test_an_interval_set_before_is_no_pause(self):
        self.tick_after(0.0)
        self.pause_detector.set_interval(0.1)
        self.tick_after(0.2)
        self.assertEqual(self.pause_detector.get_total(), 0.0)
        self.pause_detector.set_interval(0.02)
        self.tick_after(0.2)
        self.assertAlmostEqual(self.pause_detector.get_total(), 0.2)

    def test_pauses_are_summed(self):
        self.tick_after(0.0, 0.4, 0.02, 2.0)
        self.assertAlmostEqual(self.pause_detector.get_total(), 2.4)

    def test_current_pause_counts_before_its_end(self):
        """Another thread may resume before the one that calls `tick`."""
        self.tick_after(0.0)
        self.now += 3.0
        self.assertAlmostEqual(self.pause_detector.get_total(), 3.0)
        self.pause_detector.tick()
        self.assertAlmostEqual(self.pause_detector.get_total(), 3.0)

    def test_recent_pauses(self):
        self.tick_after(0.0, 1.0, 0.02, 0.6)
        self.assertAlmostEqual(self.pause_detector.get_recent_total(0.5), 0.6)
        self.assertAlmostEqual(self.pause_detector.get_recent_total(1.0), 1.6)
        self.now += 0.3
        self.assertAlmostEqual(self.pause_detector.get_recent_total(0.1), 0.3)
        self.pause_detector.tick()
        self.tick_after(*[0.1] * 30)
        self.assertEqual(self.pause_detector.get_recent_total(2.0), 0.0)

    def test_long_pauses_are_logged(self):
        self.tick_after(0.0, 0.4, 0.7)
        self.assertEqual(self.events, [("process stalled", {"seconds": 0.7})])
