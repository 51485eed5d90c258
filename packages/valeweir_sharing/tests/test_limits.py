import random
import unittest

from valeweir.models import WorkClass
from valeweir_sharing.choice import Candidate, PrefixHints, choose_upstream
from valeweir_sharing.health import UpstreamHealth
from valeweir_sharing.limits import (
    AdmissionLimits,
    Occupancy,
    RetryBudget,
    find_exceeded_limit,
    get_retry_after,
)
from valeweir_sharing.ownership import choose_owner, get_candidates, get_group

LIMITS = AdmissionLimits(max_waiting=100, max_waiting_body=1000, max_body=300)


class TestAdmissionLimits(unittest.TestCase):
    def test_cases(self):
        cases = [
            (0, 0, 0.1, WorkClass.CHAT, 10, None),
            (40, 0, 0.1, WorkClass.CHAT, 10, "account-places"),
            (30, 0, 0.1, WorkClass.READING, 10, "account-places"),
            (30, 0, 0.1, WorkClass.BOOKING, 10, None),
            (1, 390, 0.1, WorkClass.CHAT, 20, "account-memory"),
            (100, 0, 1.0, WorkClass.CHAT, 10, "router-full"),
            (1, 900, 1.0, WorkClass.CHAT, 200, "router-memory"),
        ]
        for count, body, weight_ratio, work_class, size, expected in cases:
            with self.subTest(count=count, body=body, expected=expected):
                occupancy = Occupancy()
                for number in range(count):
                    occupancy.add("a", body if number == 0 else 0)
                excess = find_exceeded_limit(
                    LIMITS, occupancy, "a", weight_ratio, work_class, size
                )
                self.assertEqual(excess, expected)

    def test_flooding_account_leaves_capacity_for_others(self):
        occupancy = Occupancy()
        while not find_exceeded_limit(
            LIMITS, occupancy, "flood", 0.1, WorkClass.CHAT, 0
        ):
            occupancy.add("flood", 0)
        self.assertIsNone(
            find_exceeded_limit(LIMITS, occupancy, "small", 0.1, WorkClass.CHAT, 0)
        )

    def test_retry_after_is_spread_and_bounded(self):
        rng = random.Random(1)
        times = {get_retry_after(1000, 10.0, rng) for _ in range(50)}
        self.assertGreater(len(times), 5)
        self.assertLessEqual(max(times), 45)

    def test_retries_are_bounded_by_a_ratio_of_requests(self):
        budget = RetryBudget(ratio=0.1, reserve=2.0)
        spent = 0
        for _ in range(1000):
            budget.earn("a")
            spent += budget.spend("a")
        self.assertLessEqual(spent, 102)


class TestHealth(unittest.TestCase):
    def test_ejection_probe_and_return(self):
        health = UpstreamHealth(random.Random(1))
        pauses = [health.record_error("u", 0.0) for _ in range(3)]
        self.assertEqual(pauses[:2], [None, None])
        self.assertTrue(1.5 <= pauses[2] <= 2.5)
        self.assertFalse(health.is_usable("u", 1.0))
        self.assertTrue(health.is_usable("u", 3.0))
        health.record_dispatch("u")
        self.assertFalse(health.is_usable("u", 3.0))
        self.assertTrue(health.record_success("u"))
        self.assertTrue(health.is_usable("u", 3.0))

    def test_failed_probe_doubles_the_pause(self):
        health = UpstreamHealth(random.Random(1))
        for _ in range(3):
            health.record_error("u", 0.0)
        health.record_dispatch("u")
        self.assertGreaterEqual(health.record_error("u", 3.0), 3.0)

    def test_pauses_differ_between_routers(self):
        pauses = set()
        for number in range(9):
            health = UpstreamHealth(random.Random(number))
            pauses.add([health.record_error("u", 0.0) for _ in range(3)][2])
        self.assertEqual(len(pauses), 9)


class TestChoice(unittest.TestCase):
    CANDIDATES = (
        Candidate("far", 0.0, False, 3),
        Candidate("near", 0.5, True, 1),
    )

    def test_local_slot_goes_first(self):
        choice = choose_upstream(self.CANDIDATES, "", PrefixHints(), 0.0)
        self.assertEqual(choice, ("near", "local slot"))

    def test_cached_prefix_outweighs_locality_until_it_ages(self):
        hints = PrefixHints(lifetime_s=100.0)
        hints.note("p", "far", 0.0)
        fresh = choose_upstream(self.CANDIDATES, "p", hints, 1.0)
        self.assertEqual(fresh, ("far", "prefix cached"))
        self.assertEqual(
            choose_upstream(self.CANDIDATES, "p", hints, 99.0).upstream, "near"
        )

    def test_hints_are_bounded(self):
        hints = PrefixHints(max_prefixes=2)
        for prefix in "abc":
            hints.note(prefix, "u", 0.0)
        self.assertEqual(hints.get("a", "u", 0.0), 0.0)


class TestOwnership(unittest.TestCase):
    def test_loss_of_a_router_moves_only_its_groups(self):
        hosts = [f"h{i}" for i in range(9)]
        groups = [f"llm/d/{i}" for i in range(200)]
        before = {g: choose_owner(g, hosts) for g in groups}
        after = {g: choose_owner(g, hosts[1:]) for g in groups}
        moved = [g for g in groups if before[g] != after[g]]
        self.assertEqual(moved, [g for g in groups if before[g] == "h0"])

    def test_domain_without_routers_uses_other_domains(self):
        members = [("h1", "north"), ("h2", "north")]
        self.assertEqual(get_candidates("south", members), ["h1", "h2"])
        self.assertEqual(get_candidates("south", [*members, ("h3", "south")]), ["h3"])

    def test_groups_grow_with_the_pool(self):
        small = {get_group(f"u{i}", "llm", "d", 5) for i in range(5)}
        large = {get_group(f"u{i}", "llm", "d", 40) for i in range(40)}
        self.assertEqual((len(small), len(large)), (1, 8))
