import unittest

from valeweir_gateway.backoffs import MAX_BACKOFF_S, Backoffs

NOW = 50.0


class BackoffCase(unittest.TestCase):
    def setUp(self):
        self.backoffs = Backoffs()


class TestPauses(BackoffCase):
    def test_until_its_end(self):
        self.assertTrue(self.backoffs.add("i", 3.0, NOW))
        self.assertTrue(self.backoffs.is_active("i", NOW + 2.9))
        self.assertFalse(self.backoffs.is_active("i", NOW + 3.0))
        self.assertFalse(self.backoffs.is_active("other", NOW))

    def test_a_shorter_one_does_not_shorten_it(self):
        self.backoffs.add("i", 3.0, NOW)
        self.assertFalse(self.backoffs.add("i", 0.5, NOW + 1.0))
        self.assertTrue(self.backoffs.is_active("i", NOW + 2.9))

    def test_a_longer_one_extends_it(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.add("i", 3.0, NOW + 1.0)
        self.assertTrue(self.backoffs.is_active("i", NOW + 3.9))

    def test_enormous_ones_are_cut(self):
        self.backoffs.add("i", 1e300, NOW)
        self.assertFalse(self.backoffs.is_active("i", NOW + MAX_BACKOFF_S))

    def test_an_instance_that_is_gone(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.forget("i")
        self.assertFalse(self.backoffs.is_active("i", NOW))

    def test_ended_ones_are_told_once(self):
        self.backoffs.add("i", 3.0, NOW)
        self.assertEqual(self.backoffs.take_ended(NOW + 2.0), [])
        self.assertEqual(self.backoffs.count_active(NOW + 2.0), 1)
        self.assertEqual(self.backoffs.take_ended(NOW + 3.0), ["i"])
        self.assertEqual(self.backoffs.take_ended(NOW + 3.0), [])
