"""Handler of callers' requests: admission, queueing, attempts and response."""

import itertools
import secrets

from valeweir import metrics
from valeweir.models import IDEMPOTENCY_HEADER, Outcome, Refusal
from valeweir_callers.protocol import send_refusal
from valeweir_sharing.limits import get_retry_after

from . import key_claims, scheduler
from .admission import admit
from .outcomes import MAX_ATTEMPTS, count_outcome, make_refusal, may_retry, refuse
from .upstream_exchange import CostProgress, exchange_once, record_health

_CALLER_CHECK_INTERVAL_S = 2.0


def create_handler(state, connections):
    """Return the function that handles callers' requests."""
    numbers = itertools.count(1)
    prefix = f"{state.host}-{secrets.token_hex(4)}"

    def handle(request, reply):
        if state.leaving:
            # The caller's next connection should reach a router that is not stopping.
            reply.close()
        request_id = f"{prefix}-{next(numbers)}"
        result = admit(state, request, reply, request_id)
        if isinstance(result, Refusal):
            count_outcome("", result.outcome, result.code)
            send_refusal(reply, result, request_id)
            return
        if result is None:
            return
        try:
            _serve_at_most_once(state, connections, result)
        finally:
            with state.lock:
                state.inflight -= 1
                state.occupancy.remove(result.ticket.account, result.ticket.body_size)

    return handle


def _serve_at_most_once(state, connections, admitted):
    """Serve a request, and claim its idempotency key first.

    Repeatable requests and those without a key need no claim.
    """
    key_text = admitted.request.headers.get(IDEMPOTENCY_HEADER)
    if admitted.repeatable or not key_text:
        _serve(state, connections, admitted)
        return
    ticket = admitted.ticket
    key = key_claims.make_key(ticket.account, ticket.pool, key_text)
    number = key_claims.make_request_number(ticket.id)
    refusal = key_claims.claim_key(state, key, number)
    if refusal is not None:
        refuse(admitted, refusal)
        return
    if _serve(state, connections, admitted) is Outcome.NOT_RUN:
        key_claims.release_key(state, key, number)


def _serve(state, connections, admitted):
    """Queue a request, send it and respond to the caller; return its `Outcome`."""
    ticket = admitted.ticket
    with state.lock:
        scheduler.submit(state, ticket)
    for attempt in range(1, MAX_ATTEMPTS + 1):
        refusal = _wait_for_slot(state, admitted)
        if refusal is not None:
            refuse(admitted, refusal)
            return refusal.outcome
        failure = _attempt(state, connections, admitted)
        if failure is None:
            return Outcome.COMPLETE
        if not may_retry(state, admitted, failure, attempt):
            refusal = make_refusal(admitted, failure)
            refuse(admitted, refusal)
            return refusal.outcome
        metrics.retries.labels(ticket.pool, failure.fault.value).inc()
        with state.lock:
            ticket.excluded_upstreams.add(ticket.placement.upstream)
            scheduler.resubmit(state, ticket)
    raise AssertionError("a failure of the last attempt cannot be retried")


def _wait_for_slot(state, admitted):
    """Wait until the ticket has a slot; return None, or a `Refusal` without one."""
    ticket = admitted.ticket
    while True:
        remaining_s = ticket.deadline - state.clock()
        if remaining_s > 0 and ticket.slot_signal.acquire(
            timeout=min(remaining_s, _CALLER_CHECK_INTERVAL_S)
        ):
            return None
        caller_gone = admitted.reply.is_disconnected()
        if remaining_s > 0 and not caller_gone:
            continue
        with state.lock:
            if not scheduler.withdraw(state, ticket):
                # A slot was assigned in the meantime; the attempt uses or releases it.
                ticket.slot_signal.acquire()
                return None
        if caller_gone:
            return Refusal(
                499, "caller-gone", "the caller closed the connection", "none"
            )
        return Refusal(
            504,
            "deadline",
            "no slot was free before the deadline",
            "retry later or set a later deadline",
            retry_after=get_retry_after(state.occupancy.waiting, 10.0, state.rng),
        )


def _attempt(state, connections, admitted):
    """Send the request once; return None on a complete response, or the `Failure`."""
    ticket = admitted.ticket
    started_at = state.clock()
    progress = CostProgress(state, admitted)
    failure = exchange_once(state, connections, admitted, progress)
    elapsed_s = state.clock() - started_at
    upstream = ticket.placement.upstream
    metrics.upstream_seconds.labels(ticket.pool).observe(elapsed_s)
    cost = progress.cost if admitted.demand.is_model else elapsed_s * 1000.0
    with state.lock:
        record_health(state, upstream, failure, admitted)
        scheduler.finish(state, ticket, cost, is_complete=failure is None)
    if failure is None:
        count_outcome(ticket.pool, Outcome.COMPLETE, "")
    return failure
