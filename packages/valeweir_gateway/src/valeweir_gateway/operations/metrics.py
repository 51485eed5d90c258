"""Counters and histograms of one gateway, for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class GatewayMetrics:
    """Every metric of a gateway, in a registry of its own."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.served = self._counter(
            "requests_served",
            "Answers passed on, by route kind and status",
            "kind status",
        )
        self.refused = self._counter(
            "requests_refused", "Answers of our own, by reason", "code"
        )
        self.account_tokens = self._counter(
            "account_tokens",
            "Tokens that accounts asked for, and that were begun, at this gateway",
            "account state",
        )
        self.send_failures = self._counter(
            "send_failures", "Sends without a whole answer, by fault", "fault"
        )
        self.malformed = self._counter(
            "requests_malformed", "Requests that do not parse, by status", "code"
        )
        self.warm_ups = self._counter(
            "upstream_warm_ups", "Instances taken for warming, by source", "source"
        )
        self.upstream_ends = self._counter(
            "upstream_ends", "Sends under which their upstream was seen to end", ""
        )
        self.backoffs = self._counter(
            "upstream_backoffs", "Pauses that upstreams asked for", ""
        )
        self.sends_withheld = self._counter(
            "sends_withheld",
            "Sends chosen and not made, as the upstream takes no more, by reason",
            "reason",
        )
        self.headers_dropped = self._counter(
            "headers_dropped",
            "Headers from clients that only the fleet may set, by name",
            "name",
        )
        self.request_seconds = self._histogram(
            "request_seconds", "Time from the request to the end of its answer", "kind"
        )
        self.first_seconds = self._histogram(
            "first_event_seconds", "Time from the send to the first event", ""
        )
        self.expected_seconds = self._histogram(
            "expected_first_event_seconds", "What was expected of it at the send", ""
        )
        self.view_waits = self._histogram(
            "view_wait_seconds",
            "How long requests waited for the view after a pause of the process",
            "",
        )
        self.inflight = self._gauge("inflight_requests", "Requests read, not answered")
        self.waiting = self._gauge("intake_requests", "Requests not yet looked at")
        self.wait = self._gauge("intake_wait_seconds", "How long the next one waits")
        self.connections = self._gauge("client_connections", "Connections of clients")
        self.catalog_version = self._gauge("catalog_version", "Version in force")
        self.view_offset = self._gauge(
            "view_offset", "How far the view of upstreams reaches in the store's log"
        )
        self.view_age = self._gauge(
            "view_age_seconds", "How old the view may be, -1 where nothing is known"
        )
        self.topic_age = self._gauge(
            "topic_age_seconds",
            "How long ago the store's answers on a topic were whole, -1 for never",
            "topic",
        )
        self.unapplied = self._gauge(
            "unapplied_records", "Store records read that could not be applied yet"
        )
        self.lag = self._gauge("processor_lag_seconds", "How late the event loop is")
        self.live_peers = self._gauge("live_peers", "Gateways heard from lately")
        self.instances = self._gauge("upstream_instances", "Upstream instances known")
        self.leaving = self._gauge(
            "upstreams_leaving", "Instances that take no new work, by source", "source"
        )
        self.backing_off = self._gauge(
            "upstreams_backing_off", "Instances that asked this gateway for a pause"
        )
        self.warming = self._gauge("upstreams_warming", "Instances in slow start")
        self.evacuated = self._gauge(
            "domains_evacuated", "Failure domains that get no new work"
        )
        self.suspects = self._gauge(
            "suspect_requests", "Requests under which upstreams ended, not cleared"
        )
        self.quarantined = self._gauge(
            "quarantined_requests", "Requests that are sent no more"
        )
        self.report_bytes = self._gauge("report_bytes_sent", "Bytes of reports sent")
        self.share_level = self._gauge(
            "share_level_tokens",
            "What no account should exceed in the window, +Inf where all have it all",
        )
        self.declared = self._gauge(
            "declared_tokens_per_second",
            "What the configuration says that upstreams make",
        )
        self.left_out = self._gauge("log_lines_left_out", "Log lines above the rate")
        self.bad_records = self._gauge("bad_records", "Store records not decoded")
        self.bad_keys = self._gauge("bad_keys", "Keys whose newest record is bad")

    def render(self):
        """Return the metrics as text."""
        return generate_latest(self.registry)

    def _counter(self, name, help_text, labels):
        return Counter(
            f"valeweir_{name}", help_text, labels.split(), registry=self.registry
        )

    def _gauge(self, name, help_text, labels=""):
        return Gauge(
            f"valeweir_{name}", help_text, labels.split(), registry=self.registry
        )

    def _histogram(self, name, help_text, labels):
        return Histogram(
            f"valeweir_{name}",
            help_text,
            labels.split(),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
