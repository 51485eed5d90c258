import math
import random
import unittest
from types import SimpleNamespace

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.adapters import CacheListRefused
from valeweir_gateway.admission.client_deadlines import ClientDeadlines
from valeweir_gateway.admission.intake import IntakeQueue
from valeweir_gateway.admission.latency_targets import RecentLatencyTargets
from valeweir_gateway.admission.policy import (
    check_call_wait,
    check_pressure,
    check_share,
    check_wait,
)
from valeweir_gateway.admission.pressure import (
    OverloadDetector,
    PressureLevel,
    ProcessorPressure,
    get_occupancy_level,
)
from valeweir_gateway.admission.shares import Shares
from valeweir_gateway.admission.usage import UsageWindow
from valeweir_gateway.digests import get_digest
from valeweir_gateway.fleet.members import Member, Members
from valeweir_gateway.operations.metrics import GatewayMetrics
from valeweir_gateway.placement.backoffs import Backoffs
from valeweir_gateway.placement.caches import CacheDiscovery
from valeweir_gateway.placement.choice import Choice
from valeweir_gateway.placement.loads import Loads
from valeweir_gateway.placement.prompts import Prompt
from valeweir_gateway.placement.slow_start import SlowStart
from valeweir_gateway.settings import Returns, Sharing
from valeweir_gateway.settings import SlowStart as SlowStartBound
from valeweir_gateway.view.catalog import (
    Account,
    Catalog,
    Engine,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
)
from valeweir_gateway.view.directory import Directory, Instance

NOW = 50.0
ENGINE = Instance("i0", "llm", "127.0.0.1:1", "a", 64, True)
PLAIN = Instance("p0", "api", "127.0.0.1:2", "a", 6, True)
PROMPT = Prompt(1_000, 0, ())
ROUTE = Route("r", "h", "/", RouteKind.STREAM, 10.0, 1.0, 1, (Target("llm", 1.0),), 1)


class RecordingLog:
    def __init__(self):
        self.events = []

    def note(self, event, failed=False, **fields):
        self.events.append(event)


def make_state():
    catalog = Catalog(
        1,
        [ROUTE],
        [Service("llm", 8, Engine(64, 1_000)), Service("api", 8, None)],
        [Account("one", ("k",), None)],
        Limits(),
    )
    state = SimpleNamespace(
        cfg=SimpleNamespace(returns=Returns()),
        inflight=0,
        intake=IntakeQueue(),
        catalog=catalog,
        directory=Directory(),
        loads=Loads(),
        latency_targets=RecentLatencyTargets(),
        members=Members(Member("a", "x", "127.0.0.1:9")),
        pressure=ProcessorPressure(RecordingLog()),
        shares=Shares(UsageWindow(4.0), Sharing()),
        log=RecordingLog(),
        clock=lambda: NOW,
        backoffs=Backoffs(),
        metrics=GatewayMetrics(),
        rng=random.Random(1),
    )
    state.slow_start = SlowStart(state.rng, lambda: 1, SlowStartBound())
    state.get_pressure = lambda: state.pressure.level
    return state


class TestModelRequestWait(unittest.TestCase):
    def setUp(self):
        self.state = make_state()

    def make_ctx(self, allowed=10.0, account="one", draw=0.0):
        catalog = self.state.catalog
        return SimpleNamespace(
            route=ROUTE,
            catalog=catalog,
            service="llm",
            account=catalog.accounts[account] if account else None,
            prompt=PROMPT,
            allowed=allowed,
            spent=ROUTE.timeout - allowed,
            deadline=NOW + allowed,
            draw=draw,
        )

    def check(self, wait, alone=0.1, allowed=10.0, account="one", draw=0.0):
        ctx = self.make_ctx(allowed, account, draw)
        choice = Choice(ENGINE, 100, wait, alone, "home")
        return check_wait(self.state, ctx, choice, NOW)

    def test_wait_well_within_target(self):
        self.assertIsNone(self.check(0.6))
        self.assertIsNone(self.check(0.6, account=None))

    def test_wait_near_target_is_refused_with_retry_after(self):
        refusal = self.check(0.9)
        self.assertEqual((refusal.status, refusal.code), (503, "engines-busy"))
        self.assertGreater(refusal.retry_after, 0.0)
        self.assertEqual(refusal.inputs["expected_ms"], 900)

    def test_retry_after_leaves_time_to_be_served(self):
        refusal = self.check(5.0, allowed=1.5)
        self.assertLessEqual(refusal.retry_after, 0.5)

    def test_returns_replace_the_fixed_time(self):
        """Requests that are refused together must not get the same Retry-After."""
        self.state.cfg = SimpleNamespace(returns=Returns(enabled=True))
        self.record_usage(other_begun=0)
        for code, draw in (("engines-busy", 0.0), ("beyond-share", 0.999)):
            refusals = [self.check(0.9, draw=draw) for _ in range(20)]
            self.assertEqual({row.code for row in refusals}, {code})
            self.assertGreater(len({row.retry_after for row in refusals}), 10)
            self.assertEqual(refusals[0].inputs["return_timing"], "on-time")
            self.assertEqual(refusals[0].inputs["refused_tokens"], 20_000)
            self.assertIsNone(self.check(0.9, allowed=0.05, draw=draw).retry_after)

    def test_prompt_too_long_for_its_target(self):
        self.assertIsNone(self.check(2.1, alone=2.0))
        self.assertIsNotNone(self.check(2.5, alone=2.0))

    def test_shortest_target_in_use_applies_to_all_routes(self):
        self.state.latency_targets.observe("llm", 0.4, NOW - 1.0)
        self.assertIsNotNone(self.check(0.6))
        self.state.latency_targets.observe("llm", 0.4, NOW - 90.0)
        self.assertIsNone(self.check(0.2))

    def record_usage(self, other_begun=8):
        for account, begun in (("one", 20), ("two", other_begun)):
            for number in range(20):
                self.state.shares.count_asked_tokens(account, 1_000, NOW)
                if number < begun:
                    self.state.shares.count_begun_tokens(account, 1_000, NOW)

    def test_account_beyond_its_share_has_a_lower_limit(self):
        self.record_usage()
        self.assertIsNotNone(self.check(0.4))

    def test_refusal_inputs_describe_the_account(self):
        self.record_usage()
        self.state.shares.set_remote({get_digest("one"): (5_000, 2_000)})
        self.state.shares._refreshed_at = -1.0
        inputs = self.check(0.9).inputs
        self.assertEqual(inputs["account_asked"], 25_000)
        self.assertEqual(inputs["account_begun"], 22_000)
        self.assertEqual(inputs["account_begun_here"], 20_000)
        self.assertGreater(inputs["account_begun"], inputs["share_level"])
        self.assertLess(inputs["share_factor"], 1.0)
        self.assertEqual(inputs["oldest_report_ms"], 0)

    def test_retry_has_a_higher_limit(self):
        self.assertIsNotNone(self.check(0.8))
        self.assertIsNone(self.check(0.8, allowed=8.0))

    def test_retry_beyond_the_share_has_no_higher_limit(self):
        self.record_usage()
        first, retry = self.check(0.4), self.check(0.4, allowed=8.0)
        self.assertEqual(first.code, "engines-busy")
        self.assertEqual(retry.code, "engines-busy")

    def test_most_attempts_are_refused_while_another_account_is_starved(self):
        self.record_usage(other_begun=0)
        refusal = self.check(0.5, allowed=8.0, draw=0.2)
        self.assertEqual((refusal.status, refusal.code), (503, "beyond-share"))
        self.assertEqual(refusal.retry_after, 1.0)
        self.assertEqual(refusal.inputs["account_begun"], 20_000)
        self.assertIsNone(self.check(0.1, account=None, draw=0.9))

    def count_passed(self, crowded):
        """Return how many of 1,000 attempts pass at idle or crowded engines."""
        passed = 0
        for _ in range(1_000):
            ctx = self.make_ctx()
            refusal = check_share(self.state, ctx, NOW)
            if refusal is None and crowded:
                choice = Choice(ENGINE, 100, 0.5, 0.1, "home")
                refusal = check_wait(self.state, ctx, choice, NOW)
            passed += refusal is None
        return passed

    def test_attempts_beyond_the_share_are_refused_before_placement(self):
        self.record_usage(other_begun=20)
        for _ in range(400):
            self.state.shares.count_asked_tokens("one", 1_000, NOW)
        # 20 of 420 requests were begun. Idle engines allow eight times the share and
        # one request more, so 8 * 20 + 1 of 420 attempts pass.
        self.assertAlmostEqual(self.count_passed(crowded=False), 383, delta=40)
        self.assertAlmostEqual(self.count_passed(crowded=True), 50, delta=25)

    def test_requests_without_account_or_prompt_are_not_limited(self):
        self.record_usage(other_begun=0)
        plain = self.make_ctx()
        plain.prompt = None
        self.assertIsNone(check_share(self.state, plain, NOW))
        public = self.make_ctx(account=None)
        self.assertIsNone(check_share(self.state, public, NOW))


class TestIntakeWait(unittest.TestCase):
    """A request that would wait long for admission is refused at once."""

    def check(self, wait, share_used_up=False, allowed=10.0):
        state = make_state()
        state.intake = SimpleNamespace(estimate_wait=lambda: wait)
        if share_used_up:
            for account, begun in (("one", True), ("two", False)):
                for _ in range(20):
                    state.shares.count_asked_tokens(account, 1_000, NOW)
                    if begun:
                        state.shares.count_begun_tokens(account, 1_000, NOW)
        account = state.catalog.accounts["one"]
        ctx = SimpleNamespace(
            route=ROUTE,
            catalog=state.catalog,
            account=account,
            prompt=PROMPT,
            allowed=allowed,
            spent=ROUTE.timeout - allowed,
        )
        return check_pressure(state, ctx, NOW)

    def test_table(self):
        latency_target = ROUTE.latency_target
        cases = {
            "no wait": (0.0, False, 10.0, False),
            "short wait": (0.15 * latency_target, False, 10.0, False),
            "short wait, share used up": (0.15 * latency_target, True, 10.0, True),
            "long wait": (0.25 * latency_target, False, 10.0, True),
            "long wait, retry": (0.25 * latency_target, False, 1.0, False),
            "wait too long for retries": (0.3 * latency_target, False, 1.0, True),
        }
        for name, (wait, share_used_up, allowed, refused) in cases.items():
            with self.subTest(name):
                refusal = self.check(wait, share_used_up, allowed)
                self.assertEqual(refusal is not None, refused)
                if refused:
                    self.assertEqual(refusal.code, "overloaded")
                    self.assertLess(refusal.retry_after, 0.1 * latency_target)


class TestPressure(unittest.TestCase):
    def setUp(self):
        self.state = make_state()
        self.pressure = self.state.pressure

    def record_lag(self, seconds, times=60):
        for _ in range(times):
            self.pressure.observe(seconds)

    def is_refused(self, allowed=10.0):
        catalog = self.state.catalog
        ctx = SimpleNamespace(
            route=ROUTE,
            catalog=catalog,
            account=catalog.accounts["one"],
            prompt=PROMPT,
            allowed=allowed,
            spent=ROUTE.timeout - allowed,
        )
        return check_pressure(self.state, ctx, NOW) is not None

    def use_up_share(self):
        for account, begun in (("one", True), ("two", False)):
            for _ in range(20):
                self.state.shares.count_asked_tokens(account, 1_000, NOW)
                if begun:
                    self.state.shares.count_begun_tokens(account, 1_000, NOW)

    def test_one_late_timer_has_no_effect(self):
        self.record_lag(0.2, times=1)
        self.assertIs(self.pressure.level, PressureLevel.NONE)
        self.assertFalse(self.is_refused())

    def test_high_lag_refuses_accounts_beyond_their_share(self):
        self.record_lag(0.07)
        self.assertIs(self.pressure.level, PressureLevel.HIGH)
        self.assertFalse(self.is_refused())
        self.use_up_share()
        self.state.shares._refreshed_at = -1.0
        self.assertTrue(self.is_refused())

    def test_severe_lag_refuses_all_but_retries(self):
        self.record_lag(0.5)
        self.assertTrue(self.is_refused())
        self.assertFalse(self.is_refused(allowed=8.0))

    def test_occupancy_levels(self):
        cases = [
            (0, PressureLevel.NONE),
            (300, PressureLevel.HIGH),
            (390, PressureLevel.SEVERE),
        ]
        for inflight, level in cases:
            with self.subTest(inflight=inflight):
                self.assertIs(get_occupancy_level(inflight, 400), level)

    def test_level_falls_with_the_lag(self):
        self.record_lag(0.5)
        self.record_lag(0.055)
        self.assertIs(self.pressure.level, PressureLevel.HIGH)
        self.record_lag(0.0)
        self.assertIs(self.pressure.level, PressureLevel.NONE)
        self.assertEqual(
            self.pressure._log.events,
            [
                "processor lags",
                "processor lags",
                "processor lags",
                "processor keeps up",
            ],
        )


class TestOverloadDetector(unittest.TestCase):
    def setUp(self):
        self.overload = OverloadDetector(RecordingLog())

    def disconnect(self, count, now):
        for _ in range(count):
            self.overload.record_unread_disconnect(now)

    def test_few_disconnects_have_no_effect(self):
        self.disconnect(3, 5.0)
        self.assertFalse(self.overload.check(PressureLevel.NONE, 5.0))

    def test_overload_ends_after_the_last_disconnect(self):
        self.disconnect(20, 5.0)
        self.assertTrue(self.overload.check(PressureLevel.NONE, 5.1))
        self.disconnect(1, 6.5)
        self.assertTrue(self.overload.check(PressureLevel.NONE, 7.0))
        self.assertFalse(self.overload.check(PressureLevel.NONE, 8.0))
        self.assertEqual(
            self.overload._log.events, ["clients turned away", "clients taken again"]
        )

    def test_severe_level_alone(self):
        self.assertTrue(self.overload.check(PressureLevel.SEVERE, 5.0))
        self.assertTrue(self.overload.check(PressureLevel.HIGH, 5.5))
        self.assertFalse(self.overload.check(PressureLevel.HIGH, 6.5))


class TestRecentLatencyTargets(unittest.TestCase):
    def test_unused_targets_expire(self):
        latency_targets = RecentLatencyTargets()
        latency_targets.observe("s", 0.1, 0.0)
        self.assertEqual(latency_targets.observe("s", 0.8, 1.0), 0.1)
        self.assertEqual(latency_targets.observe("s", 0.8, 9.0), 0.8)

    def test_min_over_all_services(self):
        latency_targets = RecentLatencyTargets()
        self.assertEqual(latency_targets.get_min_target(0.0), math.inf)
        latency_targets.observe("s", 0.1, 0.0)
        latency_targets.observe("t", 0.8, 3.0)
        self.assertEqual(latency_targets.get_min_target(4.0), 0.1)
        self.assertEqual(latency_targets.get_min_target(7.0), 0.8)

    def test_services_are_independent(self):
        latency_targets = RecentLatencyTargets()
        latency_targets.observe("s", 0.1, 0.0)
        self.assertEqual(latency_targets.observe("t", 0.8, 0.0), 0.8)


class TestClientDeadlines(unittest.TestCase):
    """Time spent on earlier attempts follows from the longest recent deadlines."""

    def setUp(self):
        self.deadlines = ClientDeadlines()

    def test_first_and_second_attempts(self):
        self.assertEqual(self.deadlines.observe("r", 1.5, NOW), 0.0)
        self.assertAlmostEqual(self.deadlines.observe("r", 1.1, NOW + 0.4), 0.4)
        self.assertEqual(self.deadlines.observe("r", 1.5, NOW + 1.0), 0.0)

    def test_routes_are_independent(self):
        self.deadlines.observe("r", 9.0, NOW)
        self.assertEqual(self.deadlines.observe("other", 1.0, NOW), 0.0)

    def test_old_deadlines_expire(self):
        self.deadlines.observe("r", 9.0, NOW)
        self.deadlines.observe("r", 1.0, NOW + 6.0)
        self.deadlines.observe("r", 1.0, NOW + 12.0)
        self.assertEqual(self.deadlines.observe("r", 1.0, NOW + 12.1), 0.0)


class TestCallWait(unittest.TestCase):
    slots = PLAIN.slots

    def setUp(self):
        self.state = make_state()
        self.state.loads.call_time = 0.1

    def check(self, running, spent=0.0):
        for _ in range(running):
            self.state.loads.start(PLAIN.id, 0, NOW)
        load = self.state.loads.get(PLAIN.id, NOW)
        wait = self.state.loads.estimate_call(load, PLAIN.slots)
        ctx = SimpleNamespace(
            route=SimpleNamespace(latency_target=0.4, name="call"),
            spent=spent,
            arrived=NOW,
            deadline=NOW + 1.5,
        )
        choice = Choice(PLAIN, 0, wait, 0.1, "least loaded")
        return check_call_wait(self.state, ctx, choice, NOW)

    def test_call_is_sent_while_a_slot_is_free(self):
        self.assertIsNone(self.check(self.slots - 1))
        self.assertIsNone(self.check(0, spent=1.0), "a late answer is better than none")

    def test_wait_within_target(self):
        self.assertIsNone(self.check(2 * self.slots))

    def test_wait_beyond_target(self):
        refusal = self.check(5 * self.slots)
        self.assertEqual((refusal.status, refusal.code), (503, "calls-busy"))
        self.assertLessEqual(refusal.retry_after, 0.5)

    def test_time_spent_on_earlier_attempts_counts(self):
        self.assertIsNotNone(self.check(2 * self.slots, spent=0.3))


class TestCallTimes(unittest.TestCase):
    def setUp(self):
        self.loads = Loads()

    def call(self, running, elapsed, name="i"):
        for _ in range(running):
            self.loads.start(name, 0, NOW)
        work = self.loads.start(name, 0, NOW)
        self.loads.record_call_time(work, 6, elapsed)
        for _ in range(running + 1):
            self.loads.finish(work, NOW)

    def test_queueing_is_separated_from_call_time(self):
        for _ in range(100):
            self.call(17, 0.3)
        load = self.loads.get("i", NOW)
        self.assertAlmostEqual(load.call_time, 0.1, delta=0.005)
        self.assertAlmostEqual(self.loads.estimate_call(load, 6), 0.1, delta=0.005)

    def test_call_time_is_kept_per_instance(self):
        for _ in range(50):
            self.call(0, 0.1, "quick")
            self.call(0, 0.4, "slow")
        quick, slow = self.loads.get("quick", NOW), self.loads.get("slow", NOW)
        self.assertGreater(slow.call_time, 2 * quick.call_time)


class TestCacheDiscovery(unittest.TestCase):
    def setUp(self):
        self.state = make_state()
        self.state.directory.put(ENGINE)
        self.state.directory.put(PLAIN)
        self.listed_addresses = []
        self.is_down = False
        self.discovery = CacheDiscovery(self.state, self.list_parts, fetch=None)

    def list_parts(self, address):
        self.listed_addresses.append(address)
        if self.is_down:
            raise PlatformUnavailable("down")
        return ["aa", "bb"]

    def test_each_engine_is_queued_once(self):
        self.discovery.queue_new_engines()
        self.discovery.queue_new_engines()
        self.assertEqual(self.discovery._queue.qsize(), 1)
        self.assertEqual(self.discovery._queue.get(), ENGINE)

    def test_no_request_during_a_backoff(self):
        self.state.backoffs.add(ENGINE.id, 3.0, NOW)
        self.assertFalse(self.discovery.list_engine(ENGINE))
        self.assertEqual(self.listed_addresses, [])

    def test_no_request_to_a_leaving_engine(self):
        self.state.directory.mark_leaving(ENGINE.id, "answer")
        self.assertTrue(self.discovery.list_engine(ENGINE))
        self.discovery.queue_new_engines()
        self.assertEqual(self.listed_addresses, [])
        self.assertTrue(self.discovery._queue.empty())

    def test_refusal_with_retry_after_sets_a_backoff(self):
        def refuse(address):
            raise CacheListRefused(address, 503, "2.5")

        discovery = CacheDiscovery(self.state, refuse, fetch=None)
        self.assertFalse(discovery.list_engine(ENGINE))
        self.assertEqual(self.state.backoffs.get_end(ENGINE.id), NOW + 2.5)

    def test_listed_parts_are_cached(self):
        self.assertTrue(self.discovery.list_engine(ENGINE))
        loads = self.state.loads
        self.assertTrue(loads.is_listed("i0"))
        self.assertTrue(loads.is_cached("aa", "i0", NOW))
        self.assertFalse(loads.is_cached("cc", "i0", NOW))

    def test_unreachable_engine_is_not_taken_as_empty(self):
        self.is_down = True
        self.assertFalse(self.discovery.list_engine(ENGINE))
        self.assertFalse(self.state.loads.is_listed("i0"))

    def test_new_instance_at_the_same_address(self):
        self.discovery.queue_new_engines()
        self.state.directory.remove("i0")
        self.state.directory.put(ENGINE._replace(id="i1"))
        self.discovery.queue_new_engines()
        self.assertEqual(self.discovery._queue.qsize(), 2)

    def test_lists_and_reports_use_the_same_digests(self):
        self.discovery.list_engine(ENGINE)
        self.state.loads.record_part_digest(get_digest("cc"), "i0", NOW)
        self.assertTrue(self.state.loads.is_cached("cc", "i0", NOW))
