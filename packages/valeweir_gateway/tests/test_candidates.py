import random
import unittest
from types import SimpleNamespace

from valeweir.models import Outcome
from valeweir_gateway.fleet.members import Member, Members
from valeweir_gateway.operations.metrics import GatewayMetrics
from valeweir_gateway.placement.backoffs import Backoffs
from valeweir_gateway.placement.candidates import (
    find_candidates,
    find_obstacle,
    find_retry_after,
    get_allowed_regions,
    has_alternative,
    may_add_body,
    may_receive,
    take_permit,
)
from valeweir_gateway.placement.domains import DomainFailures
from valeweir_gateway.placement.loads import Loads
from valeweir_gateway.placement.slow_start import SlowStart
from valeweir_gateway.refusals import Refusal
from valeweir_gateway.settings import SlowStart as Bound
from valeweir_gateway.settings import Upstreams
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
from valeweir_gateway.view.evacuations import Evacuations

NOW = 50.0
REGIONS = {"a": "north", "b": "north", "c": "south"}


def make_route(regions=()):
    targets = (Target("llm", 1.0),)
    kind = RouteKind.STREAM
    return Route(
        "r", "h", "/", kind, 6.0, 0.8, 1, targets, 1, regions=frozenset(regions)
    )


class CandidateCase(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.state = SimpleNamespace(
            cfg=SimpleNamespace(regions=REGIONS, upstreams=Upstreams()),
            metrics=GatewayMetrics(),
            log=SimpleNamespace(note=lambda event, **fields: self.events.append(event)),
            directory=Directory(),
            evacuations=Evacuations(),
            backoffs=Backoffs(),
            rng=random.Random(2),
            slow_start=SlowStart(random.Random(1), lambda: 1, Bound(1.5, 5.0)),
            loads=Loads(),
            domains=DomainFailures("a"),
            members=Members(Member("g", "a", "127.0.0.1:9")),
        )
        for domain in REGIONS:
            instance = Instance(f"i-{domain}", "llm", "10.0.0.1:1", domain, 8, True)
            self.state.directory.put(instance)
        self.ctx = self.make_ctx()

    def make_ctx(self, route_regions=(), account_regions=()):
        service = Service("llm", 8, Engine(64, 1_000), 3.0, 6.1)
        account = Account("one", ("k",), None, frozenset(account_regions))
        route = make_route(route_regions)
        return SimpleNamespace(
            catalog=Catalog(1, [route], [service], [account], Limits()),
            route=route,
            account=account,
            service="llm",
            excluded=set(),
            origin=None,
            permit=None,
            deadline=NOW + 6.0,
            id="r1",
            request=SimpleNamespace(body=b"x" * 1_000),
        )

    def find(self, ctx=None, now=NOW):
        found = find_candidates(self.state, ctx or self.ctx, now)
        if isinstance(found, Refusal):
            return found
        return {instance.domain for instance in found}

    def get(self, domain):
        return self.state.directory.by_id[f"i-{domain}"]


class TestRecordedVersions(CandidateCase):
    """Guards against streams at a version that nobody would know after a crash."""

    def find(self, recorded, **route):
        self.ctx.route = self.ctx.route._replace(**{"resumable": True, **route})
        self.state.version_store = SimpleNamespace(
            is_recorded=lambda instance: instance.id in recorded
        )
        return {row.id for row in find_candidates(self.state, self.ctx, NOW)}

    def test_recorded_versions_are_preferred(self):
        self.assertEqual(self.find({"i-b"}), {"i-b"})

    def test_upstreams_are_used_while_nothing_can_be_recorded(self):
        self.assertEqual(self.find(set()), {"i-a", "i-b", "i-c"})

    def test_other_requests_go_anywhere(self):
        self.assertEqual(len(self.find({"i-b"}, resumable=False)), 3)


class TestEvacuation(CandidateCase):
    def test_evacuated_domain_is_excluded(self):
        self.state.evacuations.begin("b")
        self.assertEqual(self.find(), {"a", "c"})

    def test_chosen_instance_is_rechecked(self):
        self.assertTrue(may_receive(self.state, self.ctx, self.get("b"), NOW))
        self.state.evacuations.begin("b")
        self.assertFalse(may_receive(self.state, self.ctx, self.get("b"), NOW))

    def test_request_is_refused_when_all_domains_are_evacuated(self):
        for domain in REGIONS:
            self.state.evacuations.begin(domain)
        refusal = self.find()
        self.assertEqual((refusal.status, refusal.code), (503, "evacuated"))

    def test_not_used_as_last_resort(self):
        self.state.evacuations.begin("b")
        self.ctx.excluded = {"i-a", "i-c"}
        self.assertEqual(self.find().status, 503)

    def test_evacuation_ends(self):
        self.state.evacuations.begin("b")
        self.state.evacuations.end("b")
        self.assertEqual(self.find(), set(REGIONS))


class TestRegions(CandidateCase):
    def test_allowed_regions(self):
        cases = [
            ((), (), {"a", "b", "c"}),
            (("south",), (), {"c"}),
            ((), ("north",), {"a", "b"}),
            (("north", "south"), ("south",), {"c"}),
        ]
        for route, account, expected in cases:
            with self.subTest(route=route, account=account):
                self.assertEqual(self.find(self.make_ctx(route, account)), expected)

    def test_request_is_refused_without_allowed_region(self):
        for route, account in [(("north",), ("south",)), (("west",), ())]:
            with self.subTest(route=route, account=account):
                refusal = self.find(self.make_ctx(route, account))
                self.assertEqual(refusal.code, "no-upstream-in-region")
                self.assertEqual(refusal.outcome.value, "not-run")

    def test_retry_stays_in_region(self):
        ctx = self.make_ctx(("south",))
        ctx.excluded = {"i-c"}
        self.assertEqual(self.find(ctx).status, 503)

    def test_domain_without_region_is_excluded(self):
        other = Instance("i-d", "llm", "10.0.0.1:1", "d", 8, True)
        self.state.directory.put(other)
        self.assertEqual(self.find(self.make_ctx(("south",))), {"c"})

    def test_route_and_account_regions_intersect(self):
        route = make_route(("north", "south"))
        account = Account("one", (), None, frozenset(("south", "west")))
        self.assertEqual(get_allowed_regions(route, account), {"south"})
        self.assertEqual(get_allowed_regions(route, None), {"north", "south"})


class TestWarming(CandidateCase):
    def warm_up(self, *domains):
        for domain in domains:
            self.state.slow_start.mark_warming(f"i-{domain}", NOW + 3.0, NOW)

    def find_permit_time(self, domain):
        """Return a time at which there is a permit for the instance in the domain."""
        for step in range(2_000):
            now = NOW + step * 0.001
            found = self.find(now=now)
            if not isinstance(found, Refusal) and domain in found:
                return now
        return None

    def test_warming_instance_needs_permit(self):
        self.warm_up("b")
        self.assertEqual(self.find(), {"a", "c"})
        self.assertEqual(self.find(now=NOW + 3.1), set(REGIONS))

    def test_permit_is_used_once(self):
        self.warm_up("b")
        now = self.find_permit_time("b")
        take_permit(self.state, self.ctx, self.get("b"), now)
        self.assertTrue(may_receive(self.state, self.ctx, self.get("b"), now))
        other = self.make_ctx()
        self.assertFalse(may_receive(self.state, other, self.get("b"), now))
        self.assertNotIn("b", self.find(now=now))

    def test_instance_warming_after_choice_receives_nothing(self):
        take_permit(self.state, self.ctx, self.get("b"), NOW)
        self.warm_up("b")
        self.assertFalse(may_receive(self.state, self.ctx, self.get("b"), NOW))

    def test_instance_warming_after_choice_has_no_permit(self):
        self.warm_up("b")
        take_permit(self.state, self.ctx, self.get("b"), NOW)
        self.assertIsNone(self.ctx.permit)

    def test_request_is_refused_when_all_are_warming(self):
        """The client can retry as soon as the instances are warm."""
        self.warm_up(*REGIONS)
        self.ctx.deadline = NOW + 12.0
        refusal = self.find()
        self.assertEqual((refusal.status, refusal.code), (503, "upstreams-warming"))
        self.assertAlmostEqual(refusal.retry_after, 3.0)

    def test_service_without_warm_rate_is_unlimited(self):
        self.warm_up("b")
        self.ctx.catalog.services["llm"] = Service("llm", 8, None)
        self.assertEqual(self.find(), set(REGIONS))


class TestBackoff(CandidateCase):
    BACKOFF_S = 3.0

    def back_off(self, *domains):
        for domain in domains:
            self.state.backoffs.add(f"i-{domain}", self.BACKOFF_S, NOW)

    def test_backing_off_instance_is_excluded(self):
        self.back_off("a")
        self.assertEqual(self.find(), {"b", "c"})
        self.assertIsNone(find_retry_after(self.state, self.ctx, NOW))

    def test_chosen_instance_is_rechecked(self):
        self.back_off("a")
        obstacle = find_obstacle(self.state, self.ctx, self.get("a"), NOW + 2.9)
        self.assertEqual(obstacle, "backoff")

    def test_not_used_as_last_resort(self):
        self.back_off("a", "b", "c")
        self.assertEqual(self.find().code, "upstreams-backing-off")

    def test_request_is_refused_when_others_were_tried(self):
        self.back_off("a")
        self.ctx.excluded = {"i-b", "i-c"}
        self.assertEqual(self.find().code, "upstreams-backing-off")

    def test_retry_after_is_first_end_with_jitter(self):
        self.back_off("a", "b", "c")
        self.state.backoffs.add("i-b", 5.0, NOW)
        waits = {self.find(now=NOW + 1.0).retry_after for _ in range(50)}
        self.assertGreaterEqual(min(waits), self.BACKOFF_S - 1.0)
        self.assertLess(max(waits), self.BACKOFF_S)
        self.assertGreater(len(waits), 40)
        wait = find_retry_after(self.state, self.ctx, NOW + 1.0)
        self.assertGreaterEqual(wait, self.BACKOFF_S - 1.0)

    def test_instances_in_other_regions_are_ignored(self):
        self.back_off("a", "b")
        ctx = self.make_ctx(route_regions=["north"])
        self.assertEqual(self.find(ctx).code, "upstreams-backing-off")

    def test_backing_off_instance_is_no_alternative(self):
        self.back_off("a", "b")
        self.assertTrue(has_alternative(self.state, self.ctx, NOW))
        self.assertFalse(
            has_alternative(self.state, self.ctx, NOW, other_than=self.get("c"))
        )
        self.ctx.excluded = {"i-c"}
        self.assertFalse(has_alternative(self.state, self.ctx, NOW))

    def test_concurrency_is_limited_after_backoff(self):
        self.back_off("a", "b", "c")
        now = NOW + self.BACKOFF_S
        self.assertEqual(self.find(now=now), {"a", "b", "c"})
        self.state.loads.start("i-a", 0, now)
        self.assertEqual(self.find(now=now), {"b", "c"})
        self.assertEqual(self.find(now=now + 0.3), {"a", "b", "c"})


class TestWaitingBodies(CandidateCase):
    """An upstream that does not read request bodies must not collect them here."""

    def setUp(self):
        super().setUp()
        self.state.cfg.upstreams = Upstreams(max_waiting_body_mb=0.002)

    def send(self, *domains, size=1_500):
        return [
            self.state.loads.start(f"i-{domain}", 0, NOW, size) for domain in domains
        ]

    def test_bodies_up_to_the_limit(self):
        cases = ((10, 0, 5, True), (5, 1, 5, False), (4, 1, 5, True), (0, 9, 5, True))
        for size, waiting, limit, expected in cases:
            with self.subTest(size=size, waiting=waiting):
                self.assertIs(may_add_body(size, waiting, limit), expected)

    def test_full_instance_is_skipped_until_a_head_arrives(self):
        (work,) = self.send("a")
        self.assertEqual(self.find(), {"b", "c"})
        self.assertEqual(
            find_obstacle(self.state, self.ctx, self.get("a"), NOW), "bodies"
        )
        self.assertEqual(self.events, ["upstream bodies full"])
        self.state.loads.release_body(work)
        self.assertEqual(self.find(), {"a", "b", "c"})
        self.state.loads.finish(work, NOW)
        self.assertEqual(self.state.loads.waiting_body_bytes, 0)

    def test_request_is_refused_as_not_run_when_all_are_full(self):
        works = self.send("a", "b", "c")
        refusal = self.find()
        self.assertEqual((refusal.status, refusal.code), (503, "bodies-busy"))
        self.assertIs(refusal.outcome, Outcome.NOT_RUN)
        self.assertFalse(has_alternative(self.state, self.ctx, NOW))
        self.state.loads.finish(works[1], NOW)
        self.assertEqual(self.find(), {"b"})

    def test_removed_instance_releases_its_bodies(self):
        (work,) = self.send("a")
        self.state.loads.forget("i-a")
        self.state.loads.finish(work, NOW)
        self.assertEqual(self.state.loads.waiting_body_bytes, 0)
