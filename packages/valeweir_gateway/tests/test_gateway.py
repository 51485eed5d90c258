import unittest
from types import SimpleNamespace

from valeweir_gateway.gateway import create_gateway
from valeweir_gateway.settings import GatewaySettings, Listen, Store
from valeweir_gateway.transport.headers import HeaderNames
from valeweir_gateway.view.topic_followers import create_view_handler
from valeweir_gateway.view.topics import Entry, Listing
from valeweir_gateway.view.view_sync import VIEW_PATH, decode_view


def make_gateway():
    listen = Listen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
    cfg = GatewaySettings("h", "a", listen, Store("127.0.0.1:9"))
    adapter = SimpleNamespace(
        names=HeaderNames(),
        ready_path="/ready",
        store=None,
        catalog_topic="catalog",
        catalog_key="config",
        instance_topic="instances",
        member_topic="members",
        quarantine_topic="quarantine",
        version_topic="versions",
        decode_catalog=lambda value: SimpleNamespace(
            version=1, routes=(), accounts=(), services={}
        ),
        find_evacuated_domain=lambda key: None,
        list_parts=None,
    )
    gateway = create_gateway(cfg, adapter, SimpleNamespace(note=lambda *a, **f: None))
    return gateway


class Reply:
    def __init__(self):
        self.status = None
        self.body = b""

    def send(self, status, headers, body):
        self.status = status
        self.body = body


class TestServedView(unittest.TestCase):
    def setUp(self):
        self.gateway = make_gateway()
        self.addCleanup(self.gateway._fleet._sock.close)

    def fetch_view(self):
        reply = Reply()
        request = SimpleNamespace(path=VIEW_PATH, target=VIEW_PATH)
        create_view_handler(self.gateway.state, self.gateway._followers)(request, reply)
        return reply

    def test_not_served_before_all_topics_are_known(self):
        """Otherwise a joining gateway would use a view without any upstreams."""
        followers = self.gateway._followers
        self.assertEqual(self.fetch_view().status, 404)
        followers.catalog.adopt(Listing([Entry("config", b"{}", 3)], 4))
        self.assertEqual(self.fetch_view().status, 404)
        followers.instances.adopt(Listing([], 9))
        self.assertEqual(self.fetch_view().status, 404)
        followers.quarantine.adopt(Listing([], 2))
        reply = self.fetch_view()
        self.assertEqual(reply.status, 200)
        self.assertEqual(decode_view(reply.body).instances.end, 9)

    def test_served_with_its_age(self):
        followers = self.gateway._followers
        followers.catalog.adopt(Listing([Entry("config", b"{}", 3)], 4))
        followers.instances.adopt(Listing([], 9))
        followers.quarantine.adopt(Listing([], 2))
        self.assertEqual(decode_view(self.fetch_view().body).age, -1.0)
        state = self.gateway.state
        state.freshness.record_peer_view(state.clock() - 5.0)
        self.assertGreaterEqual(decode_view(self.fetch_view().body).age, 5.0)
