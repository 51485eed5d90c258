"""Tests that crashes count against the request that causes them, not its neighbours."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st
from valeweir_gateway.quarantine.crashes import (
    Crash,
    CrashCount,
    Suspects,
    count_crashes,
)
from valeweir_gateway.quarantine.records import is_confirmed, needs_quarantine

CRASHING = 1
POPULAR = 2


def add_all(suspects, fingerprint, crashes):
    """Add crashes; return the last count that was new."""
    counts = [suspects.add(fingerprint, crash, crash.ended) for crash in crashes]
    return [count for count in counts if count is not None][-1]


class TestCountCrashes(unittest.TestCase):
    def test_sequential_sends_are_separate_runs(self):
        crashes = [Crash(n, n + 0.1, n + 0.2) for n in range(3)]
        self.assertEqual(count_crashes(crashes), CrashCount(3, 3))

    def test_concurrent_sends_are_one_run(self):
        crashes = [Crash(n, 0.1, 1.0 + n / 100) for n in range(3)]
        self.assertEqual(count_crashes(crashes), CrashCount(3, 1))

    def test_repeated_crash_of_one_upstream(self):
        """A restarted upstream keeps its id; duplicate reports are closer in time."""
        crashes = [Crash(7, 0.0, 0.1), Crash(7, 0.0, 0.4), Crash(7, 2.0, 2.1)]
        self.assertEqual(count_crashes(crashes), CrashCount(2, 2))


class TestSuspects(unittest.TestCase):
    def setUp(self):
        self.suspects = Suspects(max_size=4)

    def test_duplicate_reports_add_nothing(self):
        """A crash reported again, by the same or another gateway, adds nothing."""
        crash = Crash(7, 0.0, 0.1)
        self.assertEqual(self.suspects.add(CRASHING, crash, 0.1), CrashCount(1, 1))
        self.assertIsNone(self.suspects.add(CRASHING, crash, 0.2))
        late = Crash(7, 0.05, 0.15)
        self.assertIsNone(self.suspects.add(CRASHING, late, 0.2))
        self.assertEqual(self.suspects.get_crash_count(CRASHING), CrashCount(1, 1))

    def test_complete_response_clears_for_a_while(self):
        self.suspects.add(CRASHING, Crash(7, 0.0, 0.1), 0.1)
        self.assertTrue(self.suspects.clear_suspect(CRASHING, 0.2))
        self.assertNotIn(CRASHING, self.suspects)
        self.assertIsNone(self.suspects.add(CRASHING, Crash(8, 0.0, 0.1), 0.3))
        self.assertEqual(
            self.suspects.add(CRASHING, Crash(8, 9.0, 9.1), 9.1), CrashCount(1, 1)
        )

    def test_clearing_an_unknown_request(self):
        self.assertFalse(self.suspects.clear_suspect(CRASHING, 0.2))

    def test_size_is_bounded_and_most_crashes_are_kept(self):
        add_all(self.suspects, CRASHING, [Crash(n, n + 0.1, n + 0.2) for n in range(2)])
        for fingerprint in range(100, 200):
            self.suspects.add(fingerprint, Crash(9, 5.0, 6.0), 6.0)
        self.assertEqual(len(self.suspects), 4)
        self.assertIn(CRASHING, self.suspects)

    def test_expired_suspects_are_dropped(self):
        self.suspects.add(CRASHING, Crash(7, 0.0, 0.1), 0.1)
        self.suspects.drop_expired(500.0)
        self.assertIn(CRASHING, self.suspects)
        self.suspects.drop_expired(1_000.0)
        self.assertEqual(len(self.suspects), 0)

    @given(st.lists(st.tuples(st.integers(0, 3), st.floats(0, 9), st.floats(0, 2))))
    def test_order_of_reports_does_not_matter(self, rows):
        """The order also adds no runs or upstreams beyond the crashes."""
        crashes = [Crash(name, sent, sent + ran) for name, sent, ran in rows]
        forward, backward = Suspects(), Suspects()
        for crash in crashes:
            forward.add(CRASHING, crash, 20.0)
        for crash in reversed(crashes):
            backward.add(CRASHING, crash, 20.0)
        count = forward.get_crash_count(CRASHING)
        self.assertLessEqual(count.runs, max(1, len(crashes)))
        self.assertEqual(bool(crashes), count.upstreams > 0)
        self.assertEqual(
            count.upstreams > 0, backward.get_crash_count(CRASHING).upstreams > 0
        )


class FleetModel:
    """A service with crashing upstreams and its requests, in virtual time.

    Requests are sent to upstreams that are up. Each gets a complete response after its
    duration, unless its upstream crashes first. An unconfirmed quarantine allows trials
    at once, one at a time.
    """

    STEP = 0.01

    def __init__(self, seed, upstreams=6, back_after=1.5):
        self.rng = random.Random(seed)
        self.suspects = Suspects()
        self.now = 0.0
        self.up_at = dict.fromkeys(range(upstreams), 0.0)
        self.running = []
        # {fingerprint: whether the quarantine is confirmed}.
        self.quarantined = {}
        self.ended = 0
        self._back_after = back_after

    def get_up(self):
        """Return the upstreams that are up."""
        return [name for name, at in self.up_at.items() if at <= self.now]

    def send(self, fingerprint, seconds):
        """Send a request that is answered after ``seconds``, or never if None.

        Return whether it was sent.
        """
        up = self.get_up()
        if (
            not up
            or fingerprint in self.quarantined
            and not self._may_send_trial(fingerprint)
        ):
            return False
        self.running.append((fingerprint, self.rng.choice(up), self.now, seconds))
        return True

    def crash(self, names):
        """Crash upstreams; return the fingerprints of the requests they ran."""
        ended = [row for row in self.running if row[1] in names]
        self.running = [row for row in self.running if row[1] not in names]
        for name in names:
            self.ended += 1
            self.up_at[name] = self.now + self._back_after
        for fingerprint, name, sent, _ in ended:
            crash = Crash(name, sent, self.now)
            count = self.suspects.add(fingerprint, crash, self.now)
            unexplained = self.suspects.count_unexplained_crashes(
                fingerprint, self.quarantined, self.now
            )
            if count is not None and needs_quarantine(count):
                self.quarantined[fingerprint] = is_confirmed(count, unexplained)
        return [row[0] for row in ended]

    def step(self):
        """Advance the time by 10 ms and answer due requests."""
        self.now += self.STEP
        due = [row for row in self.running if row[3] and self.now - row[2] >= row[3]]
        for row in due:
            self.running.remove(row)
            self.suspects.clear_suspect(row[0], self.now)
            self.quarantined.pop(row[0], None)

    def _may_send_trial(self, fingerprint):
        alone = all(row[0] != fingerprint for row in self.running)
        return alone and not self.quarantined[fingerprint]


class TestQuarantineModel(unittest.TestCase):
    """Only the request that causes crashes is quarantined."""

    def test_unrelated_kills_refuse_hardly_any_request(self):
        """A kill every 0.7 s; requests are sent 4 times at most."""
        refused, sent = 0, 0
        for seed in range(30):
            model = FleetModel(seed)
            sends = {}
            retried = []
            for step in range(6_000):
                if step % 3 == 0:
                    retried.append(step)
                for request in retried:
                    sends[request] = sends.get(request, 0) + 1
                    was_sent = model.send(request, model.rng.uniform(0.2, 2.0))
                    refused += not was_sent
                retried = []
                if step % 70 == 69:
                    lost = model.crash([model.rng.choice(model.get_up())])
                    retried = [request for request in lost if sends[request] < 4]
                model.step()
            sent += len(sends)
        self.assertLess(refused / sent, 0.001)

    def test_identical_requests_recover_after_an_outage(self):
        """All requests are the same; domains, and at times all upstreams, crash."""
        for seed in range(10):
            model = FleetModel(seed)
            refused_steps = longest = 0
            for step in range(6_000):
                up = model.get_up()
                was_sent = model.send(POPULAR, model.rng.uniform(0.02, 0.3))
                refused_steps = refused_steps + 1 if up and not was_sent else 0
                longest = max(longest, refused_steps)
                if step % 500 == 499:
                    model.crash(up[:2])
                if step % 1_500 == 1_499:
                    model.crash(model.get_up())
                model.step()
            with self.subTest(seed=seed):
                # From the crash of all upstreams to the first response of one.
                self.assertLessEqual(longest * model.STEP, 0.35)

    def test_crashing_request_is_quarantined(self):
        for seed in range(30):
            model = FleetModel(seed)
            for step in range(3_000):
                if step % 3 == 0:
                    model.send(1_000 + step, model.rng.uniform(0.2, 2.0))
                if step % 40 == 0:
                    model.send(CRASHING, None)
                for row in list(model.running):
                    if row[0] == CRASHING and model.now - row[2] >= 0.1:
                        model.crash([row[1]])
                model.step()
            with self.subTest(seed=seed):
                self.assertEqual(model.ended, 3)
                self.assertIn(CRASHING, model.quarantined)
