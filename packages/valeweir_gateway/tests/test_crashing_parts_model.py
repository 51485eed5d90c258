"""Model of a service whose upstreams crash, with and without a crashing prompt part."""

import random
import unittest
from types import SimpleNamespace

from valeweir_gateway.fleet.members import Member
from valeweir_gateway.quarantine import crash_attribution
from valeweir_gateway.quarantine.crash_attribution import Notice
from valeweir_gateway.quarantine.crashes import Crash
from valeweir_gateway.quarantine.fingerprints import get_part_fingerprint
from valeweir_gateway.quarantine.part_answers import PROOF_S
from viewing import Clock, make_state

VERSION = 1
STEP_S = 0.02
RESTART_S = 3.0
CRASH_DELAY_S = 0.1
# Shared parts: few first ones, as in most deployments, and many that follow.
FIRST_PARTS = [f"first-{number}" for number in range(3)]
NEXT_PARTS = [f"next-{number}" for number in range(140)]
CRASHING_PART = "crashing"


class Run:
    """One request at an upstream; times are in seconds."""

    def __init__(self, number, parts, upstream, sent, begin, length):
        self.number = number
        self.parts = parts
        self.upstream = upstream
        self.sent = sent
        self.begin = sent + begin
        self.end = self.begin + length
        self.is_proved = False


class Service:
    """A service and the gateways before it, which share all that they know."""

    def __init__(self, seed, upstream_count, length_s):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.state = make_state(Member("h", "a", "10.0.0.1:4"), self.clock)
        self.state.quarantine_store = SimpleNamespace(
            schedule_write=lambda *_, **__: None,
            schedule_removal=lambda *_, **__: None,
            cancel_write=lambda *_: None,
        )
        self.length_s = length_s
        self.back_at = dict.fromkeys(range(upstream_count), 0.0)
        self.runs = []
        self.sent = 0
        self.refused_parts = []
        self.crash_times = []

    def send(self, parts):
        """Send a request to an upstream that is up, unless a part is quarantined."""
        now = self.clock.now
        up = [name for name, at in self.back_at.items() if at <= now]
        held = [part for part in parts if get_key(part) in self.state.quarantine]
        if not up:
            return
        if held and not (len(held) == 1 and self.claim_trial(held[0])):
            self.refused_parts += held
            return
        self.sent += 1
        begin = self.rng.uniform(0.05, 0.4)
        length = self.rng.uniform(0.2, 2.0) * self.length_s
        run = Run(self.sent, parts, self.rng.choice(up), now, begin, length)
        self.runs.append(run)

    def claim_trial(self, part):
        quarantine = self.state.quarantine
        entry = quarantine.get(get_key(part))
        if not entry.is_trial_due(self.clock.now, VERSION):
            return False
        record = entry.record.count_trial(VERSION)
        quarantine.put(get_key(part), record, self.clock.now)
        return True

    def crash(self, upstream):
        now = self.clock.now
        self.back_at[upstream] = now + RESTART_S
        lost = [run for run in self.runs if run.upstream == upstream]
        self.runs = [run for run in self.runs if run.upstream != upstream]
        for run in lost:
            if run.is_proved:
                continue
            for part in run.parts:
                key = get_key(part)
                answered = self.state.part_answers.is_recent(key, VERSION, now)
                crash = Crash(upstream, run.sent, now, VERSION, run.number, answered)
                crash_attribution.apply_notice(self.state, Notice(key, crash), now)

    def step(self):
        self.clock.now += STEP_S
        now = self.clock.now
        if int(now / STEP_S) % 50 == 0:
            crash_attribution.release_expired(self.state)
        for run in list(self.runs):
            begins_crash = CRASHING_PART in run.parts and now >= run.begin
            if begins_crash and run in self.runs:
                self.crash_times.append(now)
                self.crash(run.upstream)
            elif now >= run.end or (not run.is_proved and now >= run.begin + PROOF_S):
                run.is_proved = True
                self.clear(run)
        self.runs = [run for run in self.runs if run.end > now]

    def clear(self, run):
        keys = [get_key(part) for part in run.parts]
        for key in keys:
            answer = crash_attribution.Answer(VERSION, run.begin)
            crash_attribution.apply_notice(
                self.state, Notice(key, None, answer), self.clock.now
            )


def get_key(part):
    return get_part_fingerprint("llm", part)


def draw_parts(rng):
    return [rng.choice(FIRST_PARTS), rng.choice(NEXT_PARTS)]


def play(
    seed,
    seconds,
    crash_interval,
    crashing_interval,
    length_s=1.0,
    upstreams=6,
    calm=0.25,
):
    """Return a `Service` after requests every 40 ms, and crashes at intervals."""
    service = Service(seed, upstreams, length_s)
    rng = service.rng
    steps = round(seconds / STEP_S)
    for step in range(steps):
        if step % 2 == 0:
            service.send(draw_parts(rng))
        if crash_interval and step % round(crash_interval / STEP_S) == 0:
            service.crash(rng.randrange(upstreams))
        # By default, the part comes once the others have been answered.
        if crashing_interval and step >= calm * steps:
            if step % round(crashing_interval / STEP_S) == 0:
                first, following = draw_parts(rng)
                service.send([first, CRASHING_PART, following])
        service.step()
    return service


class TestUnrelatedCrashes(unittest.TestCase):
    """Parts of prompts that only ran beside crashes are hardly ever refused."""

    def check(self, **conditions):
        refused = sent = 0
        for seed in range(10):
            service = play(seed, 60.0, 0.7, None, **conditions)
            refused += len(service.refused_parts)
            sent += service.sent
            self.assertFalse(set(service.refused_parts) & set(FIRST_PARTS))
        self.assertLess(refused / sent, 0.001)

    def test_short_responses(self):
        self.check()

    def test_responses_longer_than_upstreams_live(self):
        self.check(length_s=10.0)


class TestCrashingPart(unittest.TestCase):
    """A part that crashes upstreams is found, and those beside it are not blamed."""

    def check(self, max_crash_count=5, **conditions):
        for seed in range(20):
            service = play(seed, 20.0, **conditions)
            with self.subTest(seed=seed):
                times = service.crash_times
                self.assertIn(get_key(CRASHING_PART), service.state.quarantine)
                self.assertLessEqual(len(times), max_crash_count)
                self.assertFalse(set(service.refused_parts) & set(FIRST_PARTS))

    def test_alone(self):
        self.check(crash_interval=None, crashing_interval=0.4)

    def test_several_at_once(self):
        """Requests that are sent before any crash is known add crashes."""
        self.check(7, crash_interval=None, crashing_interval=0.08, upstreams=10)

    def test_beside_other_crashes(self):
        self.check(crash_interval=0.9, crashing_interval=0.4, upstreams=8)

    def test_beside_long_responses(self):
        self.check(crash_interval=0.9, crashing_interval=0.4, length_s=10.0)
