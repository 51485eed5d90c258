"""Handler of the admin port: health, metrics, resource API and fleet status."""

from prometheus_client import generate_latest
from valeweir import metrics
from valeweir_operators.api import ApiContext
from valeweir_operators.api import handle as handle_api

from .status import get_fleet_status, get_resource_status


def create_admin_handler(state, submit):
    """Return the function that handles requests to the admin port."""
    api = ApiContext(
        configuration=state.configuration,
        lock=state.lock,
        submit=submit,
        get_status=lambda res: get_resource_status(state, res),
        get_fleet=lambda: get_fleet_status(state),
        root_hash=state.cfg["admin"].get("operator_key_sha256", ""),
    )

    def handle(request, reply):
        if request.path == "/livez":
            reply.send(200, [("Content-Type", "text/plain")], b"ok\n")
        elif request.path == "/readyz":
            _send_ready(state, reply)
        elif request.path == "/metrics":
            update_gauges(state)
            body = generate_latest(metrics.REGISTRY)
            reply.send(200, [("Content-Type", "text/plain; version=0.0.4")], body)
        else:
            handle_api(api, request, reply)

    return handle


def update_gauges(state):
    """Set the gauges of queues and held slots from the state."""
    with state.lock:
        for pool, queue in state.queues.items():
            metrics.waiting.labels(pool).set(queue.size)
        for name, held in state.holder.held.items():
            metrics.slots_held.labels(name).set(held.slots)
            metrics.slots_used.labels(name).set(held.used)


def _send_ready(state, reply):
    with state.lock:
        reasons = []
        if not state.config_known:
            reasons.append("configuration unknown")
        if state.leaving:
            reasons.append("stopping")
    body = ("ok" if not reasons else ", ".join(reasons)) + "\n"
    reply.send(503 if reasons else 200, [("Content-Type", "text/plain")], body.encode())
