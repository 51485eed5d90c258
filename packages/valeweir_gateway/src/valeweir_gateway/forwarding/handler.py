"""The request handler: checks, admission, choice of an upstream, sends and response."""

import functools

from valeweir.models import Outcome

from ..admission import policy as admission
from ..placement.candidates import (
    find_candidates,
    find_retry_after,
    has_alternative,
    take_permit,
)
from ..placement.choice import choose_engine, choose_instance
from ..quarantine.crash_attribution import (
    check_quarantine,
    claim_trial,
    drop_quarantined,
    refuse_quarantined,
)
from ..refusals import Refusal, send_refusal
from ..transport.replies import ClientDisconnected
from ..upstreams.exchanges import Fault
from .attempts import attempt
from .pause_recovery import wait_for_view
from .request_checks import check_request
from .request_context import RequestContext
from .request_records import record_refusal
from .retry_policy import (
    NOT_RUN_FAULTS,
    claim_retry,
    downgrade_if_ambiguous,
    make_deadline_refusal,
    make_failure_refusal,
)
from .stream_resumption import bind_stream

_MIN_REMAINING_S = 0.02
_MAX_CONNECT_FAILURE_COUNT = 3
# Part of the latency target that a request may queue at an engine before other engines
# are considered.
_MAX_QUEUE_WAIT_RATIO = 0.15


def create_handler(state):
    """Return the coroutine function that handles requests of clients."""

    async def handle(request, reply):
        if state.stopping or state.overload.is_overloaded:
            # An open connection stays with this gateway. A new one goes to another, as
            # the balancer sends none here now.
            reply.close()
        state.enter()
        try:
            arrived = state.clock()
            await wait_for_view(state)
            await _handle(state, request, reply, arrived)
            # A planned stop waits until clients have read their responses.
            await reply.flush()
        except ClientDisconnected:
            # Already recorded where it was detected.
            pass
        except Exception as exc:
            # An error in one request must neither close the connection nor leave the
            # request unanswered.
            _answer_failure(state, request, reply, exc)
        finally:
            state.leave()

    return handle


async def _handle(state, request, reply, arrived):
    ctx = RequestContext(request, reply, state.catalog, arrived)
    ctx.id = request.headers.get(state.names.request_id, "")
    refusal = check_request(state, ctx)
    if refusal is None:
        refusal = check_quarantine(state, ctx)
    if refusal is None:
        refusal = await bind_stream(state, ctx)
    if refusal is None:
        refusal = await _admit(state, ctx)
    if refusal is None:
        # Only now, as a trial that is refused would be counted as well.
        refusal = await claim_trial(state, ctx)
    if refusal is None:
        refusal = await _serve(state, ctx)
    if refusal is not None:
        _refuse(state, ctx, refusal)


async def _admit(state, ctx):
    """Wait for admission; return a `Refusal` or None."""
    _record_demand(state, ctx)
    # The share is checked first: an account over its share that is sent to another
    # gateway would only flood that one.
    refusal = admission.check_share(state, ctx, ctx.arrived)
    if refusal is not None:
        return refusal
    refusal = admission.check_pressure(state, ctx, ctx.arrived)
    if refusal is not None:
        # The client's next request may go to another gateway as well.
        ctx.reply.close()
        return refusal
    await state.intake.enter()
    if ctx.reply.is_disconnected:
        # The client disconnected while the request waited for admission, so the work on
        # it would be wasted.
        state.overload.record_unread_disconnect(state.clock())
        return Refusal(499, "client-gone-unread")
    return None


def _answer_failure(state, request, reply, exc):
    request_id = request.headers.get(state.names.request_id, "")
    state.log.note("request failed", failed=True, id=request_id, why=repr(exc))
    if reply.started:
        reply.cut()
        return
    refusal = Refusal(502, "internal", Outcome.UNKNOWN)
    send_refusal(reply, refusal, request_id, state.names.request_id)


def _refuse(state, ctx, refusal):
    record_refusal(state, ctx, refusal)
    if ctx.reply.started:
        ctx.reply.cut()
        return
    if refusal.status == 499:
        ctx.reply.drop()
        return
    send_refusal(ctx.reply, refusal, ctx.id, state.names.request_id)


async def _serve(state, ctx):
    """Send the request until it is answered or may not be retried.

    Returns a `Refusal` or None.
    """
    connect_failures = 0
    while True:
        now = state.clock()
        if ctx.deadline - now < _MIN_REMAINING_S:
            return make_deadline_refusal(ctx)
        choice = _choose_upstream(state, ctx, now)
        if isinstance(choice, Refusal):
            return downgrade_if_ambiguous(ctx, choice)
        failure = await attempt(state, ctx, choice)
        if failure is None:
            return None
        ctx.excluded.add(choice.instance.id)
        if failure.fault not in NOT_RUN_FAULTS:
            ctx.may_have_run = True
        if failure.fault is Fault.NOT_SENT:
            connect_failures += 1
            if connect_failures < _MAX_CONNECT_FAILURE_COUNT:
                continue
            return _make_final_refusal(state, ctx, failure)
        # Checked first, as a retry without an available upstream must not spend budget.
        can_resend = has_alternative(state, ctx, state.clock())
        if not can_resend or not claim_retry(state, ctx, failure):
            return _make_final_refusal(state, ctx, failure)


def _make_final_refusal(state, ctx, failure):
    """Return the `Refusal` after a failed send.

    While all instances have requested a backoff, Retry-After is the time until the
    first backoff ends.
    """
    refusal = make_failure_refusal(state, ctx, failure)
    if refusal.retry_after is None:
        return refusal
    retry_after = find_retry_after(state, ctx, state.clock())
    return refusal if retry_after is None else refusal._replace(retry_after=retry_after)


def _choose_upstream(state, ctx, now):
    """Return the `Choice` for the next send, or a `Refusal`."""
    candidates = find_candidates(state, ctx, now)
    if isinstance(candidates, Refusal):
        return candidates
    candidates = drop_quarantined(state, ctx, candidates)
    if not candidates:
        return refuse_quarantined(state, ctx)
    if ctx.is_trial:
        # What else runs there would be lost in a crash.
        candidates = [min(candidates, key=functools.partial(_count_running, state))]
    choice = _choose_instance(state, ctx, candidates, now)
    if ctx.sends == 0:
        check_wait = admission.check_wait if ctx.prompt else admission.check_call_wait
        refusal = check_wait(state, ctx, choice, now)
        if refusal is not None:
            return refusal
    take_permit(state, ctx, choice.instance, now)
    return choice


def _count_running(state, instance):
    load = state.loads.get(instance.id, state.clock())
    return load.active + load.remote_active


def _choose_instance(state, ctx, candidates, now):
    if ctx.prompt is None:
        domain = state.cfg.domain
        return choose_instance(candidates, state.loads, domain, now, state.rng)
    engine = ctx.catalog.services[ctx.service].engine
    max_queue_wait = _MAX_QUEUE_WAIT_RATIO * ctx.route.latency_target
    target = ctx.route.latency_target
    return choose_engine(
        ctx.prompt, candidates, state.loads, now, engine, max_queue_wait, target
    )


def _record_demand(state, ctx):
    if ctx.account is not None and ctx.prompt is not None:
        name, cost = ctx.account.name, ctx.prompt.cost
        state.shares.count_asked_tokens(name, cost, ctx.arrived)
        state.metrics.account_tokens.labels(name, "asked").inc(cost)
