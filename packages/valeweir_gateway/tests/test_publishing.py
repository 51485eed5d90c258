import threading
import unittest

from valeweir.exceptions import PlatformUnavailable
from valeweir_gateway.fleet.members import Member
from valeweir_gateway.view.publisher import Publisher
from valeweir_gateway.view.topics import Entry, Listing
from viewing import make_state


class Store:
    def __init__(self, failure_count=0):
        self.failure_count = failure_count
        self.puts = []
        self.entries = []

    def list_newest(self, topic):
        return Listing(self.entries, 4)

    def put(self, topic, key, value):
        self.puts.append((topic, key, value))
        if len(self.puts) <= self.failure_count:
            raise PlatformUnavailable("down")


class Adapter:
    member_topic = "members"

    def __init__(self, store):
        self.store = store


class TestPublisher(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.state = make_state(Member("a", "x", "10.0.0.1:7400"), self.advance_clock)
        self.state.members_known = True
        self.store = Store()
        self.publisher = Publisher(self.state, Adapter(self.store), "10.0.0.1:7400")

    def advance_clock(self):
        self.now += 0.1
        return self.now

    def run_publisher(self):
        self.publisher.run(threading.Event())

    def test_new_gateway_writes_its_record_once(self):
        self.run_publisher()
        self.assertEqual(self.store.puts, [("members", "a", b"x 10.0.0.1:7400 1")])

    def test_published_record_is_not_written_again(self):
        self.state.member_record = self.publisher.make_record()
        self.run_publisher()
        self.assertEqual(self.store.puts, [])

    def test_changed_address_is_written(self):
        self.state.member_record = b"x 10.0.0.9:7400 1"
        self.run_publisher()
        self.assertEqual(len(self.store.puts), 1)

    def test_wait_for_the_listing_is_bounded(self):
        self.state.members_known = False
        self.run_publisher()
        self.assertEqual(len(self.store.puts), 1)

    def test_failed_write_is_retried(self):
        self.store.failure_count = 1
        self.run_publisher()
        self.assertEqual(len(self.store.puts), 2)

    # Guards against gateways that cannot be found after a restore of the store.
    def test_lost_record_is_written_again(self):
        self.state.member_record = self.publisher.make_record()
        self.store.failure_count = 1
        self.publisher.publish_if_lost(threading.Event())
        self.assertEqual(len(self.store.puts), 2)

    def test_record_that_the_store_still_has_is_not_written_again(self):
        self.store.entries = [Entry("a", self.publisher.make_record(), 3)]
        self.publisher.publish_if_lost(threading.Event())
        self.assertEqual(self.store.puts, [])
