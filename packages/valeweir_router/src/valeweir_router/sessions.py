"""The way of one request, from the caller to an upstream and back."""

import itertools
import secrets

from valeweir import metrics
from valeweir.models import IDEMPOTENCY_HEADER, Outcome, Refusal
from valeweir_callers.demands import send_refusal
from valeweir_sharing.limits import get_retry_after

from . import claims, scheduler
from .endings import MAX_ATTEMPTS, end, explain, may_retry, note_end
from .entering import admit
from .exchanging import Progress, exchange_once, note_health

_CALLER_CHECK = 2.0


def create_handler(state, connections):
    """Return the function that serves callers' requests."""
    numbers = itertools.count(1)
    prefix = f"{state.host}-{secrets.token_hex(4)}"

    def handle(request, reply):
        if state.leaving:
            # The caller's next request should reach a router that stays.
            reply.close()
        request_id = f"{prefix}-{next(numbers)}"
        result = admit(state, request, reply, request_id)
        if isinstance(result, Refusal):
            note_end("", result.outcome, result.code)
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
        end(served, refusal)
        return
    if _serve(state, connections, served) is Outcome.NOT_RUN:
        claims.release(state, key, number)


def _serve(state, connections, served):
    """Queue, send and answer a request; return its `Outcome`."""
    ticket = served.ticket
    with state.lock:
        scheduler.submit(state, ticket)
    for attempt in range(1, MAX_ATTEMPTS + 1):
        refusal = _wait_for_slot(state, served)
        if refusal is not None:
            end(served, refusal)
            return refusal.outcome
        failure = _attempt(state, connections, served)
        if failure is None:
            return Outcome.COMPLETE
        if not may_retry(state, served, failure, attempt):
            refusal = explain(served, failure)
            end(served, refusal)
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
    progress = Progress(state, served)
    failure = exchange_once(state, connections, served, progress)
    elapsed = state.clock() - started
    upstream = ticket.placement.upstream
    metrics.upstream_seconds.labels(ticket.pool).observe(elapsed)
    cost = progress.cost if served.demand.is_model else elapsed * 1000.0
    with state.lock:
        note_health(state, upstream, failure, served)
        scheduler.finish(state, ticket, cost, learn=failure is None)
    if failure is None:
        note_end(ticket.pool, Outcome.COMPLETE, "")
    return failure
