"""Forwarding of event streams in units of whole events."""

from ..quarantine.part_answers import PROOF_S
from ..transport.events import EventSplitter, is_later
from ..transport.replies import ClientDisconnected
from ..transport.responses import Bound, Data, End
from .exchanges import Failure, Fault
from .response_ends import check_end, is_end_confirmed
from .stream_pace import StreamPace

# Part of the permitted delay of an event that is spent on coalescing writes; the rest
# is left for the network and for a busy processor.
_COALESCE_RATIO = 0.3
_EVENT_STREAM = "text/event-stream"


async def forward_stream(
    state, ctx, exchange, head, instance, work, on_begin, on_proof
):
    """Forward events as they arrive; return None at the end, or a `Failure`.

    ``on_begin`` is called before the first events are sent to the client, ``on_proof``
    once when the stream has gone on for long enough to clear the parts of its prompt.

    Only whole events are sent, so that a stream that breaks off can be resumed at
    another upstream within the same response. A pause follows each write, so that
    events which follow closely are read and written together: most of the CPU time is
    spent on wake-ups and calls rather than on bytes. Reading goes on while the client
    does not read, up to the bounds of `transport.write_buffers`.
    """
    splitter = EventSplitter(is_continuation=ctx.reply.started)
    work.pace = StreamPace()
    coalesce_s = state.cfg.streams.max_delay_ms / 1000.0 * _COALESCE_RATIO
    while True:
        item = await exchange.read()
        if not isinstance(item, Data):
            ctx.partial_bytes = splitter.partial_size
        if isinstance(item, Failure):
            return item
        if isinstance(item, End):
            failure = await check_end(state, ctx, instance, work)
            return failure or await _finish_stream(ctx, head, splitter)
        assert isinstance(item, Data)
        now = state.clock()
        state.loads.record_progress(work, now)
        if not work.is_proved and now - work.sent - work.first_data_s >= PROOF_S:
            work.is_proved = True
            on_proof()
        blocks = splitter.feed(item.data)
        while (next_data := exchange.read_ready()) is not None:
            blocks += splitter.feed(next_data.data)
        if blocks and not ctx.reply.started:
            on_begin()
        if blocks:
            work.pace.observe(len(blocks), state.clock())
        failure = await _forward_blocks(ctx, head, blocks)
        if failure is None and splitter.exceeds_bound:
            failure = exchange.exceed(Bound.EVENT)
        if failure is None:
            failure = await exchange.hold(splitter.size)
        if failure is not None:
            ctx.partial_bytes = splitter.partial_size
            return failure
        if blocks and not exchange.is_over:
            await state.sleep(coalesce_s)


def continues_stream(ctx, head):
    """Return whether a response may go on with a stream that has begun.

    A response without a content type is accepted, as some upstreams state none.
    """
    if head.status != 200:
        return False
    media_type = _get_media_type(head)
    return not media_type or media_type in (ctx.media_type, _EVENT_STREAM)


def _get_media_type(head):
    """Return the content type without its parameters, "" if there is none."""
    return head.headers.get("content-type", "").partition(";")[0].strip().lower()


async def _forward_blocks(ctx, head, blocks):
    new_blocks = [block for block in blocks if is_later(block.id, ctx.last_event_id)]
    if not new_blocks:
        return None
    try:
        _start_stream(ctx, head)
        await ctx.reply.write(b"".join(block.data for block in new_blocks))
    except ClientDisconnected:
        return Failure(Fault.GONE, "client disconnected")
    for block in new_blocks:
        ctx.last_event_id = block.id or ctx.last_event_id
        if block.is_event:
            ctx.is_position_known = bool(block.id)
    return None


async def _finish_stream(ctx, head, splitter):
    try:
        _start_stream(ctx, head)
        rest = splitter.take_rest()
        if rest:
            await ctx.reply.write(rest)
    except ClientDisconnected:
        return Failure(Fault.GONE, "client disconnected")
    ctx.reply.end(is_end_confirmed(ctx))
    return None


def _start_stream(ctx, head):
    if not ctx.reply.started:
        ctx.response_status = head.status
        ctx.media_type = _get_media_type(head)
        headers = list(head.headers.items())
        ctx.reply.start_stream(head.status, headers, ctx.id, ctx.deadline, head.framing)
