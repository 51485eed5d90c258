"""Metrics and log lines of requests, and health observations of their upstreams."""

from ..admission.shares import describe_share_status
from ..quarantine.fingerprints import format_fingerprint
from ..upstreams.exchanges import MISDIRECTED_STATUS, Fault
from ..view.view_age import count_outdated_request
from ..view_source import (
    describe_catalog,
    describe_upstream,
    describe_view,
    get_client_limits,
    get_version,
)

# Statuses that deny a client's request; wrong if the configuration is outdated.
_DENIAL_STATUSES = frozenset((401, 403, 404))
# Refusal instead of a denial that may be wrong.
OUTDATED_CODE = "configuration-old"
# Limits texts of clients in log lines, as clients may send anything.
_MAX_ASKED_CHARS = 80
_MAX_LOGGED_PARTS = 8


def record_refusal(state, ctx, refusal):
    """Count and log a refusal by this gateway."""
    state.metrics.refused.labels(refusal.code).inc()
    is_outdated = refusal.code == OUTDATED_CODE
    denied = is_outdated or refusal.status in _DENIAL_STATUSES
    if is_outdated:
        count_outdated_request(state, "denied", state.clock())
    request = ctx.request
    fields = _describe_denial(state, request.target, request.headers) if denied else {}
    state.log.note(
        "request refused",
        failed=True,
        denied=denied,
        id=ctx.id,
        status=refusal.status,
        why=refusal.code,
        route=ctx.route.name if ctx.route else None,
        account=ctx.account.name if ctx.account else None,
        version=ctx.catalog.version if ctx.catalog else None,
        sends=ctx.sends,
        first_sent_ms=_get_first_sent_ms(ctx),
        held_ms=to_milliseconds(state.clock() - ctx.arrived),
        retry_after=refusal.retry_after,
        **_describe_resumption(state, ctx),
        **(refusal.inputs or {}),
        **fields,
    )


def record_bad_request(state, exc, status):
    """Log a request that could not be parsed or exceeded a limit, with the limits.

    ``status`` is that of the response, which may differ from that of the `BadRequest`.
    """
    limits = get_client_limits(state)
    state.log.note(
        "request malformed",
        failed=True,
        denied=True,
        id=_truncate(exc.headers.get(state.names.request_id)),
        status=status,
        instead_of=None if status == exc.status else exc.status,
        why=exc.text,
        body_bytes=_truncate(exc.headers.get("Content-Length")),
        max_body_bytes=limits.body_bytes,
        max_head_bytes=limits.header_bytes,
        version=get_version(state),
        **_describe_denial(state, exc.target, exc.headers),
    )


def _describe_denial(state, target, headers):
    """Return log fields of what was denied, and by which configuration."""
    return {
        "asked_host": _truncate(headers.get("Host", "")),
        "asked_path": _get_prefix(target.partition("?")[0]),
        **describe_catalog(state, state.clock()),
    }


def _get_prefix(path):
    """Return the path up to its last slash, the part that routes match."""
    return _truncate(path[: path.rfind("/") + 1])


def _truncate(text):
    """Return a text of a client with at most `_MAX_ASKED_CHARS` characters, or None."""
    return None if text is None else text[:_MAX_ASKED_CHARS]


def record_result(state, ctx, choice, failure, work):
    """Record the end of a send: health of the upstream, metrics and a log line."""
    now = state.clock()
    if failure is not None:
        record_failure(state, ctx, choice, failure, work)
        return
    kind = ctx.route.kind.value
    state.metrics.served.labels(kind, ctx.response_status).inc()
    state.metrics.request_seconds.labels(kind).observe(now - ctx.arrived)
    if work.first_data_s is not None and ctx.prompt is not None:
        state.metrics.first_event_seconds.observe(work.first_data_s)
        state.metrics.expected_first_event_seconds.observe(choice.wait)
    if work.pace is not None:
        state.metrics.event_gap_seconds.observe(work.pace.longest_gap)
    _count_end(state, ctx, "whole")
    state.domains.record_success(choice.instance.domain)
    if state.loads.record_success(choice.instance.id, now):
        state.log.note("upstream back", upstream=choice.instance.id)
    state.log.note(
        "request served",
        routine=True,
        id=ctx.id,
        status=ctx.response_status,
        route=ctx.route.name,
        account=ctx.account.name if ctx.account else None,
        version=ctx.catalog.version,
        upstream=choice.instance.id,
        reason=choice.reason,
        source=choice.source.id if choice.source else None,
        expected_ms=to_milliseconds(choice.wait),
        unread=choice.tokens,
        ahead=work.ahead,
        running=work.running,
        latency_target_ms=to_milliseconds(ctx.route.latency_target),
        first_sent_ms=_get_first_sent_ms(ctx),
        first_ms=to_milliseconds(work.first_data_s or 0.0),
        **_describe_pace(ctx, work),
        **_describe_end(ctx),
        **_describe_resumption(state, ctx),
        out_ms=_get_out_ms(ctx),
        sends=ctx.sends,
        took_ms=to_milliseconds(now - ctx.arrived),
        **(describe_share_status(ctx.share_status) if ctx.share_status else {}),
        **ctx.view_at_send,
    )


def record_failure(state, ctx, choice, failure, work=None):
    """Record a send without a complete response, or that failed before it."""
    now = state.clock()
    instance_id = choice.instance.id
    ejection_s = None
    state.metrics.send_failures.labels(failure.fault.value).inc()
    if failure.broke_off:
        _count_end(state, ctx, "broken")
    if failure.bound is not None:
        state.metrics.responses_too_large.labels(failure.bound.value).inc()
    if failure.status == MISDIRECTED_STATUS:
        state.loads.mark_replaced(instance_id, now)
        state.connections.drop(instance_id)
    elif _is_unrelated_to_health(state, instance_id, failure, now):
        state.loads.end_probe(instance_id, now)
    else:
        severe = failure.fault is Fault.NOT_SENT
        ejection_s = state.loads.record_error(instance_id, now, severe)
        if failure.refused:
            state.peer_failures.record_refusal(instance_id, now)
        if failure.status == 0:
            state.domains.record_failure(choice.instance.domain, now)
    state.log.note(
        "send failed",
        failed=True,
        id=ctx.id,
        fault=failure.fault.value,
        why=failure.text,
        status=failure.status,
        broke_off=failure.broke_off,
        **({"bound": failure.bound.value} if failure.bound else {}),
        **_describe_end(ctx),
        **_describe_progress(ctx, work),
        **_describe_resumption(state, ctx),
        route=ctx.route.name,
        account=ctx.account.name if ctx.account else None,
        fingerprint=format_fingerprint(ctx.fingerprint),
        upstream=instance_id,
        sends=ctx.sends,
        ejected_s=ejection_s,
        waited_ms=to_milliseconds(now - ctx.arrived),
        out_ms=_get_out_ms(ctx),
        **ctx.view_at_send,
    )


def _is_unrelated_to_health(state, instance_id, failure, now):
    """Return whether a failure does not count against the health of its upstream.

    Shedding load and asking for a pause is no fault, whether or not the response also
    states that the request was not run.
    """
    if failure.fault in (Fault.GONE, Fault.LATE, Fault.REJECTED):
        return True
    return failure.status > 0 and state.backoffs.is_active(instance_id, now)


def record_view_at_send(state, ctx, instance_id, now):
    """Store this gateway's view of the upstream as it sends, for the final log line."""
    count_outdated_request(state, "sent", now)
    ctx.last_byte_sent_at = None
    ctx.framing = None
    ctx.partial_bytes = 0
    ctx.view_at_send = {
        **describe_view(state, now),
        **describe_upstream(state, instance_id, now),
    }


def _get_out_ms(ctx):
    """Return the milliseconds until the last byte was sent, or None if it was not."""
    if ctx.last_byte_sent_at is None:
        return None
    return to_milliseconds(ctx.last_byte_sent_at - ctx.arrived)


def _describe_pace(ctx, work):
    """Return log fields of a stream's pace, none for other responses."""
    if work.pace is None:
        return {}
    return {
        "events": work.pace.event_count,
        "longest_gap_ms": to_milliseconds(work.pace.longest_gap),
        "gap_target_ms": to_milliseconds(ctx.route.event_gap_target),
    }


def _count_end(state, ctx, end):
    if ctx.framing is not None:
        state.metrics.response_ends.labels(ctx.framing.value, end).inc()


def _describe_end(ctx):
    """Return log fields of how the upstream ended its response, none without a head."""
    if ctx.framing is None:
        return {}
    return {"framing": ctx.framing.value, "partial_bytes": ctx.partial_bytes}


def _describe_progress(ctx, work):
    """Return log fields of a prompt and of how far its response had come."""
    if work is None or not ctx.shared_parts:
        return {}
    first_data_s = work.first_data_s
    return {
        "parts": [_truncate(part) for part in ctx.shared_parts[:_MAX_LOGGED_PARTS]],
        "events": work.pace.event_count if work.pace else 0,
        "first_ms": None if first_data_s is None else to_milliseconds(first_data_s),
    }


def _describe_resumption(state, ctx):
    """Return log fields of the stream that the client takes up, none for others."""
    headers = ctx.request.headers
    fields = {
        "resumes": headers.get(state.names.resumes),
        "resumes_after": headers.get(state.names.last_event_id),
    }
    return {n: _truncate(text) for n, text in fields.items() if text is not None}


def _get_first_sent_ms(ctx):
    """Return the milliseconds until the first send, or None if there was none."""
    if ctx.first_sent is None:
        return None
    return to_milliseconds(ctx.first_sent - ctx.arrived)


def to_milliseconds(seconds):
    """Return seconds as milliseconds, rounded for the log."""
    return round(seconds * 1000.0, 1)
