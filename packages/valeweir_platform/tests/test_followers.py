import threading
import unittest

import msgspec
from loguru import logger
from valeweir.configuration import Configuration
from valeweir.exceptions import AppendOutcomeUnknown, PlatformUnavailable
from valeweir.resources import Change
from valeweir_platform.adapters import Batch, Record
from valeweir_platform.followers import LogFollower

logger.disable("valeweir_platform")


class FakeLog:
    """In-memory log that simulates the faults of the platform's log."""

    def __init__(self):
        self.bodies = []
        self.first = 0
        self.down = False
        self.lose_responses = False

    def append(self, body):
        if self.down:
            raise PlatformUnavailable("down")
        self.bodies.append(body)
        if self.lose_responses:
            raise AppendOutcomeUnknown("no response")
        return len(self.bodies) - 1

    def read(self, offset):
        if self.down:
            raise PlatformUnavailable("down")
        start = max(offset, self.first)
        rows = [Record(n, self.bodies[n]) for n in range(start, len(self.bodies))]
        return Batch(self.first, len(self.bodies), rows[:3])


def make_change(number, base=0):
    spec = {"partner": "p", "key_hashes": []}
    return Change(
        id=f"c{number}",
        kind="client-accounts",
        name=f"a{number}",
        base=base,
        spec=spec,
    )


def make_follower(log):
    events = []
    follower = LogFollower(
        log,
        Configuration(),
        threading.RLock(),
        on_change=lambda: events.append("change"),
        on_caught_up=lambda: events.append("reached"),
    )
    return follower, events


def follow_all(follower):
    while follower.follow_once():
        pass


class TestLogFollower(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.follower, self.events = make_follower(self.log)

    def get_account_names(self, follower=None):
        chosen = follower or self.follower
        return sorted(chosen._configuration.resources["client-accounts"])

    def append(self, *numbers):
        for number in numbers:
            self.log.append({"change": msgspec.to_builtins(make_change(number))})

    def test_reads_batches_until_the_end_of_the_log(self):
        self.append(*range(7))
        follow_all(self.follower)
        self.assertEqual(len(self.get_account_names()), 7)
        self.assertEqual(self.events[-1], "reached")

    def test_append_outcomes(self):
        cases = [
            ("accepted", {}, True),
            ("response lost after the append", {"lose_responses": True}, True),
        ]
        for number, (name, faults, accepted) in enumerate(cases):
            with self.subTest(name):
                vars(self.log).update(faults)
                verdict = self.follower.submit(make_change(number), timeout=1.0)
                self.assertEqual(verdict.accepted, accepted)

    def test_submit_raises_while_the_log_is_down(self):
        self.log.down = True
        with self.assertRaises(PlatformUnavailable):
            self.follower.submit(make_change(1), timeout=0.1)

    def test_repeated_change_returns_its_verdict_without_an_append(self):
        first = self.follower.submit(make_change(1), timeout=1.0)
        again = self.follower.submit(make_change(1), timeout=1.0)
        self.assertEqual((first, len(self.log.bodies)), (again, 1))

    def test_outage_keeps_the_last_configuration(self):
        self.append(1)
        follow_all(self.follower)
        self.log.down = True
        self.assertFalse(self.follower.follow_once())
        self.assertEqual(self.get_account_names(), ["a1"])

    def test_router_started_after_expiry_adopts_the_snapshot(self):
        self.append(*range(5))
        follow_all(self.follower)
        self.follower.write_snapshot()
        self.append(5, 6)
        self.log.first = 5
        late_follower, events = make_follower(self.log)
        follow_all(late_follower)
        follow_all(self.follower)
        self.assertEqual(
            self.get_account_names(late_follower), self.get_account_names()
        )
        self.assertEqual(
            late_follower._configuration.verdicts, self.follower._configuration.verdicts
        )
        self.assertIn("reached", events)

    def test_records_after_a_gap_are_not_folded_without_a_snapshot(self):
        self.append(*range(5))
        self.log.first = 2
        late_follower, events = make_follower(self.log)
        follow_all(late_follower)
        self.assertTrue(late_follower.gap)
        self.assertEqual((self.get_account_names(late_follower), events), ([], []))

    def test_snapshot_older_than_the_first_record_is_skipped(self):
        self.append(0, 1)
        follow_all(self.follower)
        self.append(2, 3)
        self.follower.write_snapshot()
        self.log.first = 3
        late_follower, _ = make_follower(self.log)
        follow_all(late_follower)
        self.assertEqual(self.get_account_names(late_follower), [])
