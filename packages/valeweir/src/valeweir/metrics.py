"""The Prometheus metrics of a router, under conventional names."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

REGISTRY = CollectorRegistry()

_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


def _counter(name, text, labels=()):
    return Counter(f"valeweir_{name}", text, labels, registry=REGISTRY)


def _gauge(name, text, labels=()):
    return Gauge(f"valeweir_{name}", text, labels, registry=REGISTRY)


requests = _counter("requests", "Requests by how they ended", ["pool", "outcome"])
refusals = _counter("refusals", "Requests refused, by reason", ["code"])
retries = _counter("retries", "Repeated attempts at an upstream", ["pool", "why"])
queue_seconds = Histogram(
    "valeweir_queue_seconds",
    "Time from arrival to a slot",
    ["pool", "work_class"],
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
upstream_seconds = Histogram(
    "valeweir_upstream_seconds",
    "Time at the upstream",
    ["pool"],
    buckets=_BUCKETS_S,
    registry=REGISTRY,
)
waiting = _gauge("waiting_requests", "Requests waiting for a slot", ["pool"])
slots_held = _gauge("slots_held", "Slots leased to this router", ["upstream"])
slots_used = _gauge("slots_used", "Leased slots in use", ["upstream"])
service = _counter("service_cost", "Cost served", ["pool", "client_account"])
control_bytes = _counter("control_bytes", "Fleet traffic", ["direction"])
control_messages = _counter("control_messages", "Fleet messages", ["kind"])
control_dropped = _counter("control_dropped", "Fleet messages refused", ["why"])
control_seconds = _counter("control_cpu_seconds", "Processor time for control")
slot_moves = _counter("slot_moves", "Slots given or handed back", ["way"])
lease_lapses = _counter("lease_lapses", "Leases dropped after their lapse time")
owned_upstreams = _gauge("owned_upstreams", "Upstreams whose slots we lease out")
live_peers = _gauge("live_peers", "Routers heard from both ways")
config_offset = _gauge("config_offset", "Log offset of the view in force")
config_rejected = _counter("config_rejected", "Changes refused by the fold", ["why"])
config_reverts = _counter("config_reverts_refused", "Older views refused")
platform_errors = _counter("platform_errors", "Failed platform calls", ["service"])
ejected = _gauge("upstream_ejected", "1 while an upstream is set aside", ["upstream"])
