"""Admission of callers' requests: authentication, limits, pool and ticket."""

from valeweir.models import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome, Refusal
from valeweir_callers.protocol import hash_bearer_key, parse_request
from valeweir_sharing.limits import find_exceeded_limit, get_retry_after

from .router_state import Ticket

_SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


class AdmittedRequest:
    """A request that has been admitted, with its reply and ticket."""

    __slots__ = ("demand", "repeatable", "reply", "request", "ticket")

    def __init__(self, request, reply, demand, ticket, repeatable):
        self.request = request
        self.reply = reply
        self.demand = demand
        self.ticket = ticket
        self.repeatable = repeatable


def admit(state, request, reply, request_id):
    """Admit a request.

    Returns an `AdmittedRequest`, which counts as in flight, or a `Refusal`, or None
    if the response has already been sent.
    """
    with state.lock:
        account = state.accounts_by_hash.get(hash_bearer_key(request.headers))
        ready = state.config_known
    if not ready:
        return _make_not_ready_refusal()
    if account is None:
        return Refusal(
            401,
            "unknown-account",
            "the bearer key belongs to no client account",
            "send Authorization: Bearer KEY",
        )
    if request.path == "/v1/models" and request.method == "GET":
        _send_models(state, reply, request_id)
        return None
    demand = parse_request(request, state.cfg["callers"]["default_deadline"])
    if isinstance(demand, Refusal):
        return demand
    with state.lock:
        return _admit_demand(state, request, reply, request_id, account, demand)


def _admit_demand(state, request, reply, request_id, account, demand):
    pool = _find_pool(state, demand)
    if isinstance(pool, Refusal):
        return pool
    if state.refusing:
        return _make_not_ready_refusal()
    weight_ratio = state.get_weight_ratio(account)
    body_size = len(request.body)
    exceeded_limit = find_exceeded_limit(
        state.limits,
        state.occupancy,
        account,
        weight_ratio,
        demand.work_class,
        body_size,
    )
    if exceeded_limit is not None:
        waiting = state.occupancy.get(account)[0]
        return Refusal(
            429,
            exceeded_limit,
            f"the limit {exceeded_limit} is reached for {account}",
            "retry after the time in Retry-After",
            retry_after=get_retry_after(waiting, 1.0, state.rng),
        )
    now = state.clock()
    ticket = Ticket(
        request_id,
        (pool, account),
        demand.work_class,
        now,
        now + demand.deadline,
        body_size,
        demand.prefix,
    )
    state.inflight += 1
    state.occupancy.add(account, body_size)
    state.retry_budget.earn(account)
    repeatable = _is_repeatable(state, pool, demand, request.method)
    return AdmittedRequest(request, reply, demand, ticket, repeatable)


def _find_pool(state, demand):
    """Return the pool's name, or a `Refusal` if no upstream serves it."""
    name = demand.pool
    model = state.configuration.get("models", name) if demand.is_model else None
    if model is not None:
        name = model.spec["pool"]
    names = state.pools.get(name, ())
    kind = "engine" if demand.is_model else "service"
    if not any(state.upstreams[n].kind == kind for n in names):
        return Refusal(
            404,
            "unknown-pool",
            f"there is no {kind} pool {demand.pool!r}",
            "see /v1/models or contact the operators",
        )
    return name


def _is_repeatable(state, pool, demand, method):
    if demand.is_model or method in _SAFE_METHODS:
        return True
    ups = [state.upstreams[name] for name in state.pools[pool]]
    return all(method in up.repeatable for up in ups)


def _make_not_ready_refusal():
    return Refusal(
        503,
        "not-ready",
        "this router accepts no requests at present",
        "send the request to another router",
        retry_after=1,
    )


def _send_models(state, reply, request_id):
    with state.lock:
        engines = {u.pool for u in state.upstreams.values() if u.kind == "engine"}
        names = sorted(engines | set(state.configuration.resources["models"]))
    rows = [{"id": name, "object": "model", "owned_by": "valeweir"} for name in names]
    headers = [
        (REQUEST_ID_HEADER, request_id),
        (OUTCOME_HEADER, Outcome.COMPLETE.value),
    ]
    reply.send_json(200, {"object": "list", "data": rows}, headers)
