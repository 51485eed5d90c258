import random
import threading
import unittest
from unittest import mock

from valeweir_gateway.placement import backoffs
from valeweir_gateway.placement.backoffs import (
    MAX_BACKOFF_S,
    Backoffs,
    compute_concurrency_limit,
)

NOW = 50.0
# Time in which a response is processed unless the lock blocks it.
RESPONSE_WAIT_S = 0.1


class BackoffCase(unittest.TestCase):
    def setUp(self):
        self.backoffs = Backoffs()


class TestBackoffs(BackoffCase):
    def test_backoff_ends(self):
        self.assertTrue(self.backoffs.add("i", 3.0, NOW))
        self.assertTrue(self.backoffs.is_active("i", NOW + 2.9))
        self.assertFalse(self.backoffs.is_active("i", NOW + 3.0))
        self.assertFalse(self.backoffs.is_active("other", NOW))

    def test_shorter_backoff_does_not_shorten(self):
        self.backoffs.add("i", 3.0, NOW)
        self.assertFalse(self.backoffs.add("i", 0.5, NOW + 1.0))
        self.assertTrue(self.backoffs.is_active("i", NOW + 2.9))

    def test_longer_backoff_extends(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.add("i", 3.0, NOW + 1.0)
        self.assertTrue(self.backoffs.is_active("i", NOW + 3.9))

    def test_duration_is_capped(self):
        self.backoffs.add("i", 1e300, NOW)
        self.assertFalse(self.backoffs.is_active("i", NOW + MAX_BACKOFF_S))

    def test_forget(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.forget("i")
        self.assertFalse(self.backoffs.is_active("i", NOW))

    def test_ended_backoff_is_returned_once(self):
        self.backoffs.add("i", 3.0, NOW)
        self.assertEqual(self.backoffs.take_ended(NOW + 2.0), [])
        self.assertEqual(self.backoffs.count_active(NOW + 2.0), 1)
        self.assertEqual(self.backoffs.take_ended(NOW + 3.0), ["i"])
        self.assertEqual(self.backoffs.take_ended(NOW + 3.0), [])


# Guards against sending all withheld requests at the same time after a backoff.
class TestRecovery(BackoffCase):
    def test_limit_is_zero_before_end(self):
        self.assertEqual(compute_concurrency_limit(-0.001), 0)

    def test_limit_doubles_with_each_step(self):
        limits = [compute_concurrency_limit(0.2 * step + 0.1) for step in range(7)]
        self.assertEqual(limits, [1, 2, 4, 8, 16, 32, None])

    def test_running_requests_count_against_limit(self):
        self.backoffs.add("i", 3.0, NOW)
        self.assertFalse(self.backoffs.may_send("i", 0, NOW + 2.9))
        self.assertTrue(self.backoffs.may_send("i", 0, NOW + 3.0))
        self.assertFalse(self.backoffs.may_send("i", 1, NOW + 3.0))
        self.assertTrue(self.backoffs.may_send("i", 99, NOW + 9.0))
        self.assertTrue(self.backoffs.may_send("other", 99, NOW))

    def test_thousand_waiting_requests(self):
        """All requests poll for admission; each admitted one runs for half a second."""
        self.backoffs.add("i", 3.0, NOW)
        end = NOW + 3.0
        running = []
        start_offsets = []
        for step in range(120):
            now = end + step / 100.0
            running = [until for until in running if until > now]
            for _ in range(1_000):
                if self.backoffs.may_send("i", len(running), now):
                    running.append(now + 0.5)
                    start_offsets.append(now - end)
                else:
                    break
        self.assertLessEqual(sum(at < 0.2 for at in start_offsets), 1)
        self.assertLessEqual(sum(at < 0.4 for at in start_offsets), 2)
        self.assertLessEqual(sum(at < 1.0 for at in start_offsets), 32)

    def test_old_backoff_is_forgotten(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.take_ended(NOW + 3.0)
        self.assertTrue(self.backoffs)
        self.backoffs.take_ended(NOW + 10.0)
        self.assertFalse(self.backoffs)

    def test_backoff_added_while_old_one_is_forgotten(self):
        """The timer thread removes old backoffs while a response adds a new one.

        Without the lock, the new backoff would be removed with the old one.
        """
        later = NOW + 10.0
        self.backoffs.add("i", 3.0, NOW)
        response_thread = threading.Thread(
            target=self.backoffs.add, args=("i", 60.0, later)
        )

        def process_response(since_end):
            response_thread.start()
            response_thread.join(RESPONSE_WAIT_S)

        with mock.patch.object(backoffs, "compute_concurrency_limit", process_response):
            self.backoffs.take_ended(later)
        response_thread.join()
        self.assertTrue(self.backoffs.is_active("i", later))

    def test_retry_after_has_jitter(self):
        self.backoffs.add("i", 3.0, NOW)
        self.backoffs.add("j", 9.0, NOW)
        rng = random.Random(1)
        waits = [
            self.backoffs.compute_retry_after(["i", "j"], NOW, rng)
            for _ in range(1_000)
        ]
        self.assertGreaterEqual(min(waits), 3.0)
        tenths = {int(wait * 10) for wait in waits}
        self.assertGreaterEqual(len(tenths), 8)
