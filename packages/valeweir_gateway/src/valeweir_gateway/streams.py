"""Passing a stream of events on, whole event by whole event."""

from .events import EventSplitter, is_later
from .exchanges import Data, End, Failure, Fault


def forward_stream(state, job, exchange, head, work):
    """Pass events on as they come; return None when whole, or a `Failure`.

    Only whole events go out, so that a stream which breaks can be taken up
    again at another upstream inside the same answer.
    """
    splitter = EventSplitter()
    while True:
        item = exchange.read()
        if isinstance(item, Failure):
            return item
        if isinstance(item, End):
            return _end(state, job, head, splitter)
        assert isinstance(item, Data)
        state.loads.note_progress(work, state.clock())
        failure = _pass_on(state, job, head, splitter.feed(item.data))
        if failure is not None:
            return failure


def _pass_on(state, job, head, blocks):
    later = [block for block in blocks if is_later(block.id, job.last_event_id)]
    if not later:
        return None
    try:
        _start(job, head)
        job.reply.write(b"".join(block.data for block in later))
    except OSError:
        return Failure(Fault.GONE, "the client left")
    for block in later:
        job.last_event_id = block.id or job.last_event_id
    return None


def _end(state, job, head, splitter):
    try:
        _start(job, head)
        if splitter.has_rest:
            job.reply.write(splitter.take_rest())
    except OSError:
        return Failure(Fault.GONE, "the client left")
    return None


def _start(job, head):
    if not job.reply.started:
        job.answered = head.status
        job.reply.start_stream(head.status, list(head.headers.items()))
