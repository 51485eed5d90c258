"""One exchange with an upstream: sending, forwarding the response, its cost."""

import time

from loguru import logger
from valeweir import metrics
from valeweir.models import CLASS_PRIORITY, OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from valeweir_callers.protocol import StreamMeter, parse_usage
from valeweir_upstreams.exchanges import (
    Call,
    Failure,
    Fault,
    Head,
    open_exchange,
    prepare_headers,
)

from . import scheduler

_SETTLE_EVENT_COUNT = 32
_MAX_RESPONSE_BYTES = 64 << 20
_RETRIED_STATUSES = frozenset((502, 503, 504))
_NEUTRAL_FAULTS = (Fault.GONE, Fault.LATE, Fault.LAPSED)


class CostProgress:
    """Cost of a model call, updated while its response arrives."""

    def __init__(self, state, admitted):
        sharing = state.cfg["sharing"]
        self._prompt_weight = sharing["prompt_weight"]
        self._output_weight = sharing["output_weight"]
        self._state = state
        self._ticket = admitted.ticket
        self._unsettled = 0
        self.cost = 0.0

    def count_events(self, count):
        """Count streamed events as one token each, until the usage is received."""
        self.cost += count * self._output_weight
        self._unsettled += count
        if self._unsettled >= _SETTLE_EVENT_COUNT:
            self._unsettled = 0
            with self._state.lock:
                scheduler.settle_progress(self._state, self._ticket, self.cost)

    def set_usage(self, usage):
        """Replace the cost by that of the engine's token counts."""
        if usage is not None:
            self.cost = (
                usage.prompt_tokens * self._prompt_weight
                + usage.completion_tokens * self._output_weight
            )


def exchange_once(state, connections, admitted, progress):
    """Send the request and forward the response; return None or a `Failure`."""
    ticket = admitted.ticket
    if not _is_lease_valid(state, ticket):
        return Failure(Fault.LAPSED, "the lease lapsed before the request was sent")
    address = ticket.placement.address
    exchange = open_exchange(connections, address, fresh=not admitted.repeatable)
    if isinstance(exchange, Failure):
        return exchange
    if not _is_lease_valid(state, ticket):
        exchange.close()
        return Failure(Fault.LAPSED, "the lease lapsed before the request was sent")
    call = _prepare_call(state, admitted)
    failure = exchange.send(call) or exchange.wait(call, admitted.reply.is_disconnected)
    if failure is not None:
        return failure
    head = exchange.read_head(call)
    if isinstance(head, Failure):
        return head
    if head.status in _RETRIED_STATUSES and admitted.repeatable:
        exchange.close()
        return Failure(Fault.AMBIGUOUS, f"upstream returned status {head.status}")
    if head.is_stream:
        return _forward_stream(admitted, exchange, head, progress)
    return _forward_unary(admitted, exchange, head, progress)


def _forward_unary(admitted, exchange, head, progress):
    body = exchange.read_body(_MAX_RESPONSE_BYTES)
    if isinstance(body, Failure):
        return body
    if admitted.demand.is_model:
        progress.set_usage(parse_usage(body))
    headers = _prepare_reply_headers(admitted, head)
    headers.append((OUTCOME_HEADER, Outcome.COMPLETE.value))
    try:
        admitted.reply.send(head.status, headers, body)
    except OSError:
        # The caller disconnected after the request was processed: no retry is needed.
        admitted.reply.close()
    return None


def _forward_stream(admitted, exchange, head, progress):
    """Forward events as they arrive; a retry is possible until the first one."""
    meter = StreamMeter()
    reply = admitted.reply
    for part in exchange.iter_body():
        if isinstance(part, Failure):
            return _abort_stream(reply, part)
        event_count = meter.feed(part)
        try:
            if not reply.started:
                reply.start_stream(head.status, _prepare_reply_headers(admitted, head))
            reply.write(part)
        except OSError:
            exchange.close()
            return Failure(Fault.GONE, "caller closed the connection")
        progress.count_events(event_count)
    if not meter.ended:
        return _abort_stream(
            reply, Failure(Fault.CUT, "stream ended without its end marker")
        )
    progress.set_usage(meter.usage)
    return None


def _abort_stream(reply, failure):
    if reply.started:
        reply.abort()
    return failure


def _is_lease_valid(state, ticket):
    with state.lock:
        return state.holder.is_valid(ticket.placement.upstream, state.clock())


def _prepare_call(state, admitted):
    ticket = admitted.ticket
    request = admitted.request
    priority = CLASS_PRIORITY[ticket.work_class]
    timeout_s = max(0.05, ticket.deadline - state.clock())
    return Call(
        ticket.id,
        request.method,
        admitted.demand.target,
        prepare_headers(request.headers, ticket.id, priority),
        request.body,
        time.monotonic() + timeout_s,
    )


def _prepare_reply_headers(admitted, head: Head):
    replaced_names = (
        REQUEST_ID_HEADER.lower(),
        OUTCOME_HEADER.lower(),
        "server",
        "date",
    )
    headers = [(n, v) for n, v in head.headers if n.lower() not in replaced_names]
    headers.append((REQUEST_ID_HEADER, admitted.ticket.id))
    return headers


def record_health(state, upstream, failure, admitted):
    """Update the health and the prefix hint of an upstream after an exchange."""
    if failure is None:
        if state.health.record_success(upstream):
            metrics.ejected.labels(upstream).set(0)
            logger.bind(upstream=upstream).info("upstream back")
        if admitted.ticket.prefix:
            state.hints.note(admitted.ticket.prefix, upstream, state.clock())
        return
    if failure.fault in _NEUTRAL_FAULTS:
        state.health.end_probe(upstream)
        return
    pause = state.health.record_error(upstream, state.clock())
    if pause is not None:
        metrics.ejected.labels(upstream).set(1)
        logger.bind(upstream=upstream, pause=round(pause, 2), why=failure.text).warning(
            "upstream set aside"
        )
