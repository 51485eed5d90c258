"""Whether a failed request goes out again, and what its caller is told."""

from loguru import logger
from valeweir import metrics
from valeweir.models import Outcome, Refusal
from valeweir_callers.demands import send_refusal
from valeweir_upstreams.exchanges import Fault

MAX_ATTEMPTS = 4
_NOT_SENT_FAULTS = (Fault.NOT_SENT, Fault.LAPSED)
_CALLER_FAULTS = (Fault.GONE, Fault.LATE)


def may_retry(state, admitted, failure, attempt):
    """Return whether the request goes out once more, and take its repeat."""
    if admitted.reply.started or attempt >= MAX_ATTEMPTS:
        return False
    if failure.fault in _CALLER_FAULTS:
        return False
    if failure.fault not in _NOT_SENT_FAULTS and not admitted.repeatable:
        return False
    with state.lock:
        return state.retry_budget.spend(admitted.ticket.account)


def make_refusal(admitted, failure):
    """Return the `Refusal` that tells the caller what became of its request."""
    not_run = failure.fault in _NOT_SENT_FAULTS
    if not_run:
        return Refusal(
            502,
            "upstream-unreachable",
            f"no upstream could be reached: {failure.text}",
            "come back after the time in Retry-After",
            retry_after=2,
        )
    status = 504 if failure.fault is Fault.LATE else 502
    advice = "send it again" if admitted.repeatable else "ask the service what it did"
    return Refusal(
        status,
        f"upstream-{failure.fault.value}",
        f"the request was sent but no whole answer came: {failure.text}",
        advice,
        outcome=Outcome.UNKNOWN,
    )


def refuse(admitted, refusal):
    """Answer a request that was not served, unless its answer has begun."""
    pool = admitted.ticket.pool
    count_outcome(pool, refusal.outcome, refusal.code)
    logger.bind(
        request=admitted.ticket.id,
        account=admitted.ticket.account,
        outcome=refusal.outcome.value,
        code=refusal.code,
    ).info("not served")
    if admitted.reply.started:
        return
    try:
        send_refusal(admitted.reply, refusal, admitted.ticket.id)
    except OSError:
        admitted.reply.close()


def count_outcome(pool, outcome, code):
    """Count how a request ended."""
    metrics.requests.labels(pool, outcome.value).inc()
    if code:
        metrics.refusals.labels(code).inc()
