"""Pace of streams: gaps between events as the client sees them."""

import unittest

from valeweir_gateway.upstreams.stream_pace import StreamPace


class TestStreamPace(unittest.TestCase):
    def observe(self, times):
        pace = StreamPace()
        for now in times:
            pace.observe(1, now)
        return pace

    def test_longest_gap_is_kept(self):
        # Guards against late streams that look on time by their first event.
        pace = self.observe((1.0, 1.2, 1.7, 1.8))
        self.assertAlmostEqual(pace.longest_gap, 0.5)
        self.assertEqual(pace.event_count, 4)

    def test_time_to_the_first_event_is_no_gap(self):
        self.assertEqual(self.observe((7.0,)).longest_gap, 0.0)
