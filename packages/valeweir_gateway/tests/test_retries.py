import unittest

from valeweir_gateway.forwarding.retries import RetryBudget


class TestRetryBudget(unittest.TestCase):
    def test_window(self):
        budget = RetryBudget(0.2, 0, 10.0)
        for _ in range(100):
            budget.record_request("s", 0.0)
        spent = sum(budget.spend("s", 1.0) for _ in range(100))
        self.assertGreater(spent, 5)
        self.assertLessEqual(spent, 20)
        self.assertFalse(budget.spend("s", 20.0), "the requests are outside the window")

    def test_slack_is_divided_among_gateways(self):
        for gateways in (1, 9):
            budget = RetryBudget(0.0, 58, 10.0)
            budget.gateways = gateways
            spent = sum(budget.spend("s", 1.0) for _ in range(100))
            self.assertLessEqual(spent * gateways, 58)
            self.assertGreater(spent, 0)
