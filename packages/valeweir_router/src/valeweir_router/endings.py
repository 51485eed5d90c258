"""Whether a failed request goes out again, and what its caller is told."""

from loguru import logger
from valeweir import metrics
from valeweir.models import Outcome, Refusal
from valeweir_callers.demands import send_refusal
from valeweir_upstreams.exchanges import Fault

MAX_ATTEMPTS = 4
_UNSENT = (Fault.NOT_SENT, Fault.LAPSED)
_CALLERS_DOING = (Fault.GONE, Fault.LATE)


def may_retry(state, served, failure, attempt):
    """Return whether the request goes out once more, and take its repeat."""
    if served.reply.started or attempt >= MAX_ATTEMPTS:
        return False
    if failure.fault in _CALLERS_DOING:
        return False
    if failure.fault not in _UNSENT and not served.repeatable:
        return False
    with state.lock:
        return state.retries.spend(served.ticket.account)


def explain(served, failure):
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


def end(served, refusal):
    """Answer a request that was not served, unless its answer has begun."""
    pool = served.ticket.pool
    note_end(pool, refusal.outcome, refusal.code)
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


def note_end(pool, outcome, code):
    """Count how a request ended."""
    metrics.requests.labels(pool, outcome.value).inc()
    if code:
        metrics.refusals.labels(code).inc()
