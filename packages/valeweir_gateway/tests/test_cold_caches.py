"""Cold caches: after a start or an outage no engine holds any shared prompt part.

Hundreds of gateways then choose engines for the same parts within a second, with
reports of each other that are about 0.1 s old. Every engine that reads a further copy
of a part serves no other request for a quarter of a second.
"""

import collections
import random
import unittest

from valeweir_gateway.digests import get_digest
from valeweir_gateway.placement.choice import choose_engine
from valeweir_gateway.placement.cold_caches import Spread, choose_spread
from valeweir_gateway.placement.loads import Loads
from valeweir_gateway.placement.prompts import Part, Prompt
from valeweir_gateway.view.directory import Instance

GATEWAY_COUNT = 40
ENGINE_COUNT = 20
PART_COUNT = 200
SHARED_TOKENS = 13_000
OWN_TOKENS = 3_700
READ_TOKENS_PER_S = 51_100.0
TARGET_S = 0.8
# Maximum expected wait of an admitted request, relative to the latency target.
ADMISSION_RATIO = 0.65
REPORT_DELAY_S = 0.1
STEP_S = 0.01


class Engine:
    """Reads prompts in order of arrival and caches every shared part."""

    def __init__(self):
        self.free_at = 0.0
        self.held = set()

    def read(self, part, now):
        """Read a prompt; return the time of its first event and the tokens reread."""
        reread_tokens = 0 if part in self.held else SHARED_TOKENS
        self.held.add(part)
        start = max(now, self.free_at)
        self.free_at = start + (reread_tokens + OWN_TOKENS) / READ_TOKENS_PER_S
        return self.free_at + 0.05, reread_tokens


class Simulation:
    """Requests that arrive at gateways while all engine caches are empty."""

    def __init__(self, seed, arrivals):
        self.rng = random.Random(seed)
        self.arrivals = arrivals
        self.instances = [
            Instance(f"e{n}", "llm", f"10.0.0.{n}:1", "a", 12, True)
            for n in range(ENGINE_COUNT)
        ]
        self.engines = {instance.id: Engine() for instance in self.instances}
        self.gateways = [Loads() for _ in range(GATEWAY_COUNT)]
        for loads in self.gateways:
            loads.rate = READ_TOKENS_PER_S
            for instance in self.instances:
                loads.record_listed(instance.id, [], 0.0)
        # Unread tokens by engine at each step, and reports of read parts in transit.
        self.totals_history = collections.deque(maxlen=round(REPORT_DELAY_S / STEP_S))
        self.read_notices = collections.deque()
        self.pending = []
        self.counts = collections.Counter()

    def run(self, seconds):
        """Run the simulation; return the number of requests by outcome."""
        for step in range(round(seconds / STEP_S)):
            now = step * STEP_S
            self._exchange_reports(now)
            expected = self.arrivals * STEP_S
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self._arrive(now)
        return self.counts

    def _exchange_reports(self, now):
        for pending in [pending for pending in self.pending if pending[0] <= now]:
            self.pending.remove(pending)
            _, loads, work = pending
            loads.record_progress(work, now)
            loads.finish(work, now)
        totals = collections.Counter()
        for loads in self.gateways:
            for instance_id, (unread, _) in loads.get_report().items():
                totals[instance_id] += unread
        self.totals_history.append(totals)
        seen = self.totals_history[0]
        for loads in self.gateways:
            own = loads.get_report()
            remote = {
                instance_id: (max(0, unread - own.get(instance_id, (0, 0))[0]), 0)
                for instance_id, unread in seen.items()
            }
            loads.set_remote(remote, now)
        while self.read_notices and self.read_notices[0][0] <= now:
            _, instance_id, digest = self.read_notices.popleft()
            for loads in self.gateways:
                loads.record_part_digest(digest, instance_id, now)

    def _arrive(self, now):
        loads = self.rng.choice(self.gateways)
        part = f"part-{self.rng.randrange(PART_COUNT)}"
        own = Part(f"{self.rng.getrandbits(64):x}", OWN_TOKENS)
        prompt = Prompt(
            SHARED_TOKENS + OWN_TOKENS, 30, (Part(part, SHARED_TOKENS), own)
        )
        choice = choose_engine(prompt, self.instances, loads, now, None, 0.0, TARGET_S)
        if choice.wait > max(ADMISSION_RATIO * TARGET_S, choice.alone + 0.2 * TARGET_S):
            self.counts["refused"] += 1
            return
        work = loads.start(choice.instance.id, choice.tokens, now)
        loads.record_parts(prompt.shared, choice.instance.id, now)
        digest = get_digest(part)
        self.read_notices.append((now + REPORT_DELAY_S, choice.instance.id, digest))
        first, reread_tokens = self.engines[choice.instance.id].read(part, now)
        self.pending.append((first, loads, work))
        self.counts["in time" if first - now <= TARGET_S else "late"] += 1
        self.counts["reread tokens"] += reread_tokens


def simulate(arrivals, seconds=4.0, seeds=(1, 2, 3)):
    """Return the ratio of requests by outcome, and that of reread tokens.

    The second is relative to the tokens of all shared parts.
    """
    total = collections.Counter()
    for seed in seeds:
        total.update(Simulation(seed, arrivals).run(seconds))
    total_requests = total["in time"] + total["late"] + total["refused"]
    ratios = {
        outcome: total[outcome] / total_requests
        for outcome in ("in time", "late", "refused")
    }
    return ratios, total["reread tokens"] / (len(seeds) * PART_COUNT * SHARED_TOKENS)


class TestColdCaches(unittest.TestCase):
    """The simulated engines can read 61 prompts per second with empty caches."""

    def test_all_are_served_below_capacity(self):
        ratios, _ = simulate(arrivals=20.0)
        self.assertGreater(ratios["in time"], 0.99)

    def test_most_are_served_near_capacity(self):
        ratios, _ = simulate(arrivals=55.0)
        self.assertGreater(ratios["in time"], 0.84)

    def test_overload_serves_requests_in_time(self):
        ratios, reread_ratio = simulate(arrivals=100.0)
        self.assertGreater(ratios["in time"], 0.55)
        self.assertLess(ratios["late"], 0.1)
        self.assertLess(reread_ratio, 1.0)


class TestChooseSpread(unittest.TestCase):
    def test_idle_engines_have_no_home_discount(self):
        self.assertEqual(choose_spread(0.0, 0.8), Spread(0.0, 0.65 * 0.8))

    def test_backlogged_engines_have_full_home_discount(self):
        self.assertEqual(choose_spread(0.5, 0.8), Spread(1.0))

    def test_discount_rises_with_backlog(self):
        discounts = [choose_spread(n / 20, 0.8).home_discount for n in range(10)]
        self.assertEqual(discounts, sorted(discounts))
        self.assertEqual((discounts[0], discounts[-1]), (0.0, 1.0))
