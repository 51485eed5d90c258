"""Whether a response that has ended is complete.

A length or the last chunk confirms the end of a body, and an empty line that of an
event. Without any of them, an upstream that exits closes its connections just as one
that has finished.
"""

from ..transport.framing import Framing
from .exchanges import Failure, Fault


async def check_end(state, ctx, instance, work):
    """Return None if the response may be complete, or the `Failure` of a broken one.

    The end of a response that only the close of its connection marks is checked against
    the state of its upstream: one that has exited before it could end as planned has
    broken the response off.
    """
    if ctx.partial_bytes:
        # The framing may have ended well and the connection been kept.
        state.connections.drop(instance.id)
        return _fail("the stream ended inside an event")
    if is_end_confirmed(ctx):
        return None
    state.upstream_exits.record_end(instance.id, work)
    if not await state.upstream_exits.has_exited(instance, work.sent):
        return None
    if await _may_be_complete(state, ctx, instance, work):
        return None
    return _fail("the upstream exited at the end of a response without a length")


def is_end_confirmed(ctx):
    """Return whether the framing of the last response stated its end."""
    return ctx.framing is not Framing.CLOSE


def has_survived(state, ctx, instance):
    """Return whether an upstream is known to have survived an answered request."""
    return is_end_confirmed(ctx) or state.directory.is_ready(instance.id)


async def _may_be_complete(state, ctx, instance, work):
    """Return whether an upstream may have exited after the last byte of a response.

    An exit as planned waits for responses and so follows the last of them only. A
    resumable stream is resumed all the same, which adds nothing if it is complete.
    """
    if ctx.route.resumable or not _may_have_ended_as_planned(state, instance):
        return False
    return not await state.upstream_exits.ended_with_others(instance.id, work)


def _may_have_ended_as_planned(state, instance):
    """Return whether the exit of an upstream may be a planned one.

    An upstream that leaves first records it, and then serves on for as long as others
    may take to learn of it.
    """
    known = state.directory.by_id.get(instance.id)
    if known is None:
        return True
    if known.ready:
        return False
    position = state.directory.get_record_position(instance.id)
    left_s = state.clock() - position.at
    return left_s >= state.cfg.upstreams.leave_within_ms / 1000.0


def _fail(text):
    return Failure(Fault.AMBIGUOUS, text, broke_off=True)
