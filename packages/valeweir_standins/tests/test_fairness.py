import unittest

from valeweir_standins.fairness import Attempt, find_starved

DURATION_S = 8


def make_requests(account, begun, refused, cost=100):
    """Return the requests of an account, with the same number in each second."""
    rows = []
    for second in range(DURATION_S):
        outcomes = [True] * begun + [False] * refused
        for number, outcome in enumerate(outcomes):
            at = second + (number + 0.5) / (len(outcomes) + 1)
            rows.append(Attempt(at, account, cost, outcome, not outcome))
    return rows


class TestFindStarved(unittest.TestCase):
    def find(self, *tables):
        rows = [row for table in tables for row in table]
        return {row.account for row in find_starved(rows)}

    def test_account_with_far_less_and_refusals_every_second_is_starved(self):
        found = self.find(make_requests("most", 10, 50), make_requests("little", 2, 10))
        self.assertEqual(found, {"little"})

    def test_account_with_half_the_service_is_not_starved(self):
        found = self.find(make_requests("most", 10, 50), make_requests("half", 5, 10))
        self.assertEqual(found, set())

    def test_account_with_most_of_its_demand_served_is_not_starved(self):
        found = self.find(make_requests("most", 40, 50), make_requests("modest", 5, 3))
        self.assertEqual(found, set())

    def test_second_without_refusal_ends_starvation(self):
        little = make_requests("little", 2, 10)
        kept = [row for row in little if int(row.at) not in (3, 4) or row.begun]
        self.assertEqual(self.find(make_requests("most", 10, 50), kept), set())

    def test_late_requests_count_as_short(self):
        late = [
            Attempt(row.at, "late", row.cost, row.begun, True)
            for row in make_requests("late", 1, 0) + make_requests("late", 0, 9)
        ]
        self.assertEqual(self.find(make_requests("most", 10, 0), late), {"late"})

    def test_some_of_the_largest_requests_are_tolerated(self):
        large = [Attempt(0.1, "most", 3_000, True, False)]
        found = self.find(
            make_requests("most", 10, 50), make_requests("little", 2, 10), large
        )
        self.assertEqual(found, set())

    def test_no_requests(self):
        self.assertEqual(find_starved([]), [])
