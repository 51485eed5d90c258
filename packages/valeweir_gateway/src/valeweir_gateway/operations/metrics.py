"""Prometheus metrics of one gateway."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class GatewayMetrics:
    """All metrics of a gateway, in their own registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.served = self._counter(
            "requests_served",
            "Forwarded responses, by route kind and status",
            "kind status",
        )
        self.refused = self._counter(
            "requests_refused", "Requests refused by the gateway, by reason", "code"
        )
        self.returns = self._counter(
            "returns",
            "Times of return of requests refused because of load, by timing",
            "timing",
        )
        self.account_tokens = self._counter(
            "account_tokens",
            "Tokens of requests received and begun here, by account and state",
            "account state",
        )
        self.send_failures = self._counter(
            "send_failures", "Sends without a complete response, by fault", "fault"
        )
        self.response_ends = self._counter(
            "response_ends",
            "Ends of responses of upstreams, by framing and whether the end was whole",
            "framing end",
        )
        self.responses_too_large = self._counter(
            "responses_too_large",
            "Responses of upstreams that exceeded a bound on their size, by bound",
            "bound",
        )
        self.malformed = self._counter(
            "requests_malformed",
            "Malformed requests and failed accepts, by code",
            "code",
        )
        self.warm_ups = self._counter(
            "upstream_warm_ups", "Instances put into slow start, by source", "source"
        )
        self.upstream_ends = self._counter(
            "upstream_ends", "Sends during which the upstream process ended", ""
        )
        self.backoffs = self._counter(
            "upstream_backoffs", "Pauses requested by upstreams", ""
        )
        self.sends_withheld = self._counter(
            "sends_withheld",
            "Sends withheld because the upstream accepts none, by reason",
            "reason",
        )
        self.headers_dropped = self._counter(
            "headers_dropped",
            "Dropped client headers that only the fleet may set, by name",
            "name",
        )
        self.buffer_bounds = self._counter(
            "response_buffer_full",
            "Streams whose upstream was left unread for a slow client, by bound",
            "bound",
        )
        self.slow_clients_aborted = self._counter(
            "slow_clients_aborted",
            "Connections aborted because the client had not read its stream in time",
            "",
        )
        self.bodies_full = self._counter(
            "upstream_bodies_full",
            "Times that an upstream reached the bound on waiting request bodies",
            "",
        )
        self.request_seconds = self._histogram(
            "request_seconds",
            "Time from the request to the end of its response",
            "kind",
        )
        self.first_event_seconds = self._histogram(
            "first_event_seconds", "Time from the send to the first event", ""
        )
        self.expected_first_event_seconds = self._histogram(
            "expected_first_event_seconds",
            "Time to the first event as estimated at the send",
            "",
        )
        self.event_gap_seconds = self._histogram(
            "event_gap_seconds", "Longest time between two events of a stream", ""
        )
        self.view_wait_seconds = self._histogram(
            "view_wait_seconds",
            "Time that requests waited for a current view after a process pause",
            "",
        )
        self.inflight = self._gauge(
            "inflight_requests", "Requests received and not yet answered"
        )
        self.waiting = self._gauge("intake_requests", "Requests queued for intake")
        self.wait = self._gauge(
            "intake_wait_seconds", "Estimated wait of the next request"
        )
        self.connections = self._gauge(
            "client_connections", "Open connections of clients"
        )
        self.catalog_version = self._gauge("catalog_version", "Catalog version in use")
        self.view_offset = self._gauge(
            "view_offset", "Offset in the store's log up to which the view is current"
        )
        self.view_age = self._gauge(
            "view_age_seconds", "Upper bound on the age of the view, -1 if unknown"
        )
        self.topic_age = self._gauge(
            "topic_age_seconds",
            "Time since the last complete read of a store topic, -1 for never",
            "topic",
        )
        self.unapplied = self._gauge(
            "unapplied_records", "Store records read and not yet applied"
        )
        self.lag = self._gauge("processor_lag_seconds", "Delay of the event loop")
        self.live_peers = self._gauge(
            "live_peers", "Peer gateways with a recent report"
        )
        self.instances = self._gauge(
            "upstream_instances", "Upstream instances in the view"
        )
        self.leaving = self._gauge(
            "upstreams_leaving",
            "Instances that accept no new work, by source",
            "source",
        )
        self.backing_off = self._gauge(
            "upstreams_backing_off", "Instances in a pause that they requested"
        )
        self.ejected_by_peers = self._gauge(
            "upstreams_ejected_by_peers",
            "Instances that get no new work because peers' connections were refused",
        )
        self.warming = self._gauge("upstreams_warming", "Instances in slow start")
        self.evacuated = self._gauge(
            "domains_evacuated", "Failure domains that receive no new work"
        )
        self.suspects = self._gauge(
            "suspect_requests",
            "Requests and parts during which upstreams ended, not yet cleared",
        )
        self.quarantined = self._gauge(
            "quarantined_requests", "Requests and parts of prompts in quarantine"
        )
        self.quarantined_parts = self._gauge(
            "quarantined_parts", "Parts of prompts in quarantine"
        )
        self.stream_origins = self._gauge(
            "stream_origins", "Recent streams whose service and version are known"
        )
        self.report_bytes = self._gauge(
            "report_bytes_sent", "Bytes of reports sent to peers"
        )
        self.share_level = self._gauge(
            "share_level_tokens",
            "Max-min fair share of an account in the window, +Inf if demand is met",
        )
        self.declared = self._gauge(
            "declared_tokens_per_second",
            "Token throughput of the upstreams as configured",
        )
        self.buffered_bytes = self._gauge(
            "response_buffer_bytes", "Unsent response bytes of slow clients"
        )
        self.resident_bytes = self._gauge(
            "resident_bytes", "Resident memory of the process, 0 if unknown"
        )
        self.body_bytes = self._gauge(
            "body_bytes", "Bytes of buffered message bodies, by kind of message", "kind"
        )
        self.waiting_body_bytes = self._gauge(
            "waiting_body_bytes",
            "Bytes of request bodies at upstreams without a response head",
        )
        self.outdated_requests = self._gauge(
            "outdated_requests",
            "Requests decided while changes may have been in force elsewhere for "
            "longer than allowed, by outcome",
            "outcome",
        )
        self.left_out = self._gauge("log_lines_left_out", "Log lines dropped")
        self.bad_records = self._gauge(
            "bad_records", "Store records that cannot be decoded"
        )
        self.bad_keys = self._gauge(
            "bad_keys", "Keys whose newest record cannot be decoded"
        )

    def render(self):
        """Return the metrics in the Prometheus text format."""
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
