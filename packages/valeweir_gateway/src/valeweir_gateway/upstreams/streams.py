"""Passing a stream of events on, whole event by whole event."""

from ..transport.events import EventSplitter, is_later
from ..transport.replies import ClientDisconnected
from ..transport.responses import Data, End
from .exchanges import Failure, Fault

# The rest of the time that an event may be held is for the network and for a
# processor that is busy.
_RESTING_RATIO = 0.3


async def forward_stream(state, ctx, exchange, head, work):
    """Pass events on as they come; return None when whole, or a `Failure`.

    Only whole events go out, so that a stream which breaks can be taken up
    again at another upstream inside the same answer. After each write the
    stream rests, so that what follows closely is read and written at once:
    most of the processor time goes into wake-ups and calls, not into bytes.
    """
    splitter = EventSplitter()
    rest = state.cfg.streams.max_delay_ms / 1000.0 * _RESTING_RATIO
    while True:
        item = await exchange.read()
        if isinstance(item, Failure):
            return item
        if isinstance(item, End):
            return await _end(ctx, head, splitter)
        assert isinstance(item, Data)
        state.loads.note_progress(work, state.clock())
        blocks = splitter.feed(item.data)
        while (more := exchange.read_ready()) is not None:
            blocks += splitter.feed(more.data)
        failure = await _pass_on(ctx, head, blocks)
        if failure is not None:
            return failure
        if blocks and not exchange.is_over:
            await state.sleep(rest)


async def _pass_on(ctx, head, blocks):
    later = [block for block in blocks if is_later(block.id, ctx.last_event_id)]
    if not later:
        return None
    try:
        _start(ctx, head)
        await ctx.reply.write(b"".join(block.data for block in later))
    except ClientDisconnected:
        return Failure(Fault.GONE, "the client left")
    for block in later:
        ctx.last_event_id = block.id or ctx.last_event_id
    return None


async def _end(ctx, head, splitter):
    try:
        _start(ctx, head)
        if splitter.has_partial_event:
            await ctx.reply.write(splitter.take_partial_event())
    except ClientDisconnected:
        return Failure(Fault.GONE, "the client left")
    ctx.reply.end()
    return None


def _start(ctx, head):
    if not ctx.reply.started:
        ctx.answered = head.status
        ctx.reply.start_stream(head.status, list(head.headers.items()))
