"""Tests of the versions of streams that the store knows, by several gateways."""

import asyncio
import unittest
from types import SimpleNamespace

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.stores import Conflict, Position
from valeweir_gateway.upstreams.stream_origins import (
    RETENTION_S,
    StreamOrigin,
    make_origin,
)
from valeweir_gateway.upstreams.version_reader import VersionReader
from valeweir_gateway.upstreams.version_store import VersionStore
from valeweir_gateway.view.directory import Instance
from valeweir_gateway.view.topics import Entry, Listing
from viewing import Clock, make_state

TARGETS = [SimpleNamespace(service="llm"), SimpleNamespace(service="chat")]
CATALOG = SimpleNamespace(routes=[SimpleNamespace(resumable=True, targets=TARGETS)])


def make_instance(version, service="llm"):
    name = f"i-{service}-{version}"
    return Instance(name, service, "h:1", "a", 8, True, version=version)


class MemoryStore:
    """A store in memory, which can be restored from a copy."""

    def __init__(self):
        self.era = 1
        self.entries = []
        self.fails = False
        # Called once, after the next listing.
        self.on_listed = None

    def list_newest(self, topic, anew=False):
        if self.fails:
            raise PlatformUnavailable("down")
        newest = {entry.key: entry for entry in self.entries}
        listing = Listing(list(newest.values()), len(self.entries), self.era)
        on_listed, self.on_listed = self.on_listed, None
        if on_listed is not None:
            on_listed()
        return listing

    def put(self, topic, key, value, at=None):
        if self.fails:
            raise PlatformUnavailable("down")
        if at is not None and at != len(self.entries):
            raise Conflict
        self.entries.append(Entry(key, value, len(self.entries)))
        return self.era

    def restore(self, count):
        del self.entries[count:]
        self.era += 1


class VersionCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.store = MemoryStore()
        self.gateways = []

    def add_gateway(self, *versions):
        """Return a gateway that has just started, with upstreams of these versions."""
        member = Member(f"h{len(self.gateways)}", "a", "10.0.0.1:7400")
        state = make_state(member, self.clock)
        state.catalog = CATALOG
        state.directory_known = state.reads_store = True
        state.sleep = self.sleep
        state.version_store = VersionStore(state, self.store, "versions")
        state.version_reader = VersionReader(state, self.store, "versions")
        self.gateways.append(state)
        for version in versions:
            state.directory.put(make_instance(version))
        return state

    async def sleep(self, seconds):
        self.clock.now += seconds
        await asyncio.sleep(0)

    def run_fleet(self, seconds, *states):
        """Let some time pass, in which these gateways do what is due each second."""
        for _ in range(int(seconds)):
            self.clock.now += 1.0
            for state in states or self.gateways:
                state.directory_position = Position(self.store.era, 0)
                state.freshness.record_peer_view(self.clock.now)
                state.version_store.observe()
                due = state.version_store._due
                if due is not None and due <= self.clock.now:
                    state.version_store._due = None
                    state.version_store.sync_guarded()

    def find_only_version(self, state=None, service="llm"):
        """Return the version that a gateway, by default a new one, is certain of."""
        state = state or self.add_gateway()
        origin = asyncio.run(
            state.version_reader.find_only_origin(service, self.clock.now)
        )
        versions = {get_digest_of(v): v for v in ("v1", "v2", "v3")}
        return None if origin is None else versions[origin.version]


def get_digest_of(version):
    return make_origin(make_instance(version)).version


class TestRecording(VersionCase):
    """A version is recorded before streams begin there."""

    def test_version_is_used_once_it_is_recorded(self):
        state = self.add_gateway("v1")
        instance = make_instance("v1")
        self.assertFalse(state.version_store.is_recorded(instance))
        self.store.fails = True
        self.run_fleet(2)
        self.assertFalse(state.version_store.is_recorded(instance))
        self.assertIsNone(self.find_only_version())
        self.store.fails = False
        self.run_fleet(2)
        self.assertTrue(state.version_store.is_recorded(instance))
        self.assertEqual(self.find_only_version(), "v1")

    def test_one_gateway_writes_for_all(self):
        for _ in range(5):
            self.add_gateway("v1")
        self.run_fleet(4)
        self.assertEqual(len(self.store.entries), 1)
        for state in self.gateways:
            self.assertTrue(state.version_store.is_recorded(make_instance("v1")))

    def test_concurrent_writes_lose_no_version(self):
        first, second = self.add_gateway("v1"), self.add_gateway("v2")
        # The second one writes between the other's read and its write.
        self.store.on_listed = second.version_store.sync
        self.run_fleet(4)
        self.assertIsNone(self.find_only_version())
        for state, version in ((first, "v1"), (second, "v2")):
            self.assertTrue(state.version_store.is_recorded(make_instance(version)))

    def test_version_that_returns_is_recorded_again(self):
        first = self.add_gateway("v1")
        first.reads_store = False
        self.add_gateway("v1")
        self.run_fleet(2)
        for state in self.gateways:
            state.directory.remove("i-llm-v1")
        self.run_fleet(10)
        first.directory.put(make_instance("v1"))
        first.version_store.observe()
        self.assertFalse(first.version_store.is_recorded(make_instance("v1")))
        self.run_fleet(2, first)
        self.assertTrue(first.version_store.is_recorded(make_instance("v1")))

    def test_services_are_apart(self):
        state = self.add_gateway("v1")
        state.directory.put(make_instance("v2", service="chat"))
        state.directory.put(make_instance("v3", service="api"))
        self.run_fleet(2)
        self.assertEqual(self.find_only_version(), "v1")
        self.assertEqual(self.find_only_version(service="chat"), "v2")
        self.assertIsNone(self.find_only_version(service="api"))


class TestRemoval(VersionCase):
    """A version counts until the streams that began there can no longer be taken up."""

    def setUp(self):
        super().setUp()
        self.state = self.add_gateway("v1")
        self.run_fleet(2)
        self.state.directory.put(make_instance("v2"))
        self.run_fleet(2)
        self.state.directory.remove("i-llm-v1")

    def test_version_that_has_left(self):
        self.run_fleet(RETENTION_S)
        self.assertIsNone(self.find_only_version())
        self.run_fleet(30)
        self.assertEqual(self.find_only_version(), "v2")

    def test_version_that_was_back_in_between(self):
        self.run_fleet(RETENTION_S - 10)
        # Another gateway sees it for a moment, this one does not.
        other = self.add_gateway("v1", "v2")
        self.run_fleet(2, other)
        self.assertTrue(other.version_store.is_recorded(make_instance("v1")))
        other.directory.remove("i-llm-v1")
        self.run_fleet(RETENTION_S)
        self.assertIsNone(self.find_only_version())
        self.run_fleet(30)
        self.assertEqual(self.find_only_version(), "v2")

    def test_late_removal_after_the_version_is_back(self):
        self.run_fleet(RETENTION_S)
        end = len(self.store.entries)
        other = self.add_gateway("v1", "v2")
        self.run_fleet(2, other)
        # What was decided before is written late.
        with self.assertRaises(Conflict):
            self.store.put("versions", "llm", b"", at=end)
        self.assertTrue(other.version_store.is_recorded(make_instance("v1")))

    def test_gateway_with_an_old_view_removes_nothing(self):
        self.state.freshness.get_age = lambda now: 2.5
        self.run_fleet(2 * RETENTION_S)
        self.assertIsNone(self.find_only_version())


class TestRestoredStore(VersionCase):
    """A copy of the store may lack a version at which streams have begun."""

    def setUp(self):
        super().setUp()
        self.state = self.add_gateway("v1")
        self.run_fleet(2)
        self.copied = len(self.store.entries)
        self.state.directory.put(make_instance("v2"))
        self.run_fleet(2)

    def test_all_gateways_were_killed_meanwhile(self):
        self.store.restore(self.copied)
        started = self.add_gateway("v1")
        self.run_fleet(RETENTION_S - 10, started)
        self.assertIsNone(self.find_only_version())
        self.run_fleet(30, started)
        self.assertEqual(self.find_only_version(), "v1")

    def test_gateway_that_lived_on_writes_again_what_is_lost(self):
        self.store.restore(self.copied)
        self.assertIsNone(self.find_only_version())
        started = self.add_gateway("v1")
        self.run_fleet(3, started, self.state)
        self.assertIsNone(self.find_only_version())
        self.run_fleet(20, self.state)
        self.assertIsNone(self.find_only_version())

    def test_only_version_is_certain_again_soon(self):
        state = self.add_gateway("v3")
        self.store.entries.clear()
        self.run_fleet(2, state)
        self.store.restore(0)
        self.run_fleet(3, state)
        self.assertIsNone(self.find_only_version())
        self.run_fleet(15, state)
        self.assertEqual(self.find_only_version(), "v3")

    def test_version_of_a_stream_at_a_peer_that_was_never_seen(self):
        state = self.add_gateway("v3")
        self.store.entries.clear()
        self.run_fleet(2, state)
        origin = StreamOrigin(get_llm_digest(), get_digest_of("v2"))
        state.stream_origins.add(7, origin, self.clock.now)
        self.store.restore(0)
        self.run_fleet(30, state)
        self.assertIsNone(self.find_only_version())


def get_llm_digest():
    return make_origin(make_instance("v1")).service


class TestReading(VersionCase):
    """Only what the store answers to a later call is certain."""

    def test_earlier_answers_are_not_used(self):
        state = self.add_gateway("v1")
        self.run_fleet(2)
        self.assertEqual(self.find_only_version(state), "v1")
        other = self.add_gateway("v2")
        self.run_fleet(2, other)
        self.assertIsNone(self.find_only_version(state))

    def test_store_that_does_not_answer(self):
        state = self.add_gateway("v1")
        self.run_fleet(2)
        self.store.fails = True
        self.assertIsNone(self.find_only_version(state))


if __name__ == "__main__":
    unittest.main()
