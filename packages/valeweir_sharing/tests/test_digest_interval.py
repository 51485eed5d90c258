import unittest

from valeweir_sharing.digest_interval import DigestInterval

CFG = {"interval": 0.5, "lease": 5.0, "byte_budget": 1000}


def get_final_interval(bytes_per_digest, other_bytes_per_s, steps=200):
    digest_interval = DigestInterval(CFG)
    now = sent = 0.0
    for _ in range(steps):
        digest_interval.note(sent, now)
        now += digest_interval.get_interval()
        sent += bytes_per_digest + other_bytes_per_s * digest_interval.get_interval()
    return digest_interval.get_interval()


class TestPace(unittest.TestCase):
    def test_interval_follows_the_budget(self):
        cases = [
            (100, 0, 0.5, 0.5),
            (600, 0, 0.55, 0.83),
            (5000, 0, 5.0 / 6, 5.0 / 6),
            (100, 2000, 5.0 / 6, 5.0 / 6),
        ]
        for bytes_per_digest, other_bytes_per_s, low, high in cases:
            with self.subTest(
                bytes_per_digest=bytes_per_digest, other_bytes_per_s=other_bytes_per_s
            ):
                interval = get_final_interval(bytes_per_digest, other_bytes_per_s)
                self.assertGreaterEqual(interval, low - 1e-9)
                self.assertLessEqual(interval, high + 1e-9)

    def test_pressure_rises_after_the_interval_and_falls_first(self):
        digest_interval = DigestInterval(CFG)
        now = sent = 0.0
        samples = []
        for rate in [3000] * 40 + [100] * 200:
            digest_interval.note(sent, now)
            now += digest_interval.get_interval()
            sent += rate * digest_interval.get_interval()
            samples.append((digest_interval.get_interval(), digest_interval.pressure))
        self.assertEqual(samples[39], (5.0 / 6, 8.0))
        self.assertEqual(samples[-1], (0.5, 1.0))
        for interval, pressure in samples:
            self.assertTrue(pressure == 1.0 or interval == 5.0 / 6)

    def test_decreasing_counter_is_ignored(self):
        digest_interval = DigestInterval(CFG)
        digest_interval.note(10_000, 0.0)
        digest_interval.note(0, 1.0)
        self.assertEqual(digest_interval.get_interval(), 0.5)
