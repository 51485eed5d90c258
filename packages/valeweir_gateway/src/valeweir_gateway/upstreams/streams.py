"""Passing a stream of events on, whole event by whole event."""

from ..transport.answers import Data, End
from ..transport.events import EventSplitter, is_later
from ..transport.replies import ClientGone
from .exchanges import Failure, Fault

# The rest of the time that an event may be held is for the network and for a
# processor that is busy.
_RESTING_RATIO = 0.3


async def forward_stream(state, job, exchange, head, work):
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
            return await _end(job, head, splitter)
        assert isinstance(item, Data)
        state.loads.note_progress(work, state.clock())
        blocks = splitter.feed(item.data)
        while (more := exchange.read_ready()) is not None:
            blocks += splitter.feed(more.data)
        failure = await _pass_on(job, head, blocks)
        if failure is not None:
            return failure
        if blocks and not exchange.is_over:
            await state.pause(rest)


async def _pass_on(job, head, blocks):
    later = [block for block in blocks if is_later(block.id, job.last_event_id)]
    if not later:
        return None
    try:
        _start(job, head)
        await job.reply.write(b"".join(block.data for block in later))
    except ClientGone:
        return Failure(Fault.GONE, "the client left")
    for block in later:
        job.last_event_id = block.id or job.last_event_id
    return None


async def _end(job, head, splitter):
    try:
        _start(job, head)
        if splitter.has_rest:
            await job.reply.write(splitter.take_rest())
    except ClientGone:
        return Failure(Fault.GONE, "the client left")
    job.reply.end()
    return None


def _start(job, head):
    if not job.reply.started:
        job.answered = head.status
        job.reply.start_stream(head.status, list(head.headers.items()))
