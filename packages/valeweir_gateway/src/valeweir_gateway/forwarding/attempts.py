"""One send of a request to one upstream instance, and the handling of its response."""

from ..digests import get_digest
from ..placement.candidates import find_obstacle, has_alternative
from ..quarantine.crash_attribution import (
    drop_quarantined,
    get_part_fingerprints,
    on_connection_broken,
    on_parts_answered,
    on_request_answered,
)
from ..quarantine.part_answers import Answer
from ..transport.body_memory import SMALL_BODY_BYTES
from ..transport.replies import ClientDisconnected
from ..transport.responses import Head
from ..upstreams import streams
from ..upstreams.connections import MAX_IDLE_S, connect
from ..upstreams.exchanges import (
    MISDIRECTED_STATUS,
    Call,
    Exchange,
    Failure,
    Fault,
    prepare_headers,
)
from ..upstreams.response_ends import check_end, has_survived, is_end_confirmed
from ..upstreams.upstream_signals import observe_head
from ..view.catalog import RouteKind
from .pause_recovery import is_view_stale, wait_for_view
from .request_checks import RESPONSE_MARGIN_S
from .request_records import record_failure, record_result, record_view_at_send
from .stream_resumption import record_stream_begin

_MAX_UNREPEATABLE_IDLE_S = 1.0
# Time for which a client may pause reading a response that is ready at its deadline.
_MIN_READ_TIME_S = 1.5
# Statuses that imply that the request was not run; trusted only with a signature.
_SIGNED_STATUSES = frozenset((408, 421, 429, 503))
_MIN_SERVER_ERROR_STATUS = 500
_TIMEOUT_FAULTS = frozenset((Fault.LATE, Fault.SLOW))


async def attempt(state, ctx, choice):
    """Send the request once; return None if it was answered, else the `Failure`."""
    instance = choice.instance
    # The instance may have been chosen before a pause of the process.
    await wait_for_view(state)
    sock = await _get_socket(state, ctx, instance)
    if isinstance(sock, Failure):
        record_failure(state, ctx, choice, sock)
        return sock
    now = state.clock()
    obstacle = _find_obstacle(state, ctx, instance, now)
    if obstacle is not None:
        sock.close()
        state.metrics.sends_withheld.labels(obstacle).inc()
        return Failure(
            Fault.NOT_SENT, f"request withheld from the instance: {obstacle}"
        )
    exchange = Exchange(
        sock,
        ctx.reply,
        lambda idle_sock, lifetime: state.connections.keep(
            instance.id, idle_sock, lifetime
        ),
        state.names.request_id,
        lambda head: observe_head(state, ctx, instance, head),
        state.read_limits,
    )
    if ctx.sends == 0:
        ctx.first_sent = now
        _record_first_send(state, ctx, now)
    ctx.sends += 1
    ctx.is_from_start = ctx.last_event_id is None and not ctx.reply.started
    record_view_at_send(state, ctx, instance.id, now)
    body_bytes = len(ctx.request.body)
    work = state.loads.start(instance.id, choice.tokens, now, body_bytes)
    if ctx.prompt is not None:
        _record_prompt_parts(state, ctx, choice, now)
    try:
        failure = await _exchange(state, ctx, choice, exchange, work)
    finally:
        exchange.close()
        state.loads.finish(work, state.clock())
    record_result(state, ctx, choice, failure, work)
    if (
        failure is not None
        and failure.fault in _TIMEOUT_FAULTS
        and not exchange.has_received_bytes
    ):
        # The connection may have gone silent, and the idle ones to this instance as
        # well. Each of them would cost another request its whole time limit, while a
        # new connection costs a round trip.
        state.connections.drop(instance.id)
    if failure is None:
        if has_survived(state, ctx, instance):
            on_request_answered(state, ctx)
        _record_answer(state, ctx, instance, work)
    elif failure.broke_off:
        state.upstream_exits.record_end(instance.id, work)
        # Before the next send, as this request may have crashed the upstream.
        await on_connection_broken(state, ctx, instance, work.sent, work.is_proved)
    return failure


def _record_answer(state, ctx, instance, work):
    """Record that an instance has answered the parts of a prompt, or seems to have."""
    if not ctx.shared_parts or not ctx.is_from_start or ctx.response_status >= 300:
        return
    began = _get_begin(work)
    fingerprints = get_part_fingerprints(ctx)
    if is_end_confirmed(ctx):
        on_parts_answered(state, fingerprints, instance, began)
        return
    answer = Answer(get_digest(instance.version), began)
    state.pending_answers.add(instance, fingerprints, answer, state.clock())


def _record_proof(state, ctx, instance, work):
    """Record that the response to a prompt has gone on for a while."""
    if ctx.shared_parts and ctx.is_from_start:
        fingerprints = get_part_fingerprints(ctx)
        on_parts_answered(state, fingerprints, instance, _get_begin(work))


def _get_begin(work):
    """Return when the response began, or a time before that if it is not known."""
    return work.sent + (work.first_data_s or 0.0) if work.pace else work.sent


def _find_obstacle(state, ctx, instance, now):
    """Return why the request may not be sent now, or None.

    Conditions may have changed while it waited for the view and the connection.
    """
    if not drop_quarantined(state, ctx, [instance]):
        return "quarantined"
    if is_view_stale(state, now):
        return "view-old"
    return find_obstacle(state, ctx, instance, now)


def _record_first_send(state, ctx, now):
    state.retries.record_request(ctx.service, now)
    if ctx.account is not None and ctx.prompt is not None:
        name, cost = ctx.account.name, ctx.prompt.cost
        state.shares.count_begun_tokens(name, cost, now)
        state.metrics.account_tokens.labels(name, "begun").inc(cost)


def _record_prompt_parts(state, ctx, choice, now):
    shared = ctx.prompt.shared
    instance_id = choice.instance.id
    is_cached = state.loads.is_cached
    state.reads.add(
        instance_id,
        [part for part in shared if not is_cached(part.id, instance_id, now)],
    )
    state.loads.record_parts(shared, instance_id, now)


async def _get_socket(state, ctx, instance):
    repeatable = ctx.route.repeatable
    max_idle = MAX_IDLE_S if repeatable else _MAX_UNREPEATABLE_IDLE_S
    sock = state.connections.take(instance.id, max_idle)
    if sock is not None:
        return sock
    try:
        return await connect(instance.address, ctx.reply)
    except OSError as exc:
        fault = Fault.GONE if ctx.reply.is_disconnected else Fault.NOT_SENT
        refused = isinstance(exc, ConnectionRefusedError)
        return Failure(fault, f"connection failed: {exc}", refused=refused)


async def _exchange(state, ctx, choice, exchange, work):
    failure = await exchange.send(_prepare_call(state, ctx, choice))
    if failure is not None:
        return failure
    ctx.last_byte_sent_at = state.clock()
    head = await exchange.read(_get_attempt_deadline(state, ctx))
    if isinstance(head, Failure):
        return head
    state.loads.release_body(work)
    if not isinstance(head, Head):
        return Failure(Fault.AMBIGUOUS, "response without a head")
    ctx.framing = head.framing
    if state.names.not_run.lower() in head.headers or head.status == MISDIRECTED_STATUS:
        return await _read_rejection(exchange, head)
    signed = state.names.signature.lower() in head.headers
    if head.status < 300 and not signed:
        return Failure(Fault.AMBIGUOUS, "unsigned success status", head.status)
    if head.status in _SIGNED_STATUSES and not signed:
        return Failure(Fault.AMBIGUOUS, "unsigned not-run status", head.status)
    if ctx.reply.started and not streams.continues_stream(ctx, head):
        # Only events may follow within a response that has begun.
        return Failure(
            Fault.AMBIGUOUS, "the response does not continue the stream", head.status
        )
    if ctx.route.kind is RouteKind.STREAM and head.status == 200:
        instance = choice.instance
        return await streams.forward_stream(
            state,
            ctx,
            exchange,
            head,
            instance,
            work,
            on_begin=lambda: record_stream_begin(state, ctx, instance),
            on_proof=lambda: _record_proof(state, ctx, instance, work),
        )
    body = await exchange.read_body()
    if isinstance(body, Failure):
        return body
    # The check may wait, which is no time of the upstream.
    ended = state.clock()
    failure = await check_end(state, ctx, choice.instance, work)
    if failure is not None:
        return failure
    _observe_response(state, choice, work, ended)
    is_retry_useful = _is_retry_useful(state, ctx, choice.instance)
    if head.status >= _MIN_SERVER_ERROR_STATUS and is_retry_useful:
        return Failure(Fault.AMBIGUOUS, "server error", head.status)
    return await _send_response(ctx, head, body, state.clock())


def _observe_response(state, choice, work, ended):
    state.loads.record_progress(work, ended)
    if work.tokens == 0:
        state.loads.record_call_time(work, choice.instance.slots, ended - work.sent)


async def _read_rejection(exchange, head):
    # The connection can only be reused once the whole response is read.
    if await exchange.discard_body() is not None:
        exchange.close()
    return Failure(Fault.REJECTED, f"rejected with status {head.status}", head.status)


def _is_retry_useful(state, ctx, instance):
    """Return whether a failed safe request should be sent to another upstream."""
    if ctx.route.kind is not RouteKind.SAFE or ctx.sends >= ctx.route.max_attempts:
        return False
    if ctx.deadline - state.clock() < ctx.route.latency_target / 4:
        return False
    return has_alternative(state, ctx, state.clock(), other_than=instance)


def _get_attempt_deadline(state, ctx):
    """Return when to try another upstream, or None if no other attempt is allowed."""
    if ctx.route.kind is not RouteKind.SAFE or ctx.sends >= ctx.route.max_attempts:
        return None
    now = state.clock()
    return now + min(ctx.route.latency_target, (ctx.deadline - now) / 2)


def _prepare_call(state, ctx, choice):
    names = state.names
    request = ctx.request
    remaining = ctx.deadline + RESPONSE_MARGIN_S - state.clock()
    added = [
        (names.deadline, str(max(1, int(remaining * 1000)))),
        (names.expected_instance, choice.instance.announced_id),
        (names.account, ctx.account.name if ctx.account else None),
        (names.fetch_from, choice.source.address if choice.source else None),
    ]
    dropped = state.replaced_headers
    if ctx.last_event_id is not None:
        dropped = dropped | {names.last_event_id.lower()}
        added.append((names.last_event_id, ctx.last_event_id))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        added.append(("Content-Length", str(len(request.body))))
    headers = prepare_headers(request.headers, dropped, added)
    return Call(
        ctx.id, request.method, request.target, headers, request.body, ctx.deadline
    )


async def _send_response(ctx, head, body, now):
    """Send a complete response; return None or a `Failure`."""
    ctx.response_status = head.status
    headers = head.headers.items()
    # A response that is ready late is delivered all the same.
    ctx.reply.allow_pauses(ctx.id, max(ctx.deadline, now + _MIN_READ_TIME_S))
    if body.size <= SMALL_BODY_BYTES:
        ctx.reply.send(head.status, headers, body.join(), head.framing)
        return None
    try:
        ctx.reply.start_body(head.status, headers, body.size, head.framing)
        for part in body.take_parts():
            await ctx.reply.write(part)
    except ClientDisconnected:
        return Failure(Fault.GONE, "client disconnected")
    ctx.reply.end()
    return None
