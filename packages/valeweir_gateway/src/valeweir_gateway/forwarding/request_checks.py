"""Checks of a request against the configuration."""

from ..placement.prompts import parse_prompt, parse_shared_parts
from ..refusals import Refusal
from ..transport.requests import BadRequest
from ..view.catalog import RouteKind
from ..view.store_read_policy import get_max_view_age
from ..view_source import get_version
from .request_records import OUTDATED_CODE, record_bad_request

RESPONSE_MARGIN_S = 0.03
_UNREADY_RETRY_AFTER_S = 0.5
_STOPPING_RETRY_AFTER_S = 0.05
# Statuses of requests that exceed a limit of the configuration.
_LIMIT_STATUSES = frozenset((413, 431))


def check_request(state, ctx):
    """Fill in the context; return a `Refusal` if the request cannot be served."""
    if state.finished:
        return Refusal(503, "stopping", retry_after=_STOPPING_RETRY_AFTER_S)
    if ctx.catalog is None or not state.catalog_known:
        # Evacuated failure domains must be known before the first send.
        return Refusal(503, "not-ready", retry_after=_UNREADY_RETRY_AFTER_S)
    headers = ctx.request.headers
    _record_reserved_headers(state, ctx)
    denial = _authorize(ctx)
    if denial is not None:
        return _confirm_denial(state, denial)
    _set_time_limit(state, ctx)
    ctx.deadline = ctx.arrived + ctx.allowed
    if state.refusing and not _ends_before_stop(state, ctx):
        return Refusal(503, "stopping", retry_after=_STOPPING_RETRY_AFTER_S)
    ctx.service = _choose_service(state, ctx.route)
    ctx.last_event_id = headers.get(state.names.last_event_id)
    parts = headers.get(state.names.prompt_parts)
    if ctx.route.kind is RouteKind.STREAM:
        ctx.prompt = parse_prompt(headers.get(state.names.token_counts), parts)
    if ctx.prompt is not None:
        ctx.shared_parts = tuple(part.id for part in ctx.prompt.shared)
    else:
        ctx.shared_parts = parse_shared_parts(parts)
    return None


def _authorize(ctx):
    """Set route and account; return a `Refusal` if either is unknown."""
    headers = ctx.request.headers
    ctx.route = ctx.catalog.find_route(headers.get("Host", ""), ctx.request.path)
    if ctx.route is None:
        return Refusal(404, "no-route")
    if ctx.route.public or not ctx.catalog.needs_key:
        return None
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    ctx.account = ctx.catalog.find_account(key.strip())
    if ctx.account is None or scheme.lower() != "bearer":
        return Refusal(401, "unknown-key")
    return None


def _confirm_denial(state, denial):
    """Return the 404 or 401 only if the configuration is fresh, otherwise a 503.

    Clients do not retry after 404 or 401, although the route or account may have been
    added since this gateway last received changes. The configuration is refreshed in
    the background, so that such requests cause no calls of the store.
    """
    if _has_recent_configuration(state):
        return denial
    return Refusal(
        503,
        OUTDATED_CODE,
        retry_after=_UNREADY_RETRY_AFTER_S,
        inputs={"instead_of": denial.code},
    )


def confirm_bad_request(state, exc):
    """Return the `BadRequest` to respond with, and log it.

    An exceeded limit is a 503 instead unless the limit is known to be in force, as
    clients do not retry after 413 or 431.
    """
    confirmed = exc
    if exc.status in _LIMIT_STATUSES and not _has_recent_configuration(state):
        confirmed = BadRequest(
            503,
            "the limits on requests may be outdated",
            exc.target,
            exc.headers,
            _UNREADY_RETRY_AFTER_S,
        )
    record_bad_request(state, exc, confirmed.status)
    return confirmed


def _has_recent_configuration(state):
    """Return whether a newer configuration cannot have been in force for long."""
    now = state.clock()
    age = state.freshness.get_age(now)
    is_recent = age is not None and age <= get_max_view_age(state.cfg)
    return is_recent and not _has_newer_peer(state, now)


def _has_newer_peer(state, now):
    """Return whether a peer has a newer configuration."""
    version = get_version(state)
    peers = state.members.get_live(now)
    return any(peer.report.catalog_version > version for peer in peers)


def _record_reserved_headers(state, ctx):
    """Count and log headers that clients may not set; they are not forwarded."""
    reserved = [name.lower() for name in ctx.request.headers]
    reserved = [name for name in reserved if name in state.reserved_headers]
    if not reserved:
        return
    for name in reserved:
        state.metrics.headers_dropped.labels(name).inc()
    state.log.note("headers dropped", routine=True, id=ctx.id, names=reserved)


def _set_time_limit(state, ctx):
    """Set the time limit of the request from its route and its client's deadline."""
    client_timeout = _get_client_timeout(state, ctx)
    if client_timeout is None:
        ctx.allowed = max(0.0, ctx.route.timeout - RESPONSE_MARGIN_S)
        return
    ctx.spent = state.client_deadlines.observe(
        ctx.route.name, client_timeout, ctx.arrived
    )
    ctx.allowed = max(0.0, min(ctx.route.timeout, client_timeout) - RESPONSE_MARGIN_S)


def _get_client_timeout(state, ctx):
    """Return how many seconds the client will wait, or None if it does not state it."""
    try:
        return float(ctx.request.headers.get(state.names.deadline)) / 1000.0
    except (TypeError, ValueError):
        return None


def _ends_before_stop(state, ctx):
    """Return whether the request is sure to end before a planned stop.

    A call ends by its deadline, but a stream lasts as long as its client allows.
    """
    return ctx.route.kind is not RouteKind.STREAM and ctx.deadline < state.stop_deadline


def _choose_service(state, route):
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = state.rng.uniform(0.0, total)
    for target in route.targets:
        point -= target.weight
        if point <= 0.0:
            return target.service
    return route.targets[-1].service
