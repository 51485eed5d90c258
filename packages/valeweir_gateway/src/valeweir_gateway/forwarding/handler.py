"""The way of one request: checks, place, send, answer."""

from valeweir.models import Outcome

from ..admission import policy as admission
from ..placement.candidates import (
    find_candidates,
    find_return,
    has_alternative,
    take_permit,
)
from ..placement.choice import choose_engine, choose_instance
from ..quarantine.crash_attribution import check_quarantine, is_held, refuse_held
from ..refusals import Refusal, send_refusal
from ..transport.replies import ClientGone
from ..upstreams.exchanges import Fault
from .attempts import attempt
from .checking import check
from .jobs import Job
from .pause_recovery import wait_for_view
from .recording import note_refusal
from .repeating import UNRUN, downgrade_if_ambiguous, explain, explain_late, may_repeat

_MIN_LEFT = 0.02
_MAX_CONNECTS = 3
# Part of the goal that a request may wait for others at an engine before more
# engines are looked at.
_PATIENCE_RATIO = 0.15


def create_handler(state):
    """Return the function that serves clients' requests."""

    async def handle(request, reply):
        if state.stopping or state.overload.is_out:
            # A connection stays with its gateway; a new one goes to another, as the
            # balancer sends none here now.
            reply.close()
        state.enter()
        try:
            arrived = state.clock()
            await wait_for_view(state)
            await _handle(state, request, reply, arrived)
            # A planned stop waits for what clients have not read yet.
            await reply.flush()
        except ClientGone:
            # What was under way for it has been noted where it was seen.
            pass
        except Exception as exc:
            # One request's fault must neither end a connection nor go unanswered.
            _fail(state, request, reply, exc)
        finally:
            state.leave()

    return handle


async def _handle(state, request, reply, arrived):
    job = Job(request, reply, state.catalog, arrived)
    job.id = request.headers.get(state.names.request_id, "")
    refusal = check(state, job)
    if refusal is None:
        refusal = await check_quarantine(state, job)
    if refusal is None:
        refusal = await _admit(state, job)
    if refusal is None:
        refusal = await _serve(state, job)
    if refusal is not None:
        _refuse(state, job, refusal)


async def _admit(state, job):
    """Wait for the request's turn; return a `Refusal` or None."""
    _note_asked(state, job)
    # Its share goes first: who is told to come back elsewhere at once would only
    # flood the next gateway.
    refusal = admission.decide_by_share(state, job, job.arrived)
    if refusal is not None:
        return refusal
    refusal = admission.decide_by_pressure(state, job, job.arrived)
    if refusal is not None:
        # Its next request may go elsewhere too.
        job.reply.close()
        return refusal
    await state.intake.enter()
    if job.reply.is_gone:
        # It has waited too long; work on it would be for nobody.
        state.overload.note_left(state.clock())
        return Refusal(499, "client-gone-unread")
    return None


def _fail(state, request, reply, exc):
    request_id = request.headers.get(state.names.request_id, "")
    state.log.note("request failed", failed=True, id=request_id, why=repr(exc))
    if reply.started:
        reply.cut()
        return
    refusal = Refusal(502, "internal", Outcome.UNKNOWN)
    send_refusal(reply, refusal, request_id, state.names.request_id)


def _refuse(state, job, refusal):
    note_refusal(state, job, refusal)
    if job.reply.started:
        job.reply.cut()
        return
    if refusal.status == 499:
        job.reply.drop()
        return
    send_refusal(job.reply, refusal, job.id, state.names.request_id)


async def _serve(state, job):
    """Send the request until it is answered; return a `Refusal` or None."""
    connects = 0
    while True:
        now = state.clock()
        if job.deadline - now < _MIN_LEFT:
            return explain_late(job)
        choice = _place(state, job, now)
        if isinstance(choice, Refusal):
            return downgrade_if_ambiguous(job, choice)
        failure = await attempt(state, job, choice)
        if failure is None:
            return None
        job.excluded.add(choice.instance.id)
        if failure.fault not in UNRUN:
            job.may_have_run = True
        if failure.fault is Fault.NOT_SENT:
            connects += 1
            if connects < _MAX_CONNECTS:
                continue
            return _explain(state, job, failure)
        # First, as a repeat that nobody takes must not use up the budget.
        is_sent_on = has_alternative(state, job, state.clock())
        if not is_sent_on or not may_repeat(state, job, failure):
            return _explain(state, job, failure)


def _explain(state, job, failure):
    """Return the `Refusal` after a failed send, with a true time to come back."""
    refusal = explain(state, job, failure)
    if refusal.retry_after is None:
        return refusal
    wait = find_return(state, job, state.clock())
    return refusal if wait is None else refusal._replace(retry_after=wait)


def _place(state, job, now):
    """Return the `Choice` for the next send, or a `Refusal`."""
    if is_held(state, job):
        return refuse_held(state, job)
    rows = find_candidates(state, job, now)
    if isinstance(rows, Refusal):
        return rows
    choice = _choose(state, job, rows, now)
    if job.sends == 0:
        decide = admission.decide if job.prompt else admission.decide_call
        refusal = decide(state, job, choice, now)
        if refusal is not None:
            return refusal
    take_permit(state, job, choice.instance, now)
    return choice


def _choose(state, job, rows, now):
    if job.prompt is None:
        zone = state.cfg.domain
        return choose_instance(rows, state.loads, zone, now, state.rng)
    engine = job.catalog.services[job.service].engine
    patience = _PATIENCE_RATIO * job.route.goal
    target = job.route.goal
    return choose_engine(job.prompt, rows, state.loads, now, engine, patience, target)


def _note_asked(state, job):
    if job.account is not None and job.prompt is not None:
        name, cost = job.account.name, job.prompt.cost
        state.shares.note_asked(name, cost, job.arrived)
        state.metrics.account_tokens.labels(name, "asked").inc(cost)
