"""Streams that clients take up after a broken connection, at any gateway.

What two software versions of a service write does not fit together, and upstreams do
not check it. A stream goes on at the service and version that began it or not at all.
"""

from ..digests import get_digest
from ..refusals import BUSY_RETRY_AFTER_S, Refusal
from ..upstreams.stream_origins import get_stream_key, make_origin
from ..view.catalog import RouteKind

# Older views may lack a version that has begun streams since.
_MAX_VIEW_AGE_S = 2.0
_UNKNOWN_CODE = "stream-unknown"


async def bind_stream(state, ctx):
    """Bind a stream that is taken up to its origin.

    Returns None, or the `Refusal` if the origin is not known, or none of its upstreams
    is while the view is old. A client may then retry, as peers may know more.
    """
    if ctx.route.kind is not RouteKind.STREAM or not ctx.route.resumable:
        return None
    if not _takes_up_stream(state, ctx):
        await state.version_store.wait_for_record(ctx.service)
        return None
    first_id = ctx.request.headers.get(state.names.resumes)
    origin = await _find_origin(state, ctx, first_id)
    service = None if origin is None else _find_service(ctx.route, origin)
    if service is None or _may_lack_upstreams(state, origin):
        inputs = state.version_reader.describe(ctx.service)
        return Refusal(
            503, _UNKNOWN_CODE, retry_after=BUSY_RETRY_AFTER_S, inputs=inputs
        )
    ctx.service = service
    ctx.origin = origin
    return None


def record_stream_begin(state, ctx, instance):
    """Bind a stream to the upstream that sends its first event, and report it."""
    if not ctx.route.resumable:
        return
    ctx.origin = make_origin(instance)
    key = get_stream_key(ctx.account, ctx.id)
    state.stream_origins.begin(key, ctx.origin, state.clock())


def _takes_up_stream(state, ctx):
    headers = ctx.request.headers
    names = (state.names.resumes, state.names.last_event_id)
    return any(headers.get(name) for name in names)


async def _find_origin(state, ctx, first_id):
    """Return the `StreamOrigin` of the stream that a request names, or None."""
    if first_id:
        key = get_stream_key(ctx.account, first_id)
        origin = state.stream_origins.get(key)
        if origin is None and not state.stream_origins.is_ambiguous(key):
            origin = await state.ask_peers_for_origin(key)
        if origin is not None or state.stream_origins.is_ambiguous(key):
            return origin
    if len(ctx.route.targets) != 1:
        return None
    service = ctx.route.targets[0].service
    return await state.version_reader.find_only_origin(service, state.clock())


def _may_lack_upstreams(state, origin):
    """Return whether an old view may lack the upstreams of an origin."""
    if _is_view_recent(state):
        return False
    return not any(map(origin.matches, list(state.directory.by_id.values())))


def _is_view_recent(state):
    age = state.freshness.get_age(state.clock())
    return age is not None and age <= _MAX_VIEW_AGE_S


def _find_service(route, origin):
    """Return the service of a route that the digest in an origin names, or None."""
    services = [target.service for target in route.targets]
    return next((s for s in services if get_digest(s) == origin.service), None)
