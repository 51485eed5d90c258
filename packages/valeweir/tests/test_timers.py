import unittest

from valeweir.timers import TimerService


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class TestTimerService(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.timers = TimerService(self.clock)
        self.calls = []

    def advance(self, seconds):
        self.clock.now += seconds
        self.timers.run_due()

    def test_interval_callable_is_called_before_each_wait(self):
        waits = iter([1.0, 3.0, 5.0])
        self.timers.subscribe("a", lambda: next(waits), lambda: self.calls.append(1))
        for _ in range(4):
            self.advance(1.0)
        self.assertEqual(len(self.calls), 2)

    def test_cancelled_subscription_is_not_called(self):
        sub = self.timers.subscribe("a", 1.0, lambda: self.calls.append(1))
        sub.cancel()
        self.advance(2.0)
        self.assertEqual(self.calls, [])

    def test_failed_action_does_not_stop_others(self):
        def fail():
            raise RuntimeError("meant to fail")

        self.timers.subscribe("bad", 1.0, fail)
        self.timers.subscribe("good", 1.0, lambda: self.calls.append(1))
        for _ in range(3):
            self.advance(1.0)
        self.assertEqual(len(self.calls), 3)
