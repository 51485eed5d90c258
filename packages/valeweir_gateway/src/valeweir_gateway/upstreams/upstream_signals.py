"""What upstreams say of themselves in the heads of their answers.

The heads of all final answers count, whatever becomes of the answer: rejections,
failures, streams whose end is still to come, answers to another request. Only
`MISDIRECTED` ones do not, since they come from another upstream at the address.
"""

from typing import NamedTuple

from .exchanges import MISDIRECTED

LEAVING_VALUE = "1"
# From where it may be known that an upstream leaves, besides its record.
SOURCES = ("answer", "peer")
_RETRY_AFTER = "retry-after"
_OVERLOAD_STATUSES = frozenset((429, 503))
# Characters of a header's value on a line of the log.
_MAX_LOGGED_VALUE_LENGTH = 40


class Signals(NamedTuple):
    """What a head says: ``backoff`` is in seconds, None where no pause is asked for.

    ``fault`` is the value of a ``Retry-After`` that cannot be followed, else None.
    """

    is_leaving: bool = False
    backoff: float | None = None
    fault: str | None = None


def read_signals(names, head):
    """Return the `Signals` in the `answers.Head` of a final answer."""
    if head.status == MISDIRECTED:
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
    """Return the seconds in a ``Retry-After``, fractions included, or None.

    Dates are not followed, as the wall clocks of hosts differ, and may jump.
    """
    whole, _, fraction = text.partition(".")
    digits = whole + fraction
    if not (whole and digits.isascii() and digits.isdigit()):
        return None
    return float(text)


def observe_head(state, ctx, instance, head):
    """Take in what the head of an answer says of its upstream."""
    state.loads.note_head(instance.id, state.clock())
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
    """Note that an upstream leaves, which its record may not say yet."""
    now = state.clock()
    noted = state.directory.get_noted(instance_id)
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
    """Note that an upstream wants nothing from this gateway for some seconds."""
    now = state.clock()
    is_new = state.backoffs.add(instance_id, seconds, now)
    state.metrics.backoffs.inc()
    if not is_new:
        return
    state.log.note(
        "upstream backoff", upstream=instance_id, seconds=round(seconds, 3), **inputs
    )


def end_backoffs(state):
    """Log the pauses that are over."""
    for instance_id in state.backoffs.take_ended(state.clock()):
        state.log.note("upstream backoff over", upstream=instance_id)
