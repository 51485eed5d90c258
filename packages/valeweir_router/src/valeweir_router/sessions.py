"""The way of one request, from the caller to an upstream and back."""

import itertools
import secrets
import time

from loguru import logger
from valeweir import metrics
from valeweir.models import (
    CLASS_PRIORITY,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Outcome,
    Refusal,
)
from valeweir_callers.dialect import (
    StreamMeter,
    get_bearer,
    get_unary_usage,
    parse_demand,
    send_refusal,
)
from valeweir_sharing.limits import find_excess, get_retry_after
from valeweir_upstreams.exchanges import (
    Call,
    Failure,
    Fault,
    Head,
    open_exchange,
    prepare_headers,
)

from . import claims, scheduler
from .states import Ticket

_CALLER_CHECK = 2.0
_SETTLE_EVERY = 32
_MAX_ATTEMPTS = 4
_MAX_ANSWER = 64 << 20
_SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
_BUSY = frozenset((502, 503, 504))
_UNSENT = (Fault.NOT_SENT, Fault.LAPSED)
_CALLERS_DOING = (Fault.GONE, Fault.LATE)
_BLAMELESS = (Fault.GONE, Fault.LATE, Fault.LAPSED)


class Served:
    """What a session needs to know of one request."""

    __slots__ = ("demand", "repeatable", "reply", "request", "ticket")

    def __init__(self, request, reply, demand, ticket, repeatable):
        self.request = request
        self.reply = reply
        self.demand = demand
        self.ticket = ticket
        self.repeatable = repeatable


def create_handler(state, connections):
    """Return the function that serves callers' requests."""
    numbers = itertools.count(1)
    prefix = f"{state.host}-{secrets.token_hex(4)}"

    def handle(request, reply):
        if state.leaving:
            # The caller's next request should reach a router that stays.
            reply.close()
        request_id = f"{prefix}-{next(numbers)}"
        result = _admit(state, request, reply, request_id)
        if isinstance(result, Refusal):
            _note_end("", result.outcome, result.code)
            send_refusal(reply, result, request_id)
            return
        if result is None:
            return
        try:
            _serve_once(state, connections, result)
        finally:
            with state.lock:
                state.inflight -= 1
                state.occupancy.remove(result.ticket.account, result.ticket.size)

    return handle


# -- admission ---------------------------------------------------------------


def _admit(state, request, reply, request_id):
    """Return a `Served` that counts as in flight, a `Refusal`, or None if done."""
    with state.lock:
        account = state.accounts_by_hash.get(get_bearer(request.headers))
        ready = state.config_known
    if not ready:
        return _refuse_unready()
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
    demand = parse_demand(request, state.cfg["callers"]["default_deadline"])
    if isinstance(demand, Refusal):
        return demand
    with state.lock:
        return _enter(state, request, reply, request_id, account, demand)


def _enter(state, request, reply, request_id, account, demand):
    pool = _find_pool(state, demand)
    if isinstance(pool, Refusal):
        return pool
    if state.refusing:
        return _refuse_unready()
    part = state.get_part(account)
    size = len(request.body)
    excess = find_excess(
        state.limits, state.occupancy, account, part, demand.work_class, size
    )
    if excess is not None:
        waiting = state.occupancy.get(account)[0]
        return Refusal(
            429,
            excess,
            f"the limit {excess} is reached for {account}",
            "come back after the time in Retry-After",
            retry_after=get_retry_after(waiting, 1.0, state.rng),
        )
    now = state.clock()
    ticket = Ticket(
        request_id,
        (pool, account),
        demand.work_class,
        now,
        now + demand.deadline,
        size,
        demand.prefix,
    )
    state.inflight += 1
    state.occupancy.add(account, size)
    state.retries.earn(account)
    repeatable = _is_repeatable(state, pool, demand, request.method)
    return Served(request, reply, demand, ticket, repeatable)


def _find_pool(state, demand):
    """Return the pool's name, or a `Refusal` where nothing serves it."""
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
            "see /v1/models, or ask the operators",
        )
    return name


def _is_repeatable(state, pool, demand, method):
    if demand.is_model or method in _SAFE_METHODS:
        return True
    ups = [state.upstreams[name] for name in state.pools[pool]]
    return all(method in up.repeatable for up in ups)


def _refuse_unready():
    return Refusal(
        503,
        "not-ready",
        "this router takes no requests now",
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


# -- service -------------------------------------------------------------------


def _serve_once(state, connections, served):
    """Serve a request; one with a key only if the key is its own."""
    text = served.request.headers.get(IDEMPOTENCY_HEADER)
    if served.repeatable or not text:
        _serve(state, connections, served)
        return
    ticket = served.ticket
    key = claims.make_key(ticket.account, ticket.pool, text)
    number = claims.make_number(ticket.id)
    refusal = claims.claim(state, key, number)
    if refusal is not None:
        _end(served, refusal)
        return
    if _serve(state, connections, served) is Outcome.NOT_RUN:
        claims.release(state, key, number)


def _serve(state, connections, served):
    """Queue, send and answer a request; return its `Outcome`."""
    ticket = served.ticket
    with state.lock:
        scheduler.submit(state, ticket)
    for attempt in range(1, _MAX_ATTEMPTS + 1):
        refusal = _wait_for_slot(state, served)
        if refusal is not None:
            _end(served, refusal)
            return refusal.outcome
        failure = _attempt(state, connections, served)
        if failure is None:
            return Outcome.COMPLETE
        if not _may_retry(state, served, failure, attempt):
            refusal = _explain(served, failure)
            _end(served, refusal)
            return refusal.outcome
        metrics.retries.labels(ticket.pool, failure.fault.value).inc()
        with state.lock:
            ticket.excluded.add(ticket.placement.upstream)
            scheduler.resubmit(state, ticket)
    raise AssertionError("the last attempt may not be retried")


def _wait_for_slot(state, served):
    """Wait until the ticket has a slot; return None, or why it got none."""
    ticket = served.ticket
    while True:
        left = ticket.deadline - state.clock()
        if left > 0 and ticket.gate.acquire(timeout=min(left, _CALLER_CHECK)):
            return None
        gone = served.reply.is_gone()
        if left > 0 and not gone:
            continue
        with state.lock:
            if not scheduler.withdraw(state, ticket):
                # A slot came in this very moment; use it or let it go.
                ticket.gate.acquire()
                return None
        if gone:
            return Refusal(499, "caller-gone", "the caller hung up", "none")
        return Refusal(
            504,
            "deadline",
            "no slot was free before the deadline",
            "come back later, or allow more time",
            retry_after=get_retry_after(state.occupancy.waiting, 10.0, state.rng),
        )


def _attempt(state, connections, served):
    """Send the request once; return None when answered, or the `Failure`."""
    ticket = served.ticket
    started = state.clock()
    progress = _Progress(state, served)
    failure = _exchange(state, connections, served, progress)
    elapsed = state.clock() - started
    upstream = ticket.placement.upstream
    metrics.upstream_seconds.labels(ticket.pool).observe(elapsed)
    cost = progress.cost if served.demand.is_model else elapsed * 1000.0
    with state.lock:
        _note_health(state, upstream, failure, served)
        scheduler.finish(state, ticket, cost, learn=failure is None)
    if failure is None:
        _note_end(ticket.pool, Outcome.COMPLETE, "")
    return failure


def _exchange(state, connections, served, progress):
    ticket = served.ticket
    if not _is_lease_valid(state, ticket):
        return Failure(Fault.LAPSED, "the lease lapsed before sending")
    address = ticket.placement.address
    exchange = open_exchange(connections, address, fresh=not served.repeatable)
    if isinstance(exchange, Failure):
        return exchange
    if not _is_lease_valid(state, ticket):
        exchange.close()
        return Failure(Fault.LAPSED, "the lease lapsed before sending")
    call = _prepare_call(state, served)
    failure = exchange.send(call) or exchange.wait(call, served.reply.is_gone)
    if failure is not None:
        return failure
    head = exchange.read_head(call)
    if isinstance(head, Failure):
        return head
    if head.status in _BUSY and served.repeatable:
        exchange.close()
        return Failure(Fault.AMBIGUOUS, f"upstream answered {head.status}")
    if head.is_stream:
        return _forward_stream(served, exchange, head, progress)
    return _forward_whole(served, exchange, head, progress)


def _forward_whole(served, exchange, head, progress):
    body = exchange.read_whole(_MAX_ANSWER)
    if isinstance(body, Failure):
        return body
    if served.demand.is_model:
        progress.note_usage(get_unary_usage(body))
    headers = _prepare_reply_headers(served, head)
    headers.append((OUTCOME_HEADER, Outcome.COMPLETE.value))
    try:
        served.reply.send(head.status, headers, body)
    except OSError:
        # The caller left after its request was done; nothing to repeat.
        served.reply.close()
    return None


def _forward_stream(served, exchange, head, progress):
    """Pass events on as they come; until the first, a retry is possible."""
    meter = StreamMeter()
    reply = served.reply
    for part in exchange.read_parts():
        if isinstance(part, Failure):
            return _break_stream(reply, part)
        new = meter.feed(part)
        try:
            if not reply.started:
                reply.start_stream(head.status, _prepare_reply_headers(served, head))
            reply.write(part)
        except OSError:
            exchange.close()
            return Failure(Fault.GONE, "caller hung up")
        progress.note_events(new)
    if not meter.ended:
        return _break_stream(reply, Failure(Fault.CUT, "stream without end mark"))
    progress.note_usage(meter.usage)
    return None


def _break_stream(reply, failure):
    if reply.started:
        reply.cut()
    return failure


class _Progress:
    """Cost of a model call as its answer comes in."""

    def __init__(self, state, served):
        sharing = state.cfg["sharing"]
        self._prompt_weight = sharing["prompt_weight"]
        self._output_weight = sharing["output_weight"]
        self._state = state
        self._ticket = served.ticket
        self._unsettled = 0
        self.cost = 0.0

    def note_events(self, count):
        """Count streamed events, one token each until usage tells better."""
        self.cost += count * self._output_weight
        self._unsettled += count
        if self._unsettled >= _SETTLE_EVERY:
            self._unsettled = 0
            with self._state.lock:
                scheduler.note_progress(self._state, self._ticket, self.cost)

    def note_usage(self, usage):
        """Take the engine's own count of tokens."""
        if usage is not None:
            self.cost = (
                usage.prompt_tokens * self._prompt_weight
                + usage.completion_tokens * self._output_weight
            )


def _is_lease_valid(state, ticket):
    with state.lock:
        return state.holder.is_valid(ticket.placement.upstream, state.clock())


def _prepare_call(state, served):
    ticket = served.ticket
    request = served.request
    priority = CLASS_PRIORITY[ticket.work_class]
    left = max(0.05, ticket.deadline - state.clock())
    return Call(
        ticket.id,
        request.method,
        served.demand.target,
        prepare_headers(request.headers, ticket.id, priority),
        request.body,
        time.monotonic() + left,
    )


def _prepare_reply_headers(served, head: Head):
    own = (REQUEST_ID_HEADER.lower(), OUTCOME_HEADER.lower(), "server", "date")
    headers = [(n, v) for n, v in head.headers if n.lower() not in own]
    headers.append((REQUEST_ID_HEADER, served.ticket.id))
    return headers


def _note_health(state, upstream, failure, served):
    if failure is None:
        if state.health.note_success(upstream):
            metrics.ejected.labels(upstream).set(0)
            logger.bind(upstream=upstream).info("upstream back")
        if served.ticket.prefix:
            state.hints.note(served.ticket.prefix, upstream, state.clock())
        return
    if failure.fault in _BLAMELESS:
        state.health.note_released(upstream)
        return
    pause = state.health.note_error(upstream, state.clock())
    if pause is not None:
        metrics.ejected.labels(upstream).set(1)
        logger.bind(upstream=upstream, pause=round(pause, 2), why=failure.text).warning(
            "upstream set aside"
        )


# -- ends ------------------------------------------------------------------


def _may_retry(state, served, failure, attempt):
    if served.reply.started or attempt >= _MAX_ATTEMPTS:
        return False
    if failure.fault in _CALLERS_DOING:
        return False
    if failure.fault not in _UNSENT and not served.repeatable:
        return False
    with state.lock:
        return state.retries.spend(served.ticket.account)


def _explain(served, failure):
    """Return the `Refusal` that tells the caller what became of its request."""
    not_run = failure.fault in _UNSENT
    if not_run:
        return Refusal(
            502,
            "upstream-unreachable",
            f"no upstream could be reached: {failure.text}",
            "come back after the time in Retry-After",
            retry_after=2,
        )
    status = 504 if failure.fault is Fault.LATE else 502
    advice = "send it again" if served.repeatable else "ask the service what it did"
    return Refusal(
        status,
        f"upstream-{failure.fault.value}",
        f"the request was sent but no whole answer came: {failure.text}",
        advice,
        outcome=Outcome.UNKNOWN,
    )


def _end(served, refusal):
    pool = served.ticket.pool
    _note_end(pool, refusal.outcome, refusal.code)
    logger.bind(
        request=served.ticket.id,
        account=served.ticket.account,
        outcome=refusal.outcome.value,
        code=refusal.code,
    ).info("not served")
    if served.reply.started:
        return
    try:
        send_refusal(served.reply, refusal, served.ticket.id)
    except OSError:
        served.reply.close()


def _note_end(pool, outcome, code):
    metrics.requests.labels(pool, outcome.value).inc()
    if code:
        metrics.refusals.labels(code).inc()
