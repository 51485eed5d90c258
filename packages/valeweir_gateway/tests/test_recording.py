import unittest

from valeweir_gateway.fleet.members import Member
from valeweir_gateway.forwarding.request_context import RequestContext
from valeweir_gateway.forwarding.request_records import (
    record_bad_request,
    record_refusal,
)
from valeweir_gateway.refusals import Refusal
from valeweir_gateway.stores import Position
from valeweir_gateway.transport.requests import BadRequest, Headers, Request
from valeweir_gateway.view.catalog import Catalog, Limits
from valeweir_gateway.view.view_age import ViewAgeMonitor, count_outdated_request
from viewing import Clock, make_state


class RecordingCase(unittest.TestCase):
    """A gateway with version 7, whose log lines are kept."""

    def setUp(self):
        self.clock = Clock(100.0)
        self.state = make_state(Member("h0", "a", "10.0.0.1:4"), self.clock)
        self.state.log.note = self.record_line
        self.state.put_catalog(Catalog(7, [], [], [], Limits()))
        self.state.catalog_position = Position(1, 41)
        self.state.freshness.record_peer_view(101.0)
        self.clock.now = 104.5
        self.lines = []

    def record_line(self, event, failed=False, denied=False, **fields):
        self.lines.append((denied, fields))


class TestDenials(RecordingCase):
    """Log lines of denials contain the configuration that they are based on."""

    def refuse(self, refusal, path="/new/some/thing"):
        headers = Headers([("Host", "asked.example")])
        request = Request("GET", path, headers, b"", True)
        ctx = RequestContext(request, None, self.state.catalog, self.clock.now)
        record_refusal(self.state, ctx, refusal)
        return self.lines[-1]

    def test_denial_logs_request_and_configuration(self):
        denied, fields = self.refuse(Refusal(404, "no-route"))
        self.assertTrue(denied)
        expected = {
            "asked_host": "asked.example",
            "asked_path": "/new/some/",
            "version": 7,
            "catalog_era": 1,
            "catalog_offset": 41,
            "in_force_s": 4.5,
            "view_age_s": 3.5,
        }
        self.assertLessEqual(expected.items(), fields.items())

    def test_long_paths_are_truncated(self):
        _, fields = self.refuse(Refusal(404, "no-route"), f"/{'x' * 9_000}/y")
        self.assertLess(len(fields["asked_path"]), 100)

    def test_other_refusals_omit_the_denial_fields(self):
        denied, fields = self.refuse(Refusal(503, "engines-busy"))
        self.assertFalse(denied)
        self.assertNotIn("asked_path", fields)


class TestOutdatedView(unittest.TestCase):
    """A line tells how many requests were decided while the view was outdated."""

    def test_requests_are_counted(self):
        clock = Clock(100.0)
        # Changes must be in force within 2 s.
        state = make_state(Member("h0", "a", "10.0.0.1:4"), clock)
        lines = []
        state.log.note = lambda event, **fields: lines.append((event, fields))
        state.freshness.record_peer_view(100.0)
        monitor = ViewAgeMonitor(state)
        for now, outcome in ((101.9, "sent"), (102.1, "sent"), (102.3, "denied")):
            clock.now = now
            monitor.check()
            count_outdated_request(state, outcome, now)
        state.freshness.record_peer_view(102.3)
        monitor.check()
        monitor.check()
        self.assertEqual(
            [event for event, _ in lines], ["view outdated", "view recent"]
        )
        expected = {"sent": 1, "denied": 1, "outdated_s": 0.2}
        self.assertLessEqual(expected.items(), lines[1][1].items())


class TestBadRequests(RecordingCase):
    def test_line_names_the_request_and_the_limits(self):
        headers = Headers([("Host", "asked.example"), ("X-Request-Id", "r1")])
        record_bad_request(
            self.state, BadRequest(413, "too large", "/new/thing", headers), 413
        )
        denied, fields = self.lines[-1]
        self.assertTrue(denied)
        expected = {
            "id": "r1",
            "status": 413,
            "asked_path": "/new/",
            "max_body_bytes": 8 << 20,
            "version": 7,
            "view_age_s": 3.5,
        }
        self.assertLessEqual(expected.items(), fields.items())
