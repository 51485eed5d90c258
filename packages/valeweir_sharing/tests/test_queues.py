import random
import unittest
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st
from valeweir.models import WorkClass
from valeweir_sharing.accounting import Ledger
from valeweir_sharing.queues import OrderSettings, PoolQueue, choose_ticket, get_urgency
from valeweir_sharing.slot_assignment import (
    SlotDemand,
    assign_idle_slots,
    assign_slots,
    should_hand_back,
)
from valeweir_sharing.usage import ServiceKey

ORDER = OrderSettings(class_bonus=2.0, aging=20.0)
RNG = random.Random(1)
READ, CHAT, BOOK = WorkClass.READING, WorkClass.CHAT, WorkClass.BOOKING


def select_first(_holder, upstreams):
    return upstreams[0]


class FakeTicket(NamedTuple):
    account: str
    work_class: WorkClass
    arrived: float = 0.0
    number: int = 0


def make_queue(*tickets):
    queue = PoolQueue()
    for ticket in tickets:
        queue.add(ticket)
    return queue


class TestQueueOrder(unittest.TestCase):
    def pick(self, queue, ledger, now=0.0):
        return choose_ticket(queue, ledger, "llm", now, ORDER)

    def test_least_served_account_goes_first(self):
        ledger = Ledger()
        ledger.settle(ServiceKey("llm", "a"), 0, 100)
        queue = make_queue(FakeTicket("a", READ), FakeTicket("b", READ))
        self.assertEqual(self.pick(queue, ledger).account, "b")

    def test_urgent_class_goes_first_within_the_bonus(self):
        ledger = Ledger()
        ledger.mean_charges["llm"] = 10.0
        ledger.settle(ServiceKey("llm", "a"), 0, 15)
        queue = make_queue(FakeTicket("a", BOOK), FakeTicket("b", READ))
        self.assertEqual(self.pick(queue, ledger).account, "a")
        ledger.settle(ServiceKey("llm", "a"), 0, 10)
        self.assertEqual(self.pick(queue, ledger).account, "b")

    def test_aged_request_is_not_overtaken(self):
        old = FakeTicket("a", READ, arrived=0.0)
        fresh = FakeTicket("a", BOOK, arrived=19.0)
        queue = make_queue(old, fresh)
        self.assertIs(self.pick(queue, Ledger(), now=19.0), fresh)
        self.assertIs(self.pick(queue, Ledger(), now=20.0), old)

    def test_urgency_rises_to_one_with_age(self):
        cases = [(BOOK, 0, 1.0), (CHAT, 0, 0.5), (READ, 0, 0.0), (READ, 40, 1.0)]
        for work_class, age, expected in cases:
            with self.subTest(work_class=work_class, age=age):
                self.assertEqual(get_urgency(work_class, age, 20.0), expected)

    def test_removal(self):
        ticket = FakeTicket("a", READ)
        queue = make_queue(ticket)
        self.assertTrue(queue.remove(ticket))
        self.assertFalse(queue.remove(ticket))
        self.assertEqual((queue.size, queue.accounts), (0, {}))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(1, 60), st.sampled_from((READ, CHAT, BOOK))),
            min_size=300,
            max_size=300,
        )
    )
    def test_gap_of_backlogged_accounts_is_bounded(self, costs):
        """On one server the gap is at most two requests plus the class bonus."""
        ledger = Ledger()
        queue = PoolQueue()
        for number, account in enumerate("abc"):
            ledger.add_waiting(ServiceKey("llm", account), 1)
            queue.add(FakeTicket(account, costs[number][1], 0.0, number))
        for step, (cost, work_class) in enumerate(costs):
            ticket = self.pick(queue, ledger, now=0.0)
            queue.remove(ticket)
            ledger.charge(ticket_key := ServiceKey("llm", ticket.account), 30)
            ledger.settle(ticket_key, 30, cost)
            queue.add(FakeTicket(ticket.account, work_class, step, step + 3))
            virtual = [ledger.get_virtual_service(ServiceKey("llm", a)) for a in "abc"]
            bound = 2 * 60 + ORDER.class_bonus * ledger.get_mean_charge("llm")
            self.assertLessEqual(max(virtual) - min(virtual), bound)


class TestGrants(unittest.TestCase):
    def test_slots_go_to_the_least_served_account(self):
        ledger = Ledger()
        ledger.mean_charges["llm"] = 10.0
        ledger.settle(ServiceKey("llm", "a"), 0, 15)
        demands = [SlotDemand("x", "a", 5), SlotDemand("y", "b", 5)]
        assignments = assign_slots("llm", {"u": 4}, demands, ledger, select_first, RNG)
        self.assertEqual([g.holder for g in assignments], ["y", "y", "x", "y"])

    def test_slots_are_limited_by_demand(self):
        free = {"u": 4}
        demands = [SlotDemand("x", "a", 1)]
        assignments = assign_slots("llm", free, demands, Ledger(), select_first, RNG)
        self.assertEqual((len(assignments), free), (1, {"u": 3}))

    def test_holder_is_chosen_in_proportion_to_its_requests(self):
        """A router with few requests of an account must not be starved of slots.

        During a rolling restart, other routers have more requests of the account.
        """
        counts = {"x": 0, "y": 0}
        for _ in range(500):
            demands = [SlotDemand("x", "a", 9), SlotDemand("y", "a", 1)]
            assignments = assign_slots(
                "llm", {"u": 1}, demands, Ledger(), select_first, RNG
            )
            counts[assignments[0].holder] += 1
        self.assertTrue(20 < counts["y"] < 90, counts)

    def test_starved_holder_gets_one_slot_first(self):
        """A router without slots must get one, though its accounts rank last.

        During a rolling restart, other routers serve these accounts and so raise
        their virtual service.
        """
        ledger = Ledger()
        ledger.settle(ServiceKey("llm", "b"), 0, 500)
        demands = [SlotDemand("x", "a", 9), SlotDemand("y", "b", 3)]
        assignments = assign_slots(
            "llm", {"u": 3}, demands, ledger, select_first, RNG, {"y"}
        )
        self.assertEqual([g.holder for g in assignments], ["y", "x", "x"])

    def test_holder_that_reaches_no_upstream_gets_no_slot(self):
        demands = [SlotDemand("x", "a", 1), SlotDemand("y", "b", 1)]
        select_upstream = lambda h, ups: None if h == "x" else ups[0]  # noqa: E731
        assignments = assign_slots(
            "llm", {"u": 4}, demands, Ledger(), select_upstream, RNG
        )
        self.assertEqual([g.holder for g in assignments], ["y"])

    def test_idle_slots_are_spread_up_to_the_limit(self):
        assignments = assign_idle_slots({"u": 9}, {"x": 1, "y": 0, "z": 0}, limit=1)
        self.assertEqual(sorted(g.holder for g in assignments), ["y", "z"])

    def test_hand_back(self):
        cases = [
            (None, None, False),
            (None, 5.0, True),
            (5.0, None, False),
            (5.0, 4.0, False),
            (9.0, 4.0, True),
        ]
        for here, there, expected in cases:
            with self.subTest(here=here, there=there):
                self.assertEqual(should_hand_back(here, there, 2.0), expected)
