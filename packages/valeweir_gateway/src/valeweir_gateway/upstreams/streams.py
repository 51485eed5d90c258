"""Passing a stream of events on, whole event by whole event."""

from ..transport.answers import Data, End
from ..transport.events import EventSplitter, is_later
from ..transport.replies import ClientGone
from .exchanges import Failure, Fault

# The rest of the time that an event may be held is for the network and for a
# processor that is busy.
_COALESCE_RATIO = 0.3


async def forward_stream(state, ctx, exchange, head, work):
    """Pass events on as they come; return None when whole, or a `Failure`.

    Only whole events go out, so that a stream which breaks can be taken up
    again at another upstream inside the same answer. After each write the
    stream rests, so that what follows closely is read and written at once:
    most of the processor time goes into wake-ups and calls, not into bytes.
    """
    splitter = EventSplitter()
    coalesce_s = state.cfg.streams.max_delay_ms / 1000.0 * _COALESCE_RATIO
    while True:
        item = await exchange.read()
        if isinstance(item, Failure):
            return item
        if isinstance(item, End):
            return await _finish_stream(ctx, head, splitter)
        assert isinstance(item, Data)
        state.loads.note_progress(work, state.clock())
        blocks = splitter.feed(item.data)
        while (next_data := exchange.read_ready()) is not None:
            blocks += splitter.feed(next_data.data)
        failure = await _forward_blocks(ctx, head, blocks)
        if failure is not None:
            return failure
        if blocks and not exchange.is_over:
            await state.pause(coalesce_s)


async def _forward_blocks(ctx, head, blocks):
    new_blocks = [block for block in blocks if is_later(block.id, ctx.last_event_id)]
    if not new_blocks:
        return None
    try:
        _start_stream(ctx, head)
        await ctx.reply.write(b"".join(block.data for block in new_blocks))
    except ClientGone:
        return Failure(Fault.GONE, "the client left")
    for block in new_blocks:
        ctx.last_event_id = block.id or ctx.last_event_id
    return None


async def _finish_stream(ctx, head, splitter):
    try:
        _start_stream(ctx, head)
        if splitter.has_rest:
            await ctx.reply.write(splitter.take_rest())
    except ClientGone:
        return Failure(Fault.GONE, "the client left")
    ctx.reply.end()
    return None


def _start_stream(ctx, head):
    if not ctx.reply.started:
        ctx.answered = head.status
        ctx.reply.start_stream(head.status, list(head.headers.items()))
