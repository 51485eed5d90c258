"""Tests that parts of prompts are blamed for crashes only if they cause them."""

import unittest
from types import SimpleNamespace

import msgspec
from valeweir_gateway.digests import get_digest
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.fleet.reporter import get_notices
from valeweir_gateway.fleet.reports import MAX_BYTES, decode_report
from valeweir_gateway.quarantine import crash_attribution
from valeweir_gateway.quarantine.crash_attribution import Notice
from valeweir_gateway.quarantine.crashes import Crash, Suspects
from valeweir_gateway.quarantine.fingerprints import get_part_fingerprint
from valeweir_gateway.quarantine.part_answers import Answer, PartAnswers
from valeweir_gateway.quarantine.records import (
    Quarantine,
    QuarantineRecord,
    decode_record,
    encode_record,
    needs_quarantine,
)
from valeweir_gateway.view.directory import Instance
from valeweir_standins.wires import Wire
from viewing import Clock, make_state

PART = get_part_fingerprint("llm", "part")
SHARED_PART = get_part_fingerprint("llm", "shared")
V1, V2 = get_digest("v1"), get_digest("v2")


class NullQuarantineStore:
    def schedule_write(self, fingerprint, observed):
        """Do nothing."""

    def schedule_removal(self, fingerprint, observed=True):
        """Do nothing."""

    def cancel_write(self, fingerprint):
        """Do nothing."""


def make_crash(number, at=None, version=V1, request=None, **fields):
    """Return the crash of a part at an instance, 0.1 s after the request was sent."""
    at = float(number) if at is None else at
    request = number if request is None else request
    return Crash(number, at, at + 0.1, version, request, **fields)


class TestSuspectParts(unittest.TestCase):
    def setUp(self):
        self.suspects = Suspects()

    def add(self, crashes, fingerprint=PART):
        for crash in crashes:
            self.suspects.add(fingerprint, crash, crash.ended)
        return self.suspects.get_crash_count(fingerprint)

    def test_different_requests_are_needed(self):
        """The request may be the cause if there is only one."""
        same = [make_crash(number, request=7) for number in range(4)]
        self.assertFalse(needs_quarantine(self.add(same)))
        self.assertTrue(needs_quarantine(self.add([make_crash(4)])))

    def test_answered_part_needs_more_crashes(self):
        crashes = [make_crash(number, was_answered=True) for number in range(5)]
        self.assertFalse(needs_quarantine(self.add(crashes[:4])))
        self.assertTrue(needs_quarantine(self.add(crashes)))

    def test_later_answer_clears_its_version(self):
        self.add([make_crash(1), make_crash(2, version=V2), make_crash(3)])
        self.assertFalse(self.suspects.clear_part(PART, V1, 0.5))
        self.assertTrue(self.suspects.clear_part(PART, V1, 2.5))
        self.assertEqual(self.suspects.get_crash_count(PART).upstreams, 2)
        self.assertEqual(self.suspects.get_versions(PART), {V1, V2})
        self.assertTrue(self.suspects.clear_part(PART, V1, 9.0))
        self.assertEqual(self.suspects.get_versions(PART), {V2})

    def test_crashes_of_another_cause_are_left_out(self):
        crashes = [make_crash(number) for number in range(3)]
        self.add(crashes[:2])
        self.add(crashes, SHARED_PART)
        count = self.suspects.get_crash_count(SHARED_PART, {PART, SHARED_PART})
        self.assertEqual(count.upstreams, 1)

    def test_rivals(self):
        crashes = [make_crash(number) for number in range(3)]
        self.add(crashes)
        self.assertFalse(self.suspects.has_rivals(PART))
        self.add(crashes[:1], SHARED_PART)
        self.assertFalse(self.suspects.has_rivals(PART))
        # The third crash may not have been reported for both parts yet.
        self.add(crashes[1:2], SHARED_PART)
        self.assertTrue(self.suspects.has_rivals(PART))
        self.add([make_crash(5, was_answered=True)], SHARED_PART)
        self.assertFalse(self.suspects.has_rivals(PART))


class TestPartAnswers(unittest.TestCase):
    def test_disproves_earlier_crashes_of_the_version(self):
        answers = PartAnswers()
        answers.record(PART, Answer(V1, 5.0))
        answers.record(PART, Answer(V1, 3.0))
        self.assertTrue(answers.disproves(PART, make_crash(4)))
        self.assertFalse(answers.disproves(PART, make_crash(5)))
        self.assertFalse(answers.disproves(PART, make_crash(4, version=V2)))
        self.assertFalse(answers.disproves(SHARED_PART, make_crash(4)))

    def test_recent(self):
        answers = PartAnswers()
        answers.record(PART, Answer(V1, 5.0))
        self.assertTrue(answers.is_recent(PART, V1, 64.0))
        self.assertFalse(answers.is_recent(PART, V1, 66.0))

    def test_size_is_bounded(self):
        answers = PartAnswers()
        for number in range(20_000):
            answers.record(number, Answer(V1, 1.0))
        self.assertEqual(len(answers), 16_384)
        self.assertFalse(answers.is_recent(0, V1, 1.0))
        self.assertTrue(answers.is_recent(19_999, V1, 1.0))


class GatewayCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.state = make_state(Member("h", "a", "10.0.0.1:4"), self.clock)
        self.state.quarantine_store = NullQuarantineStore()

    def crash(self, count, version=V1, fingerprint=PART):
        for number in range(count):
            self.clock.now += 1.0
            crash = make_crash(number, self.clock.now - 0.1, version)
            notice = Notice(fingerprint, crash)
            crash_attribution.apply_notice(self.state, notice, self.clock.now)

    def answer(self, version, began=None):
        began = self.clock.now if began is None else began
        notice = Notice(PART, None, Answer(version, began))
        crash_attribution.apply_notice(self.state, notice, self.clock.now)


class TestRelease(GatewayCase):
    def test_answer_that_began_after_the_crashes(self):
        self.crash(3)
        self.assertIn(PART, self.state.quarantine)
        self.clock.now += 1.0
        self.answer(V1)
        self.assertNotIn(PART, self.state.quarantine)

    # Guards against a release by streams that began before the part crashed upstreams.
    def test_answer_that_began_before_the_crashes(self):
        began = self.clock.now
        self.crash(3)
        self.answer(V1, began)
        self.assertIn(PART, self.state.quarantine)

    def test_answer_of_another_version(self):
        self.crash(3)
        self.clock.now += 1.0
        self.answer(V2)
        self.assertEqual(self.state.quarantine.get(PART).record.sound, (V2,))
        self.answer(V1)
        self.assertNotIn(PART, self.state.quarantine)

    def test_version_that_was_answered_is_sound(self):
        for version in ("v1", "v2"):
            instance = Instance(version, "llm", "h:1", "a", 8, True, version=version)
            self.state.directory.put(instance)
        self.answer(V1)
        self.crash(3, V2)
        record = self.state.quarantine.get(PART).record
        self.assertEqual((record.versions, record.sound), ((V2,), (V1,)))


class TestPendingAnswers(GatewayCase):
    """Answers whose end only the close of a connection marked."""

    def setUp(self):
        super().setUp()
        self.instance = Instance("i", "llm", "h:1", "a", 8, True, version="v1")
        self.state.directory.put(self.instance)
        self.crash(2)
        answer = Answer(V1, self.clock.now + 0.5)
        self.state.pending_answers.add(
            self.instance, [PART], answer, self.clock.now + 1.0
        )

    def confirm(self, seconds):
        self.clock.now += seconds
        crash_attribution.confirm_pending_answers(self.state)
        return self.state.suspects.get_crash_count(PART).upstreams

    def test_clears_if_the_upstream_lives(self):
        self.assertEqual(self.confirm(4.0), 2)
        self.assertEqual(self.confirm(1.5), 0)

    def test_upstream_that_has_crashed(self):
        crash = Crash(get_digest("i"), self.clock.now, self.clock.now + 0.6)
        self.state.suspects.add(1, crash, self.clock.now)
        self.assertEqual(self.confirm(6.0), 2)

    def test_upstream_that_has_left(self):
        self.state.directory.remove("i")
        self.assertEqual(self.confirm(6.0), 2)


class TestRecords(unittest.TestCase):
    RECORD = QuarantineRecord(part="p", service="llm", versions=(V1,))

    def test_encoding(self):
        self.assertEqual(decode_record(encode_record(self.RECORD)), self.RECORD)

    def test_record_of_an_older_release(self):
        record = decode_record(b'{"upstreams":3,"runs":3,"trials":1,"is_sure":true}')
        self.assertEqual((record.part, record.versions), (None, ()))

    def test_trial_goes_to_an_untried_version_at_once(self):
        quarantine = Quarantine()
        quarantine.put(PART, self.RECORD, 100.0)
        version = self.RECORD.pick_trial_version([V1, V2])
        self.assertEqual(version, V2)
        self.assertTrue(quarantine.get(PART).is_trial_due(100.0, V2))
        self.assertFalse(quarantine.get(PART).is_trial_due(100.0, V1))
        counted = self.RECORD.count_trial(V2)
        self.assertEqual((counted.trials, counted.versions), (1, (V1, V2)))

    def test_trials_of_new_versions_are_limited(self):
        quarantine = Quarantine()
        record = self.RECORD
        for version in (11, 12, 13):
            record = record.count_trial(version)
        quarantine.put(PART, record, 100.0)
        self.assertFalse(quarantine.get(PART).is_trial_due(100.0, 14))

    def test_name_of_the_part_is_kept(self):
        quarantine = Quarantine()
        quarantine.put(PART, self.RECORD, 100.0)
        nameless = msgspec.structs.replace(self.RECORD, part=None, trials=1)
        quarantine.put(PART, nameless, 101.0)
        self.assertEqual(quarantine.get(PART).record.part, "p")

    def test_name_of_the_part_is_learned(self):
        quarantine = Quarantine()
        quarantine.put(PART, msgspec.structs.replace(self.RECORD, part=None), 100.0)
        quarantine.put(PART, self.RECORD, 101.0)
        entry = quarantine.get(PART)
        self.assertEqual((entry.record.part, entry.since), ("p", 100.0))


class TestNotices(unittest.TestCase):
    def create_wire(self):
        def create_state(member, clock):
            state = make_state(member, clock)
            state.quarantine_store = NullQuarantineStore()
            return state

        wire = Wire(3, 120, create_state)
        wire.add_all_members()
        wire.run(2.0)
        return wire

    def test_quarantined_and_cleared_by_all_gateways(self):
        """Three gateways in different parts of the fleet each observe a crash."""
        wire = self.create_wire()
        states = list(wire.states.values())

        def report(state, notice):
            state.notices.append(notice)
            crash_attribution.apply_notice(state, notice, wire.now)
            wire.run(1.0)

        for number, state in enumerate(states[7::40]):
            report(state, Notice(PART, make_crash(number, wire.now - 0.2)))
        self.assertTrue(all(PART in state.quarantine for state in states))
        report(states[20], Notice(PART, None, Answer(V1, wire.now)))
        self.assertFalse(any(PART in state.quarantine for state in states))

    def test_encoding(self):
        fleet = next(iter(self.create_wire().fleets.values()))
        crash = Crash(7, 1.0, 1.5, V1, 2**32 - 1, True)
        notices = [Notice(2**64 - 1 - n, crash) for n in range(11)]
        notices.append(Notice(PART, None, Answer(V1, 1.25)))
        report = fleet._reporter.make("a", 2.0, notices=notices)
        sent = []
        fleet._sock.sendto = lambda data, to: sent.append(data)
        fleet._send_to("10.0.0.1:4", report)
        self.assertLessEqual(max(map(len, sent)), MAX_BYTES)
        rows = get_notices(decode_report(sent[0]), 2.0)
        self.assertEqual(rows, notices)

    def test_reports_of_an_older_release(self):
        fleet = next(iter(self.create_wire().fleets.values()))
        data = msgspec.msgpack.encode(fleet._reporter.make("a", 2.0))
        older = msgspec.msgpack.decode(data)[:-2]
        report = decode_report(msgspec.msgpack.encode(older))
        self.assertEqual((report.part_crashes, report.part_answers), ([], []))


class TestChecks(GatewayCase):
    def check(self, *versions):
        for version in versions:
            instance = Instance(version, "llm", "h:1", "a", 8, True, version=version)
            self.state.directory.put(instance)
        ctx = SimpleNamespace(service="llm", shared_parts=("part",), fingerprint=1)
        return crash_attribution.check_quarantine(self.state, ctx), ctx

    def test_part_is_refused(self):
        self.crash(3)
        self.assertEqual(self.check("v1")[0].code, "quarantined")

    def test_version_that_was_not_tried_gets_a_trial(self):
        self.crash(3)
        refusal, ctx = self.check("v1", "v2")
        self.assertEqual((refusal, ctx.trial), (None, (PART, V2)))

    # Guards against an error where a quarantined part has no upstream at all.
    def test_service_without_upstreams(self):
        self.crash(3)
        self.assertIsNone(self.check()[0])


class TestPartsOfRequests(unittest.TestCase):
    def test_parts_of_services_differ(self):
        contexts = [
            SimpleNamespace(service=service, shared_parts=("a", "b", "a"))
            for service in ("llm", "other")
        ]
        first, second = map(crash_attribution.get_part_fingerprints, contexts)
        self.assertEqual(sorted(first.values()), ["a", "b"])
        self.assertFalse(first.keys() & second.keys())
