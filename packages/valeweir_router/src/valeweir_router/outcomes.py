"""Outcomes of requests: retries, responses to failures and their counts."""

from loguru import logger
from valeweir import metrics
from valeweir.models import Outcome, Refusal
from valeweir_callers.protocol import send_refusal
from valeweir_upstreams.exchanges import Fault

MAX_ATTEMPTS = 4
_NOT_SENT_FAULTS = (Fault.NOT_SENT, Fault.LAPSED)
_CALLER_FAULTS = (Fault.GONE, Fault.LATE)


def may_retry(state, admitted, failure, attempt):
    """Return whether to retry the request; if so, use up part of the retry budget."""
    if admitted.reply.started or attempt >= MAX_ATTEMPTS:
        return False
    if failure.fault in _CALLER_FAULTS:
        return False
    if failure.fault not in _NOT_SENT_FAULTS and not admitted.repeatable:
        return False
    with state.lock:
        return state.retry_budget.spend(admitted.ticket.account)


def make_refusal(admitted, failure):
    """Return the `Refusal` to send to the caller after a failed exchange."""
    is_not_sent = failure.fault in _NOT_SENT_FAULTS
    if is_not_sent:
        return Refusal(
            502,
            "upstream-unreachable",
            f"no upstream could be reached: {failure.text}",
            "retry after the time in Retry-After",
            retry_after=2,
        )
    status = 504 if failure.fault is Fault.LATE else 502
    advice = "retry" if admitted.repeatable else "check its outcome with the service"
    return Refusal(
        status,
        f"upstream-{failure.fault.value}",
        f"the request was sent but no complete response was received: {failure.text}",
        advice,
        outcome=Outcome.UNKNOWN,
    )


def refuse(admitted, refusal):
    """Send a refusal, unless part of a response has been sent already."""
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
    """Count a request by its outcome and, if refused, by the refusal's code."""
    metrics.requests.labels(pool, outcome.value).inc()
    if code:
        metrics.refusals.labels(code).inc()
