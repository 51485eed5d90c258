"""Refusals: error responses that the gateway itself sends."""

from typing import NamedTuple

from valeweir.models import OUTCOME_HEADER, Outcome

# Retry-After of requests that no upstream can serve at present.
BUSY_RETRY_AFTER_S = 0.4
# Limits Retry-After to this part of the time left until the request's deadline.
_MAX_RETRY_AFTER_RATIO = 1 / 3


class Refusal(NamedTuple):
    """An error response that the gateway sends instead of a response of an upstream.

    ``retry_after`` is in seconds, None to omit the header; ``inputs`` are the values
    behind the decision, for the log.
    """

    status: int
    code: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    inputs: dict | None = None


def limit_retry_after(ctx, seconds, now):
    """Return a Retry-After that leaves enough time to serve the retry."""
    return min(seconds, (ctx.deadline - now) * _MAX_RETRY_AFTER_RATIO)


def send_refusal(reply, refusal, request_id, id_header):
    """Send a refusal as the response."""
    headers = [(OUTCOME_HEADER, refusal.outcome.value)]
    if request_id:
        headers.append((id_header, request_id))
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
    reply.send_json(refusal.status, {"error": refusal.code}, headers)
