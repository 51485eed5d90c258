"""Tests that a configuration that may be outdated causes no 404 or 401.

A gateway without news for seconds refused valid requests with 404, although their route
was in force at other gateways. Clients do not retry after 404 or 401.
"""

import unittest

from valeweir_gateway.fleet.members import Member
from valeweir_gateway.fleet.reports import VERSION, Report, Role
from valeweir_gateway.forwarding.request_checks import check_request
from valeweir_gateway.forwarding.request_context import RequestContext
from valeweir_gateway.transport.requests import Headers, Request
from valeweir_gateway.view.catalog import (
    Account,
    Catalog,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
)
from viewing import Clock, make_state

ROUTE = Route(
    "r", "h", "/known/", RouteKind.SAFE, 3.0, 0.5, 1, (Target("api", 1.0),), 1
)
ACCOUNT = Account("one", ("key",), None)


class TestDenials(unittest.TestCase):
    def setUp(self):
        self.clock = Clock(100.0)
        # Changes must be in force within 2 s.
        self.state = make_state(Member("h0", "a", "10.0.0.1:4"), self.clock)
        services = [Service("api", 8, None)]
        self.state.put_catalog(Catalog(1, [ROUTE], services, [ACCOUNT], Limits()))
        self.state.catalog_known = True
        self.state.freshness.record_peer_view(100.0)

    def check(self, path, key, at):
        self.clock.now = at
        headers = Headers([("Host", "h"), ("Authorization", f"Bearer {key}")])
        request = Request("GET", path, headers, b"", True)
        return check_request(
            self.state, RequestContext(request, None, self.state.catalog, at)
        )

    def get_status(self, *asked):
        refusal = self.check(*asked)
        return refusal.status if refusal else None

    def test_denied_while_the_view_is_fresh(self):
        self.assertEqual(self.get_status("/new/x", "key", 101.3), 404)
        self.assertEqual(self.get_status("/known/x", "new", 101.3), 401)

    def test_unavailable_while_the_view_is_old(self):
        for path, key in (("/new/x", "key"), ("/known/x", "new")):
            with self.subTest(path=path):
                refusal = self.check(path, key, 102.0)
                self.assertEqual(refusal.status, 503)
                self.assertGreater(refusal.retry_after, 0.0)

    def test_unavailable_while_the_age_is_unknown(self):
        state = self.state
        self.state = make_state(Member("h0", "a", "10.0.0.1:4"), self.clock)
        self.state.put_catalog(state.catalog)
        self.state.catalog_known = True
        self.assertEqual(self.get_status("/new/x", "key", 100.0), 503)

    def test_unavailable_while_a_peer_has_a_newer_version(self):
        report = Report(VERSION, "h1", "a", 1, 1, Role.UP, catalog_version=2)
        self.state.members.record_report(report, "10.0.0.2:4", 101.0)
        self.assertEqual(self.get_status("/new/x", "key", 101.3), 503)
        self.assertIsNone(self.get_status("/known/x", "key", 101.3))

    def test_known_route_is_served_with_an_old_view(self):
        self.assertIsNone(self.get_status("/known/x", "key", 130.0))
