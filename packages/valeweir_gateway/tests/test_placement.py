import collections
import functools
import random
import unittest

from valeweir_gateway.placement.choice import (
    choose_engine,
    choose_instance,
    estimate_transfer,
    rank_instances,
)
from valeweir_gateway.placement.loads import Loads
from valeweir_gateway.placement.prompts import Part, Prompt, parse_prompt
from valeweir_gateway.view.catalog import Engine
from valeweir_gateway.view.directory import Directory, Instance

NOW = 100.0


def make_instances(count, service="llm", domain="a"):
    return [
        Instance(f"i{n}", service, f"127.0.0.1:{n}", domain, 6, True)
        for n in range(count)
    ]


class TestParsePrompt(unittest.TestCase):
    def test_header_values(self):
        parts = (Part("aa", 60), Part("bb", 40))
        cases = {
            ("100,20", "aa:60,bb:40"): Prompt(100, 20, parts),
            ("100", None): Prompt(100, 0, ()),
            (None, "aa:60"): None,
            ("x,1", "aa:60"): None,
            ("100,20", "aa:x"): None,
            ("100,20", "aa"): None,
        }
        for texts, prompt in cases.items():
            with self.subTest(texts=texts):
                self.assertEqual(parse_prompt(*texts), prompt)

    def test_home_is_last_shared_part(self):
        self.assertEqual(parse_prompt("9,1", "a:1,b:2,c:6").home, "b")
        self.assertEqual(parse_prompt("9,1", "c:9").home, "")

    def test_output_tokens_cost_double(self):
        self.assertEqual(parse_prompt("100,20", None).cost, 140)


class TestDirectory(unittest.TestCase):
    def test_leaving_instance_is_not_ready(self):
        directory = Directory()
        first, second = make_instances(2)
        directory.put(first)
        directory.put(second)
        directory.put(first._replace(ready=False))
        self.assertEqual(
            [instance.id for instance in directory.get_ready("llm")], ["i1"]
        )
        self.assertFalse(directory.is_ready("i0"))
        directory.remove("i1")
        self.assertEqual(directory.get_ready("llm"), ())

    def test_instance_moved_to_another_service(self):
        directory = Directory()
        instance = make_instances(1)[0]
        directory.put(instance)
        directory.put(instance._replace(service="api"))
        self.assertEqual(directory.get_ready("llm"), ())
        self.assertEqual(len(directory.get_ready("api")), 1)


class TestChooseEngine(unittest.TestCase):
    def setUp(self):
        self.loads = Loads()
        self.instances = make_instances(4)
        self.prompt = Prompt(10_000, 10, (Part("shared", 8_000), Part("own", 2_000)))
        self.ranked = rank_instances("shared", self.instances)

    def choose(self, now=NOW):
        return choose_engine(self.prompt, self.instances, self.loads, now)

    def test_idle_fleet_selects_home_instance(self):
        choice = self.choose()
        self.assertEqual(choice.instance, self.ranked[0])
        self.assertEqual(choice.tokens, 2_000)

    def test_removed_instance_keeps_order_of_others(self):
        others = [
            instance for instance in self.instances if instance != self.ranked[-1]
        ]
        self.assertEqual(rank_instances("shared", others), self.ranked[:-1])

    def test_busy_home_spills_only_when_wait_exceeds_reread_cost(self):
        self.loads.start(self.ranked[0].id, 8_000, NOW)
        self.assertEqual(self.choose().reason, "home")
        self.loads.start(self.ranked[0].id, 30_000, NOW)
        choice = self.choose()
        self.assertEqual(choice.reason, "spill")
        self.assertEqual(choice.tokens, 10_000)

    def test_part_read_elsewhere_is_held_until_it_expires(self):
        second = self.ranked[1]
        self.loads.record_parts(self.prompt.parts[:-1], second.id, NOW)
        cached_tokens = self.loads.count_cached_tokens(self.prompt.shared, NOW)
        self.assertEqual(cached_tokens, {second.id: 8_000})
        self.assertEqual(
            self.loads.count_cached_tokens(self.prompt.shared, NOW + 1_000), {}
        )

    def test_gateways_with_same_reports_choose_different_engines(self):
        instances = make_instances(30)
        for instance in instances[1:]:
            self.loads.start(instance.id, 3_000, NOW)
        chosen = set()
        for number in range(40):
            parts = (Part(f"p{number}", 8_000), Part("own", 2_000))
            prompt = Prompt(10_000, 10, parts)
            choice = choose_engine(prompt, instances, self.loads, NOW, None, 0.2)
            chosen.add(choice.instance.id)
        self.assertGreater(len(chosen), 15)

    def test_more_instances_are_evaluated_when_first_are_busy(self):
        instances = make_instances(30)
        ranked = rank_instances("shared", instances)
        idle = ranked[17]
        for instance in instances:
            if instance != idle:
                self.loads.start(instance.id, 60_000, NOW)
        choose = functools.partial(
            choose_engine, self.prompt, instances, self.loads, NOW, None
        )
        self.assertEqual(choose(max_queue_wait=0.1).instance, idle)
        self.assertIn(choose(max_queue_wait=10.0).instance, ranked[:4])

    def test_prompts_without_shared_parts_are_spread(self):
        instances = make_instances(30)
        prompts = [Prompt(9, 1, (Part(f"own-{n}", 9),)) for n in range(40)]
        chosen = {
            choose_engine(prompt, instances, self.loads, NOW, None, 1.0).instance.id
            for prompt in prompts
        }
        self.assertGreater(len(chosen), 15)

    def test_only_leading_parts_are_counted(self):
        parts = [Part("a", 100), Part("b", 200), Part("c", 400)]
        first, second, third, _ = self.instances
        self.loads.record_parts(parts, first.id, NOW)
        self.loads.record_parts(parts[:1], second.id, NOW)
        self.loads.record_parts(parts[1:], third.id, NOW)
        cached_tokens = self.loads.count_cached_tokens(parts, NOW)
        self.assertEqual(cached_tokens, {first.id: 700, second.id: 100})

    def test_homes_are_spread_evenly(self):
        instances = make_instances(30)
        homes = collections.Counter(
            rank_instances(f"part-{n}", instances)[0].id for n in range(6_000)
        )
        self.assertGreater(min(homes.values()), 120)
        self.assertLess(max(homes.values()), 290)

    def test_parts_are_transferred_from_holder(self):
        engine = Engine(64, 500_000, 163_840.0, 6e10)
        home = self.ranked[0]
        self.loads.record_parts(self.prompt.parts[:-1], home.id, NOW)
        for instance in self.instances:
            self.loads.record_listed(instance.id, [], NOW)
        idle = choose_engine(self.prompt, self.instances, self.loads, NOW, engine)
        self.assertEqual((idle.reason, idle.source), ("home", None))
        self.loads.start(home.id, 20_000, NOW)
        choice = choose_engine(self.prompt, self.instances, self.loads, NOW, engine)
        self.assertEqual((choice.reason, choice.source), ("fetch", home))
        self.assertNotEqual(choice.instance, home)
        self.assertEqual(choice.tokens, 2_000)
        without = engine._replace(link_rate=0.0)
        choice = choose_engine(self.prompt, self.instances, self.loads, NOW, without)
        self.assertEqual((choice.reason, choice.source), ("home", None))

    def test_assumed_cache_is_no_transfer_source(self):
        engine = Engine(64, 500_000, 163_840.0, 6e10)
        self.loads.start(self.ranked[0].id, 90_000, NOW)
        choice = choose_engine(self.prompt, self.instances, self.loads, NOW, engine)
        self.assertIsNone(choice.source)

    def test_transfer_between_domains_takes_longer(self):
        engine = Engine(64, 500_000, 163_840.0, 6e10)
        near = estimate_transfer(8_000, False, engine)
        far = estimate_transfer(8_000, True, engine)
        self.assertAlmostEqual(far - near, 8_000 * 163_840 / 6e10)

    def test_load_reported_by_peers_is_counted(self):
        self.loads.set_remote({self.ranked[0].id: (60_000, 5)}, NOW)
        self.assertEqual(self.choose().reason, "spill")
        self.loads.set_remote({}, NOW)
        self.assertEqual(self.choose().reason, "home")


class TestChooseInstance(unittest.TestCase):
    def test_own_domain_wins_among_equal_loads(self):
        loads = Loads()
        near = make_instances(1, "api", "a")
        far = [instance._replace(id="far", domain="b") for instance in near]
        instances = near + far
        rng = random.Random(1)
        self.assertEqual(
            choose_instance(instances, loads, "a", NOW, rng).instance.id, "i0"
        )
        loads.start("i0", 0, NOW)
        self.assertEqual(
            choose_instance(instances, loads, "a", NOW, rng).instance.id, "far"
        )

    def test_no_instances(self):
        self.assertIsNone(choose_instance([], Loads(), "a", NOW, random.Random(1)))


class TestLoads(unittest.TestCase):
    def setUp(self):
        self.loads = Loads()

    def test_read_rate_converges(self):
        for number in range(400):
            now = NOW + number
            work = self.loads.start("i0", 10_000, now)
            self.loads.record_progress(work, now + self.loads.base + 0.1)
            self.loads.finish(work, now + 0.5)
        self.assertAlmostEqual(self.loads.rate, 100_000, delta=10_000)

    def test_plain_calls_do_not_change_engine_estimates(self):
        base, rate = self.loads.base, self.loads.rate
        for number in range(100):
            now = NOW + number
            work = self.loads.start("plain", 0, now)
            self.loads.record_progress(work, now + 0.9)
            self.loads.finish(work, now + 0.9)
        self.assertEqual((self.loads.base, self.loads.rate), (base, rate))

    def test_repeated_ejection_lasts_longer(self):
        self.assertIsNone(self.loads.record_error("i0", NOW))
        pause = self.loads.record_error("i0", NOW)
        self.assertFalse(self.loads.is_usable("i0", NOW + pause / 2))
        later = NOW + pause
        self.assertTrue(self.loads.is_usable("i0", later))
        self.loads.start("i0", 0, later)
        self.assertFalse(self.loads.is_usable("i0", later), "one request probes")
        self.assertGreater(self.loads.record_error("i0", later), pause)

    def test_success_ends_ejection(self):
        self.loads.record_error("i0", NOW, severe=True)
        self.assertTrue(self.loads.record_success("i0", NOW))
        self.assertTrue(self.loads.is_usable("i0", NOW))

    def test_replaced_instance_is_unusable(self):
        self.loads.mark_replaced("i0", NOW)
        self.assertFalse(self.loads.is_usable("i0", NOW + 3.0))

    def test_stalled_while_requests_run(self):
        self.assertFalse(self.loads.is_stalled("i0", NOW))
        work = self.loads.start("i0", 100, NOW)
        self.assertFalse(self.loads.is_stalled("i0", NOW + 0.5))
        self.assertTrue(self.loads.is_stalled("i0", NOW + 5.0))
        self.loads.record_progress(work, NOW + 5.0)
        self.assertFalse(self.loads.is_stalled("i0", NOW + 5.5))

    def test_finished_request_is_not_reported(self):
        work = self.loads.start("i0", 100, NOW)
        self.assertEqual(self.loads.get_report(), {"i0": (100, 1)})
        self.loads.finish(work, NOW)
        self.assertEqual(self.loads.get_report(), {})
