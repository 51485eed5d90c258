"""Tests that crash notices reach all gateways in time, also through relays."""

import random
import unittest

from valeweir_gateway.digests import get_digest
from valeweir_gateway.fleet.reporter import get_notices
from valeweir_gateway.fleet.reports import MAX_BYTES, decode_report
from valeweir_gateway.quarantine import crash_attribution
from valeweir_gateway.quarantine.crash_attribution import Notice
from valeweir_gateway.quarantine.crashes import Crash, CrashCount
from valeweir_gateway.quarantine.records import QuarantineRecord
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire
from viewing import make_state

CRASHING = 2**63 + 9
# Time for the whole fleet to quarantine a request after the third crash.
QUARANTINE_DEADLINE_S = 3.0


class NullQuarantineStore:
    def schedule_write(self, fingerprint, observed):
        """Do nothing."""

    def schedule_removal(self, fingerprint, observed=True):
        """Do nothing."""

    def cancel_write(self, fingerprint):
        """Do nothing."""


def create_state(member, clock):
    state = make_state(member, clock)
    state.quarantine_store = NullQuarantineStore()
    return state


class TestNotices(unittest.TestCase):
    def setUp(self):
        self.wire = Wire(3, 120, create_state)
        self.wire.add_all_members()
        self.wire.run(2.0)
        self.states = list(self.wire.states.values())

    def crash_upstream(self, state, name):
        """Report a crash 50 ms after the request was sent to the upstream."""
        now = self.wire.now
        crash = Crash(name, now - 0.05, now)
        state.notices.append(Notice(CRASHING, crash))
        crash_attribution.apply_notice(state, Notice(CRASHING, crash), now)

    def get_counts(self):
        return {state.suspects.get_crash_count(CRASHING) for state in self.states}

    def test_one_crash_observed_twice_counts_once(self):
        self.crash_upstream(self.states[3], 1)
        self.crash_upstream(self.states[50], 1)
        self.wire.run(1.0)
        self.assertEqual(self.get_counts(), {CrashCount(1, 1)})

    def test_quarantined_by_all_gateways(self):
        """Three gateways in different parts of the fleet each observe a crash."""
        for number, state in enumerate(self.states[7::40]):
            self.crash_upstream(state, number)
            self.wire.run(0.5)
        self.wire.run(QUARANTINE_DEADLINE_S - 0.5)
        quarantined = sum(CRASHING in state.quarantine for state in self.states)
        self.assertEqual(quarantined, len(self.states))

    def test_ten_percent_datagram_loss(self):
        """Notices reach nine in ten gateways; the rest read the record in the store."""
        rng = random.Random(1)
        self.wire.is_cut = lambda sender, target: rng.random() < 0.1
        for number, state in enumerate(self.states[7::40]):
            self.crash_upstream(state, number)
            self.wire.run(0.5)
        quarantined = sum(CRASHING in state.quarantine for state in self.states)
        self.assertGreater(quarantined, 0.9 * len(self.states))

    def test_cleared_at_all_gateways(self):
        self.test_quarantined_by_all_gateways()
        state = self.states[20]
        crash_attribution.apply_notice(state, Notice(CRASHING, None), self.wire.now)
        state.notices.append(Notice(CRASHING, None))
        self.wire.run(1.0)
        self.assertEqual(self.get_counts(), {CrashCount(0, 0)})
        self.assertFalse(any(CRASHING in state.quarantine for state in self.states))

    def test_traffic_of_a_crash_under_many_requests(self):
        """Bounds what the busiest gateway sends besides its usual traffic."""
        before = {name: fleet.sent_bytes for name, fleet in self.wire.fleets.items()}
        self.wire.run(2.0)
        idle_bytes = max(
            fleet.sent_bytes - before[name] for name, fleet in self.wire.fleets.items()
        )
        before = {name: fleet.sent_bytes for name, fleet in self.wire.fleets.items()}
        state = self.states[7]
        for number in range(64):
            now = self.wire.now
            crash = Crash(1, now - 0.1, now)
            crash_attribution.apply_notice(state, Notice(number, crash), now)
            state.notices.append(Notice(number, crash))
        self.wire.run(2.0)
        busy_bytes = max(
            fleet.sent_bytes - before[name] for name, fleet in self.wire.fleets.items()
        )
        known = [len(state.suspects) for state in self.states]
        self.assertEqual(set(known), {64})
        # 64 notices of 24 bytes, sent twice, over at most 24 links of a relay.
        self.assertLess(busy_bytes - idle_bytes, 64 * 24 * 2 * 24 + 40_000)

    def test_crashed_upstream_is_ejected_by_all_gateways(self):
        instance = Instance("x", "llm", "10.9.9.9:1", "a", 8, True)
        for state in self.states:
            state.directory.put(instance)
        self.crash_upstream(self.states[7], get_digest("x"))
        self.wire.run(0.5)
        usable = [s.loads.is_usable("x", self.wire.now) for s in self.states]
        self.assertFalse(any(usable))
        self.wire.run(1.0)
        usable = [s.loads.is_usable("x", self.wire.now) for s in self.states]
        self.assertTrue(all(usable))

    def test_datagrams_stay_within_the_size_limit(self):
        state = self.states[0]
        notices = [Notice(n, Crash(n, 1.0, 1.5)) for n in range(2**60, 2**60 + 12)]
        fleet = next(iter(self.wire.fleets.values()))
        report = fleet._reporter.make("a", self.wire.now, notices=notices)
        sent = []
        fleet._sock.sendto = lambda data, to: sent.append(data)
        fleet._send_to("10.0.0.1:4", report)
        self.assertLessEqual(max(map(len, sent)), MAX_BYTES)
        got = get_notices(decode_report(sent[0]), self.wire.now)
        self.assertEqual([row.fingerprint for row in got], [n[0] for n in notices])
        for row in got:
            self.assertAlmostEqual(row.crash.sent, 1.0, 2)
            self.assertAlmostEqual(row.crash.ended, 1.5, 2)
        self.assertEqual(len(state.suspects), 0)

    def test_record_starts_and_ends_a_quarantine(self):
        state = self.states[0]
        crash_attribution.apply_record(
            state, CRASHING, QuarantineRecord(), self.wire.now
        )
        self.assertIn(CRASHING, state.quarantine)
        crash_attribution.apply_record(state, CRASHING, None, self.wire.now)
        self.assertNotIn(CRASHING, state.quarantine)
