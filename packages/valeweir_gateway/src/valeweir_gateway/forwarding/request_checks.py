"""What a request asks for, and whether the configuration allows it."""

from ..placement.prompts import parse_prompt
from ..refusals import Refusal
from ..view.catalog import RouteKind
from ..view.store_readers import get_longest_age
from ..view_source import get_version

RESPONSE_MARGIN_S = 0.03
_UNREADY_RETRY_AFTER_S = 0.5
_STOPPING_RETRY_AFTER_S = 0.05


def check_request(state, ctx):
    """Fill in the request; return a `Refusal` for what cannot be served."""
    if ctx.catalog is None or not state.catalog_known:
        # What operators have emptied must be known before the first send.
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
    if ctx.route.kind is RouteKind.STREAM:
        ctx.prompt = parse_prompt(
            headers.get(state.names.token_counts),
            headers.get(state.names.prompt_parts),
        )
    return None


def _authorize(ctx):
    """Fill in route and account; return a `Refusal` where there is none."""
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
    """Return a refusal that blames the client only where the configuration is new.

    A client that gets 404 or 401 does not retry, though what it asks for may have been
    added since this gateway last heard of changes. It reads them meanwhile, so this
    costs no call of the store, however many such requests come.
    """
    now = state.clock()
    age = state.freshness.get_age(now)
    is_fresh = age is not None and age <= get_longest_age(state.cfg)
    if is_fresh and not _has_newer_peer(state, now):
        return denial
    return Refusal(
        503,
        "configuration-old",
        retry_after=_UNREADY_RETRY_AFTER_S,
        inputs={"instead_of": denial.code},
    )


def _has_newer_peer(state, now):
    """Return whether a peer works by a newer configuration."""
    version = get_version(state)
    peers = state.members.get_live(now)
    return any(peer.report.catalog_version > version for peer in peers)


def _record_reserved_headers(state, ctx):
    """Count and log headers that the client may not set; they are not sent on."""
    reserved = [name.lower() for name in ctx.request.headers]
    reserved = [name for name in reserved if name in state.own_headers]
    if not reserved:
        return
    for name in reserved:
        state.metrics.headers_dropped.labels(name).inc()
    state.log.note("headers dropped", id=ctx.id, names=reserved)


def _set_time_limit(state, ctx):
    """Note how long the client and the route let the request take."""
    client_timeout = _get_client_timeout(state, ctx)
    if client_timeout is None:
        ctx.allowed = max(0.0, ctx.route.timeout - RESPONSE_MARGIN_S)
        return
    ctx.spent = state.patience.note(ctx.route.name, client_timeout, ctx.arrived)
    ctx.allowed = max(0.0, min(ctx.route.timeout, client_timeout) - RESPONSE_MARGIN_S)


def _get_client_timeout(state, ctx):
    """Return the seconds that the client will still wait, None where it is not said."""
    try:
        return float(ctx.request.headers.get(state.names.deadline)) / 1000.0
    except (TypeError, ValueError):
        return None


def _ends_before_stop(state, ctx):
    """Return whether a planned stop surely leaves the request its time.

    A stream may go on for as long as its client lets it; a call ends by its
    deadline.
    """
    return ctx.route.kind is not RouteKind.STREAM and ctx.deadline < state.stop_end


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
