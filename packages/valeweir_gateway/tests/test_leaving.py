"""Leaving upstreams must get no new requests from any gateway after a bounded time.

Guards against gateways that send to an upstream seconds after it has left. Most
gateways of a large fleet get their view from peers. Such a view could lack removals
before its end offset, have an age without the time of transfer, or report a delay as an
outage. A removal was lost by way of a peer that had started 0.13 s earlier, and the
upstream stayed in use at that receiver and at a gateway that joined through it.
"""

import json
import random
import unittest
from types import SimpleNamespace

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.stores import HistoryExpired, Position
from valeweir_gateway.view.directory import Instance
from valeweir_gateway.view.follower import TopicFollower
from valeweir_gateway.view.store_read_policy import StoreReadPolicy
from valeweir_gateway.view.topics import Batch, Entry, Listing
from valeweir_gateway.view.view_sync import (
    ViewSync,
    decode_view,
    encode_view,
    make_topic_view,
    merge_topic_view,
)
from valeweir_gateway.view.views import ViewUpdater
from valeweir_standins.wires import Wire
from viewing import Clock, make_followers, make_state

LEAVE_WITHIN_S = 3.0


class TopicLog:
    """A keyed topic of the store, with the first offset that is still available."""

    def __init__(self):
        self.entries = []
        self.first_offset = 0

    @property
    def end(self):
        return len(self.entries)

    def write(self, key, value):
        self.entries.append(Entry(key, value, self.end))

    def get_newest(self, end=None):
        newest = {entry.key: entry for entry in self.entries[:end]}
        return [entry for entry in newest.values() if entry.value is not None]

    def list_newest(self, topic, anew=False):
        return Listing(self.get_newest(), self.end)

    def read(self, topic, offset, wait):
        if offset < self.first_offset:
            raise HistoryExpired(topic)
        return Batch(self.entries[offset:], self.end)


def make_leaving_state(member, clock):
    return make_state(member, clock, LEAVE_WITHIN_S)


def decode_instance(key, value):
    return Instance(key, "llm", "10.0.0.5:1", "a", 8, json.loads(value)["ready"])


ADAPTER = SimpleNamespace(
    decode_instance=decode_instance,
    catalog_key="config",
    find_evacuated_domain=lambda key: key,
)
READY = b'{"ready": true}'
LEAVING = b'{"ready": false}'


class View:
    """One gateway's view: its followers and the state that they update."""

    def __init__(self, store, clock, host="h"):
        self.clock = clock
        self.state = make_leaving_state(Member(host, "a", "10.0.0.1:4"), clock)
        self.updater = ViewUpdater(self.state, ADAPTER)
        self.instances = self._follow(store, self.updater.apply_instance)
        self.catalog = self._follow(store, self.updater.apply_catalog)

    def _follow(self, store, apply):
        return TopicFollower(
            store,
            "t",
            apply,
            lambda end: None,
            self.state.log,
            lambda: 1.0,
            self.clock,
            on_recovered=self.state.lapsed_records.mark_store_recovered,
            get_pause_total=self.state.pause_detector.get_total,
        )

    def read(self):
        """Read all records of the store."""
        for follower in (self.instances, self.catalog):
            follower.follow_once()
            follower.follow_once()

    def encode_for(self, peer):
        """Return the encoded changes that a peer does not have yet."""
        return encode_view(
            make_topic_view(self.catalog, peer.catalog.position),
            make_topic_view(self.instances, peer.instances.position),
        )

    def merge(self, data):
        view = decode_view(data)
        merge_topic_view(self.catalog, view.catalog)
        merge_topic_view(self.instances, view.instances)

    def get_ready(self):
        return {row.id for row in self.state.directory.get_all_ready()}


class TestRemovalsAcrossGateways(unittest.TestCase):
    """A view up to an end offset contains every removal before it."""

    def setUp(self):
        self.store = TopicLog()
        self.clock = Clock()

    def make_view(self):
        return View(self.store, self.clock)

    def leave(self, name="x"):
        self.store.write(name, LEAVING)
        self.store.write(name, None)

    def make_view_with_x(self):
        self.store.write("x", READY)
        self.store.write("y", READY)
        view = self.make_view()
        view.read()
        return view

    def play_peer_that_just_listed(self):
        """A peer lists the topic before another gateway has read the removal of x."""
        outdated = self.make_view_with_x()
        self.leave()
        joined = self.make_view()
        joined.read()
        outdated.merge(joined.encode_for(outdated))
        return outdated

    def play_peer_with_expired_history(self):
        """A peer reads from before x was added and gets a listing after its removal."""
        relisted = self.make_view()
        relisted.read()
        outdated = self.make_view_with_x()
        self.leave()
        self.store.first_offset = self.store.end
        relisted.read()
        outdated.merge(relisted.encode_for(outdated))
        return outdated

    def play_peer_informed_by_listing(self):
        outdated = self.make_view_with_x()
        self.leave()
        joined = self.make_view()
        joined.read()
        informed = self.make_view()
        informed.merge(joined.encode_for(informed))
        outdated.merge(informed.encode_for(outdated))
        return outdated

    def play_late_view(self):
        """A view encoded before x left arrives after its receiver has listed."""
        peer = self.make_view_with_x()
        joining = self.make_view()
        data = peer.encode_for(joining)
        self.leave()
        joining.read()
        joining.merge(data)
        return joining

    def play_at_random(self, seed):
        """Six gateways read, list, exchange views and restart in random order."""
        rng = random.Random(seed)
        views = [self.make_view() for _ in range(6)]
        in_flight = []
        self.store.write("y", READY)
        for _ in range(150):
            index = rng.randrange(len(views))
            action = rng.random()
            if action < 0.3:
                name = rng.choice("xyz")
                self.store.write(name, rng.choice((READY, LEAVING, None)))
            elif action < 0.5:
                views[index].read()
            elif action < 0.7:
                peer = rng.choice(views)
                in_flight.append((peer.encode_for(views[index]), views[index]))
            elif action < 0.9 and in_flight:
                data, target = in_flight.pop(rng.randrange(len(in_flight)))
                target.merge(data)
            elif action < 0.95:
                views[index] = self.make_view()
            else:
                self.store.first_offset = rng.randint(
                    self.store.first_offset, self.store.end
                )
            for view in views:
                self.check(view)
        return views[0]

    def check(self, view):
        end = view.instances.end
        expected = {e.key for e in self.store.get_newest(end) if e.value == READY}
        self.assertEqual(view.get_ready(), expected, f"view up to {end}")
        evacuated = {entry.key for entry in self.store.get_newest(view.catalog.end)}
        self.assertEqual(view.state.evacuations.domains, evacuated)

    def test_view_contains_every_removal_before_its_end(self):
        plays = {
            "peer has just listed": self.play_peer_that_just_listed,
            "history of a peer expired": self.play_peer_with_expired_history,
            "informed by a peer that listed": self.play_peer_informed_by_listing,
            "old view arrives late": self.play_late_view,
        }
        for seed in range(1, 41):
            plays[f"at random, seed {seed}"] = lambda seed=seed: self.play_at_random(
                seed
            )
        for name, play in plays.items():
            with self.subTest(name):
                self.setUp()
                self.check(play())


class TestViewAge(unittest.TestCase):
    """Gateways that do not read the store detect in time that no gateway can."""

    def setUp(self):
        self.wire = Wire(3, 70, make_leaving_state)
        self.wire.add_all_members()
        self.read_policies = {}
        for fleet in self.wire.fleets.values():
            state = fleet._state
            state.members_known = True
            self.read_policies[state.cfg.host] = StoreReadPolicy(
                state, lambda fleet=fleet: fleet.plan
            )
        self.answered = 0.0

    def run_fleet(self, seconds, store_answers):
        """Run the fleet; return when each gateway first decided to read the store."""
        first = {}
        until = self.wire.now + seconds
        while self.wire.now < until:
            self.wire.run(0.1)
            for host, read_policy in self.read_policies.items():
                if not read_policy.reads_store():
                    continue
                first.setdefault(host, self.wire.now)
                if store_answers:
                    self.record_answer(self.wire.states[host])
        return first

    def record_answer(self, state):
        for topic in ("catalog", "instances"):
            state.record_store_response(topic, self.wire.now)

    def test_all_read_within_the_leaving_time(self):
        for delay in (0.0, 0.001, 0.02, 0.1):
            with self.subTest(delay=delay):
                self.setUp()
                self.wire.delay = delay
                self.run_fleet(10.0, store_answers=True)
                lost = self.wire.now
                first = self.run_fleet(20.0, store_answers=False)
                latest = max(
                    first.get(host, lost + 99.0) for host in self.read_policies
                )
                self.assertLess(latest - lost, LEAVE_WITHIN_S)

    def test_few_read_while_the_store_answers(self):
        for delay in (0.0, 0.02, 0.1):
            with self.subTest(delay=delay):
                self.setUp()
                self.wire.delay = delay
                self.run_fleet(10.0, store_answers=True)
                first = self.run_fleet(20.0, store_answers=True)
                self.assertLessEqual(len(first), 6)


class DelayedStore:
    """Answers after some seconds, during which the process may be stalled."""

    def __init__(self, clock, state, *steps):
        self.clock = clock
        self.state = state
        self.steps = list(steps)

    def list_newest(self, topic, anew=False):
        return self._next()

    def read(self, topic, offset, wait):
        return self._next()

    def _next(self):
        seconds, stalled, result = self.steps.pop(0)
        if not stalled:
            self._run(seconds)
        self.clock.now += 0.0 if not stalled else seconds
        if isinstance(result, Exception):
            raise result
        return result

    def _run(self, seconds):
        for _ in range(round(seconds / 0.02)):
            self.clock.now += 0.02
            self.state.pause_detector.tick()


class TestDelaysAreNoOutage(unittest.TestCase):
    """Upstreams without records are retained only after an outage of the store."""

    def follow(self, *steps):
        self.clock = Clock()
        self.view = View(None, self.clock)
        self.view.state.pause_detector.tick()
        store = DelayedStore(self.clock, self.view.state, *steps)
        self.view.instances = self.view._follow(store, self.view.updater.apply_instance)
        for _ in steps:
            self.view.instances.follow_once()

    def check_removed(self):
        self.assertEqual(self.view.get_ready(), set())

    def test_stalled_process_and_delayed_views(self):
        listed = Listing([Entry("x", READY, 1)], 2)
        removed = Batch([Entry("x", None, 2)], 3)
        for stalled in (0.7, 1.5, 2.5, 4.0):
            with self.subTest("stalled process", seconds=stalled):
                self.follow((0.0, False, listed), (1.0 + stalled, True, removed))
                self.check_removed()
        for delay in (0.02, 0.1, 0.3):
            with self.subTest("delayed views", seconds=delay):
                self.assertLess(self.exchange(delay), 0.001)

    def exchange(self, delay):
        """Return how much later a recovery appears after exchanges of two gateways.

        Each message is delayed by some seconds, as on overloaded hosts.
        """
        clock = Clock()
        first, second = View(None, clock), View(None, clock)
        recovered_at = clock.now
        first.state.lapsed_records.mark_store_recovered(recovered_at)
        for sender, receiver in ((first, second), (second, first)) * 10:
            self.fetch(sender, receiver, delay)
        return (
            clock.now
            - first.state.lapsed_records.get_recovery_age(clock.now)
            - recovered_at
        )

    def fetch(self, sender, receiver, delay):
        """Let one gateway fetch the view of another; each message takes ``delay``."""

        def request(*args, **more):
            sender.clock.now += delay
            age = sender.state.lapsed_records.get_recovery_age(sender.clock.now)
            data = encode_view(
                make_topic_view(sender.catalog, Position(0, 0)),
                make_topic_view(sender.instances, Position(0, 0)),
                age,
            )
            sender.clock.now += delay
            return SimpleNamespace(status=200, data=data)

        sync = ViewSync(
            receiver.state,
            make_followers(receiver.catalog, receiver.instances),
            1,
            None,
        )
        sync._pool = SimpleNamespace(request=request, clear=lambda: None)
        report = SimpleNamespace(catalog_version=0)
        peer = SimpleNamespace(host="peer", address="10.0.0.2:4", report=report)
        is_merged = sync.fetch(peer)
        self.assertTrue(is_merged)

    def test_call_that_failed_during_a_stall(self):
        listed = Listing([Entry("x", READY, 1)], 2)
        removed = Batch([Entry("x", None, 2)], 3)
        failed = PlatformUnavailable("reset")
        for stalled, still_used in ((True, set()), (False, {"x"})):
            with self.subTest(stalled=stalled):
                self.follow(
                    (0.0, False, listed), (3.0, stalled, failed), (0.0, False, removed)
                )
                self.assertEqual(self.view.get_ready(), still_used)

    def test_late_answer_without_stall_is_an_outage(self):
        listed = Listing([Entry("x", READY, 1)], 2)
        removed = Batch([Entry("x", None, 2)], 3)
        self.follow((0.0, False, listed), (4.0, False, removed))
        self.assertEqual(self.view.get_ready(), {"x"})
