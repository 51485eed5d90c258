"""Answers that the gateway itself gives."""

from typing import NamedTuple

from valeweir.models import OUTCOME_HEADER, Outcome

# Seconds until a client may come back to upstreams that are busy.
BUSY_RETRY = 0.4
# The most of a request's time that its client may be told to wait.
_MAX_RETRY_AFTER_RATIO = 1 / 3


class Refusal(NamedTuple):
    """An answer of our own.

    ``retry_after`` is in seconds, None to leave it out; ``inputs`` are what
    decided, for the log.
    """

    status: int
    code: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    inputs: dict | None = None


def limit_retry(ctx, seconds, now):
    """Return a time to come back that leaves the client time to be served."""
    return min(seconds, (ctx.deadline - now) * _MAX_RETRY_AFTER_RATIO)


def send_refusal(reply, refusal, request_id, id_header):
    """Answer with a refusal."""
    headers = [(OUTCOME_HEADER, refusal.outcome.value)]
    if request_id:
        headers.append((id_header, request_id))
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
    reply.send_json(refusal.status, {"error": refusal.code}, headers)
