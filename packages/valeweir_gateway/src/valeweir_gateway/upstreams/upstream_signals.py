"""Signals of upstreams about their own state in the heads of their responses.

The heads of all final responses are evaluated, whatever becomes of the response:
rejections, failures, streams that have not ended yet, responses to another request.
Responses with the status `MISDIRECTED_STATUS` are skipped, as they are sent by a
different upstream at the address.
"""

from typing import NamedTuple

from .exchanges import MISDIRECTED_STATUS

LEAVING_VALUE = "1"
# Sources, besides its record, from which a gateway learns that an upstream is leaving.
LEAVING_SOURCES = ("answer", "peer")
_RETRY_AFTER = "retry-after"
_OVERLOAD_STATUSES = frozenset((429, 503))
# Header values are truncated to this many characters in the log.
_MAX_LOGGED_VALUE_LENGTH = 40


class Signals(NamedTuple):
    """The signals in a head.

    ``backoff`` is in seconds, None if no backoff is requested. ``fault`` is the value
    of a ``Retry-After`` that is invalid or unsupported, else None.
    """

    is_leaving: bool = False
    backoff: float | None = None
    fault: str | None = None


def read_signals(names, head):
    """Return the `Signals` in the `responses.Head` of a final response."""
    if head.status == MISDIRECTED_STATUS:
        return Signals()
    is_leaving = head.headers.get(names.leaving.lower()) == LEAVING_VALUE
    text = head.headers.get(_RETRY_AFTER)
    if text is None or head.status not in _OVERLOAD_STATUSES:
        return Signals(is_leaving)
    seconds = parse_retry_after(text)
    if seconds is None:
        return Signals(is_leaving, None, text[:_MAX_LOGGED_VALUE_LENGTH])
    return Signals(is_leaving, seconds or None)


def parse_retry_after(text):
    """Return the seconds in a ``Retry-After``, which may be fractional, or None.

    Dates are not supported, as the wall clocks of hosts differ and may jump.
    """
    whole, _, fraction = text.partition(".")
    digits = whole + fraction
    if not (whole and digits.isascii() and digits.isdigit()):
        return None
    return float(text)


def observe_head(state, ctx, instance, head):
    """Apply the signals in the head of an upstream's response."""
    state.loads.record_response_head(instance.id, state.clock())
    signals = read_signals(state.names, head)
    if signals.is_leaving:
        mark_upstream_leaving(
            state, instance.id, "answer", id=ctx.id, status=head.status
        )
    if signals.fault is not None:
        state.log.note(
            "retry-after ignored",
            failed=True,
            id=ctx.id,
            upstream=instance.id,
            status=head.status,
            value=signals.fault,
        )
    if signals.backoff is not None:
        add_backoff(state, instance.id, signals.backoff, id=ctx.id, status=head.status)


def mark_upstream_leaving(state, instance_id, source, **inputs):
    """Mark an upstream as leaving, even if its record does not show it yet."""
    now = state.clock()
    noted = state.directory.get_record_position(instance_id)
    if not state.directory.mark_leaving(instance_id, source):
        return
    state.connections.drop(instance_id)
    state.log.note(
        "upstream leaving",
        upstream=instance_id,
        source=source,
        record_offset=noted.offset if noted else None,
        record_known_s=round(now - noted.at, 3) if noted else None,
        **inputs,
    )


def add_backoff(state, instance_id, seconds, **inputs):
    """Start or extend the backoff that an upstream requests of this gateway."""
    now = state.clock()
    is_new = state.backoffs.add(instance_id, seconds, now)
    state.metrics.backoffs.inc()
    if not is_new:
        return
    state.log.note(
        "upstream backoff", upstream=instance_id, seconds=round(seconds, 3), **inputs
    )


def log_ended_backoffs(state):
    """Log the backoffs that have ended since the last call."""
    for instance_id in state.backoffs.take_ended(state.clock()):
        state.log.note("upstream backoff over", upstream=instance_id)
