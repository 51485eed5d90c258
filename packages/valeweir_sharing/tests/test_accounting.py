import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir_sharing.accounting import Ledger
from valeweir_sharing.usage import Report, ServiceKey

A, B, C = (ServiceKey("llm", name) for name in "abc")


def report(settled=0.0, inflight=0.0, lift=0.0, waiting=0):
    return Report(settled, inflight, lift, waiting)


class TestLedger(unittest.TestCase):
    def test_charge_and_settlement(self):
        ledger = Ledger()
        ledger.charge(A, 100)
        self.assertEqual(ledger.get_virtual_service(A), 100)
        ledger.settle(A, 100, 140)
        self.assertEqual(ledger.get_virtual_service(A), 140)

    def test_idle_account_accumulates_no_credit(self):
        ledger = Ledger()
        ledger.add_waiting(A, 1)
        ledger.settle(A, 0, 500)
        ledger.add_waiting(B, 1)
        self.assertEqual(ledger.get_virtual_service(B), 500)

    def test_account_starts_at_the_front_when_none_waits(self):
        ledger = Ledger()
        ledger.settle(A, 0, 300)
        ledger.charge(A, 50)
        ledger.add_waiting(B, 1)
        self.assertEqual(ledger.get_virtual_service(B), 300)

    def test_accounts_that_enter_together_start_near_the_front(self):
        """Accounts that become backlogged together must not limit each other's lift.

        In a burst after an idle period, each of them appears to be the
        least-served waiting account until the lifts of other routers are known.
        """
        ledger = Ledger()
        ledger.mean_charges["llm"] = 10.0
        ledger.add_waiting(A, 1)
        ledger.settle(A, 0, 500)
        ledger.charge(A, 10)
        ledger.merge_waiting("r#1", "llm", {"c": 3})
        ledger.add_waiting(B, 1)
        self.assertEqual(
            ledger.get_virtual_service(B), 500 - 4 * ledger.get_mean_charge("llm")
        )

    def test_account_that_waits_elsewhere_is_not_lifted(self):
        ledger = Ledger()
        ledger.add_waiting(A, 1)
        ledger.settle(A, 0, 500)
        ledger.merge("r#1", 1, [(B, report(settled=20, waiting=2))], [])
        ledger.add_waiting(B, 1)
        self.assertEqual(ledger.get_virtual_service(B), 20)

    def test_lifts_of_two_routers_do_not_add_up(self):
        ledger = Ledger()
        ledger.merge("r#1", 1, [(A, report(lift=50))], [])
        ledger.merge("s#1", 1, [(A, report(lift=40))], [])
        self.assertEqual(ledger.get_virtual_service(A), 50)

    def test_replayed_and_backward_reports(self):
        ledger = Ledger()
        self.assertTrue(ledger.merge("r#1", 5, [(A, report(settled=90))], []))
        self.assertFalse(ledger.merge("r#1", 5, [(A, report(settled=99))], []))
        self.assertTrue(ledger.merge("r#1", 6, [(A, report(settled=10))], []))
        self.assertEqual(ledger.get_virtual_service(A), 90)
        self.assertEqual(ledger.regressions, 1)

    def test_lost_router_keeps_its_service_but_no_demand(self):
        ledger = Ledger()
        ledger.merge("r#1", 1, [(A, report(70, 30, 0, 4))], [])
        ledger.set_live("r#1", False)
        self.assertEqual(ledger.get_virtual_service(A), 70)
        self.assertIsNone(ledger.get_least_served_elsewhere("llm"))
        ledger.set_live("r#1", True)
        self.assertEqual(ledger.get_waiting("llm"), {"a": 4})

    def test_retirement_keeps_the_total_and_is_final(self):
        ledger = Ledger()
        ledger.merge("r#1", 1, [(A, report(70, 30, 0, 4))], [])
        ledger.retire("r#1", now=0.0)
        self.assertEqual(ledger.get_virtual_service(A), 70)
        self.assertFalse(ledger.merge("r#1", 2, [(A, report(settled=200))], []))

    def test_adopted_history_gives_the_same_virtual_service(self):
        """A router must not lose silent incarnations and lifts in a rolling restart.

        After its restart it learns of them only from a peer's history.
        """
        old, new = Ledger(), Ledger()
        old.merge("gone#1", 1, [(A, report(settled=70))], [])
        old.retire("gone#1", now=0.0)
        old.merge("silent#1", 9, [(A, report(30, 5, 0, 2)), (B, report(8))], [])
        old.set_live("silent#1", False)
        old.lifts[B] = 11.0
        new.merge("gone#1", 1, [(A, report(60, 4, 0, 3))], [])
        new.adopt_history(old.get_history(), now=0.0)
        for key in (A, B):
            self.assertEqual(new.get_virtual_service(key), old.get_virtual_service(key))
        self.assertEqual(new.get_waiting("llm"), {})
        for ledger in (old, new):
            ledger.merge("silent#1", 10, [(A, report(45, 0, 0, 1))], [])
            ledger.set_live("silent#1", True)
        self.assertEqual(new.get_virtual_service(A), old.get_virtual_service(A))

    def test_deducted_demand_is_restored_by_the_next_report(self):
        """Deducted demand must not be lost if another account gets the slot.

        The next report leaves out the unchanged figures of the account deducted;
        this occurs in a rolling restart.
        """
        ledger = Ledger()
        rows = [(A, report(waiting=2)), (B, report(waiting=1))]
        ledger.merge("r#1", 1, rows, [])
        ledger.deduct_demand("r#1", A)
        ledger.deduct_demand("r#1", A)
        self.assertEqual(ledger.get_waiting("llm"), {"b": 1})
        ledger.merge("r#1", 2, [(B, report(waiting=0))], [])
        self.assertEqual(ledger.get_demand("r#1", "llm"), {"a": 2})
        self.assertEqual(ledger.get_waiting("llm"), {"a": 2})

    def test_incomplete_ledger_lifts_no_account(self):
        """A router must not lift accounts before it has the reports of all others.

        In a rolling restart, lifts from incomplete figures would be permanent.
        """
        ledger = Ledger()
        ledger.complete = False
        ledger.merge("r#1", 1, [(A, report(settled=900, waiting=1))], [])
        ledger.add_waiting(B, 1)
        self.assertEqual(ledger.clamp("llm", 10), 0)
        self.assertEqual(ledger.lifts, {})

    def test_clamp_bounds_the_difference_after_a_partition(self):
        ledger = Ledger()
        for key in (A, B, C):
            ledger.add_waiting(key, 1)
        for key, served in ((A, 1000), (B, 100), (C, 990)):
            ledger.settle(key, 0, served)
        self.assertEqual(ledger.clamp("llm", 40), 1)
        self.assertEqual(ledger.get_virtual_service(B), 960)

    def test_next_report_clears_pending_service(self):
        ledger = Ledger()
        ledger.add_pending("r#1", A, 25)
        self.assertEqual(ledger.get_virtual_service(A), 25)
        ledger.merge("r#1", 1, [(A, report(inflight=20))], [])
        self.assertEqual(ledger.get_virtual_service(A), 20)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32), st.integers(2, 5))
    def test_ledgers_converge_after_all_reports(self, number, routers):
        """The order, loss and repetition of reports do not affect the result."""
        rng = random.Random(number)
        ledgers = {f"r{i}#1": Ledger() for i in range(routers)}
        for _ in range(40):
            source = rng.choice(list(ledgers))
            key = rng.choice((A, B, C))
            ledgers[source].settle(key, 0, rng.randint(1, 50))
        reports = []
        for source, ledger in ledgers.items():
            rows = [(k, report(u.settled)) for k, u in ledger.own.items()]
            reports += [(source, 1, rows[: len(rows) // 2]), (source, 2, rows)]
        for source, ledger in ledgers.items():
            order = [r for r in reports if r[0] != source] * 2
            rng.shuffle(order)
            for sender, seq, rows in order:
                ledger.merge(sender, seq, rows, [])
        for key in (A, B, C):
            values = {
                round(led.get_virtual_service(key), 6) for led in ledgers.values()
            }
            self.assertEqual(len(values), 1)
