"""Whether a request may be retried, and the refusal sent to the client if not."""

from valeweir.models import Outcome

from ..quarantine.crash_attribution import get_part_fingerprints
from ..refusals import BUSY_RETRY_AFTER_S, Refusal
from ..upstreams.exchanges import MISDIRECTED_STATUS, Fault

NOT_RUN_FAULTS = frozenset((Fault.NOT_SENT, Fault.REJECTED))


def claim_retry(state, ctx, failure):
    """Return whether the request may be sent again, and spend retry budget for it."""
    if failure.fault in (Fault.GONE, Fault.LATE):
        return False
    if ctx.reply.started and not _may_resume(ctx):
        return False
    not_run = failure.fault is Fault.REJECTED
    if not not_run and not ctx.route.repeatable:
        return False
    misdirected = not_run and failure.status == MISDIRECTED_STATUS
    if ctx.sends >= ctx.route.max_attempts and not misdirected:
        return False
    if ctx.sends > ctx.route.max_attempts:
        return False
    if ctx.is_trial or _has_crashed_several_upstreams(state, ctx):
        return False
    return state.retries.spend(ctx.service, state.clock())


def _has_crashed_several_upstreams(state, ctx):
    """Return whether more than one upstream crashed while it ran this request.

    The same holds for a part of its prompt that was not answered before. An automatic
    retry could crash a third. The few requests that merely ran beside both crashes get
    an error, and their clients may retry them.
    """
    if not state.suspects:
        return False
    fingerprints = (ctx.fingerprint, *get_part_fingerprints(ctx))
    counts = map(state.suspects.get_crash_count, fingerprints)
    return any(row.upstreams > 1 and not row.was_answered for row in counts)


def downgrade_if_ambiguous(ctx, refusal):
    """Return the refusal, or one of unknown outcome if the request may have run."""
    if ctx.may_have_run:
        return Refusal(502, refusal.code, Outcome.UNKNOWN)
    return refusal


def _may_resume(ctx):
    """Return whether a broken stream may continue within the same response."""
    is_resumable = ctx.route.resumable and ctx.is_position_known
    return is_resumable and bool(ctx.last_event_id)


def make_deadline_refusal(ctx):
    """Return the `Refusal` of a request whose deadline passes between sends."""
    if not ctx.may_have_run:
        return Refusal(503, "deadline", retry_after=BUSY_RETRY_AFTER_S)
    return Refusal(504, "deadline", Outcome.UNKNOWN)


def make_failure_refusal(state, ctx, failure):
    """Return the `Refusal` after a failed send, with the outcome of the request."""
    if failure.fault is Fault.GONE:
        return Refusal(499, "client-gone", Outcome.UNKNOWN)
    if ctx.reply.started:
        return Refusal(502, "stream-broken", Outcome.UNKNOWN)
    if failure.fault is Fault.LATE:
        return Refusal(504, "deadline", Outcome.UNKNOWN)
    if not ctx.may_have_run:
        return Refusal(503, failure.fault.value, retry_after=BUSY_RETRY_AFTER_S)
    return Refusal(502, failure.fault.value, Outcome.UNKNOWN)
