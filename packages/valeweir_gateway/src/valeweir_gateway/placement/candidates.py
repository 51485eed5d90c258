"""Selection of the instances that may receive a request.

`choice` then selects the best of them.
"""

from ..refusals import BUSY_RETRY_AFTER_S, Refusal, limit_retry_after

# Lower bound of ``Retry-After``, so that a client does not retry just before an
# instance is warm.
_MIN_RETRY_S = 0.05


def find_candidates(state, ctx, now):
    """Return the instances that may receive a request, or the `Refusal`."""
    ready = state.directory.get_ready(ctx.service)
    if not ready:
        return Refusal(503, "no-upstream", retry_after=BUSY_RETRY_AFTER_S)
    permitted = _keep_allowed_regions(state, ctx, ready)
    if not permitted:
        return Refusal(503, "no-upstream-in-region")
    permitted = _keep_origin(ctx, permitted)
    if not permitted:
        # No upstream of the version will come back for this stream.
        return Refusal(503, "no-upstream-of-version")
    permitted = _prefer_recorded(state, ctx, permitted)
    ready = _drop_evacuated(state, permitted)
    if not ready:
        inputs = {"evacuated": sorted(state.evacuations.domains)}
        return Refusal(503, "evacuated", retry_after=BUSY_RETRY_AFTER_S, inputs=inputs)
    if ctx.excluded:
        ready = [instance for instance in ready if instance.id not in ctx.excluded]
    all_ready, ready = ready, _drop_backing_off(state, ready, now)
    if all_ready and not ready:
        return _refuse_backing_off(state, all_ready, now)
    all_ready, ready = ready, _drop_body_full(state, ctx, ready, now)
    if all_ready and not ready:
        return _refuse_body(state, ctx, all_ready, now)
    instances = _drop_without_permit(state, ctx, _keep_usable(state, ready, now), now)
    if not instances and not ready:
        return Refusal(503, "no-upstream", retry_after=BUSY_RETRY_AFTER_S)
    if not instances:
        # An ejected instance may still be better than none.
        instances = _drop_without_permit(state, ctx, ready, now)
    return instances or _refuse_warming(state, ctx, ready, now)


def may_receive(state, ctx, instance, now):
    """Return whether the chosen instance may still receive the request."""
    return find_obstacle(state, ctx, instance, now) is None


def find_obstacle(state, ctx, instance, now):
    """Return why the chosen instance may no longer receive the request, or None."""
    if not state.directory.is_ready(instance.id):
        return "leaving"
    if not _keep_origin(ctx, [state.directory.by_id.get(instance.id, instance)]):
        return "version"
    if instance.domain in state.evacuations.domains:
        return "evacuated"
    if not _may_send(state, instance, now):
        return "backoff"
    if not _drop_body_full(state, ctx, [instance], now):
        return "bodies"
    if ctx.permit == instance.id or not _needs_permit(state, ctx, instance, now):
        return None
    if state.slow_start.use_permit(instance.id, _get_warm_rate(ctx), now):
        return None
    return "warming"


def find_retry_after(state, ctx, now):
    """Return the seconds until a client may retry, if all instances are backing off.

    Return None if an instance accepts requests now or if there is no instance.
    """
    instances = _find_allowed(state, ctx)
    if not instances or _drop_backing_off(state, instances, now):
        return None
    return state.backoffs.compute_retry_after(
        [instance.id for instance in instances], now, state.rng
    )


def has_alternative(state, ctx, now, other_than=None):
    """Return whether another instance accepts requests now.

    The instance ``other_than`` and those that were already tried do not count.
    """
    instances = _find_allowed(state, ctx)
    untried = [
        instance
        for instance in instances
        if instance.id not in ctx.excluded and instance != other_than
    ]
    accepting = _drop_backing_off(state, untried, now)
    return bool(_drop_body_full(state, ctx, accepting, now))


def take_permit(state, ctx, instance, now):
    """Use the permit under which a warming instance was chosen."""
    if not _needs_permit(state, ctx, instance, now):
        return
    if state.slow_start.use_permit(instance.id, _get_warm_rate(ctx), now):
        ctx.permit = instance.id


def get_allowed_regions(route, account):
    """Return the regions in which a request may run, None for all regions."""
    route_regions = route.regions
    if account is None or not account.regions:
        return route_regions or None
    return route_regions & account.regions if route_regions else account.regions


def _find_allowed(state, ctx):
    """Return the ready instances in allowed regions and domains not evacuated."""
    instances = _keep_allowed_regions(
        state, ctx, state.directory.get_ready(ctx.service)
    )
    return _drop_evacuated(state, _keep_origin(ctx, instances))


def _keep_origin(ctx, instances):
    """Return the instances that may go on with the stream of the request, if any."""
    if ctx.origin is None:
        return instances
    return [instance for instance in instances if ctx.origin.matches(instance)]


def _prefer_recorded(state, ctx, instances):
    """Prefer instances whose version the store knows, before a stream begins there.

    Otherwise nobody could tell after a crash of all gateways which version began it.
    """
    if not ctx.route.resumable or ctx.origin is not None:
        return instances
    is_recorded = state.version_store.is_recorded
    return [instance for instance in instances if is_recorded(instance)] or instances


def _keep_allowed_regions(state, ctx, instances):
    allowed = get_allowed_regions(ctx.route, ctx.account)
    if allowed is None:
        return instances
    regions = state.cfg.regions
    return [
        instance for instance in instances if regions.get(instance.domain) in allowed
    ]


def _drop_evacuated(state, instances):
    evacuated = state.evacuations.domains
    if not evacuated:
        return instances
    return [instance for instance in instances if instance.domain not in evacuated]


def _may_send(state, instance, now):
    """Return whether no backoff prevents a request to the instance."""
    running = state.loads.get(instance.id, now).active
    return state.backoffs.may_send(instance.id, running, now)


def _drop_backing_off(state, instances, now):
    if not state.backoffs:
        return instances
    return [instance for instance in instances if _may_send(state, instance, now)]


def _drop_body_full(state, ctx, instances, now):
    """Exclude instances where too many bytes of request bodies wait already."""
    if not state.loads.waiting_body_bytes:
        return instances
    size = len(ctx.request.body)
    limit = state.cfg.upstreams.max_waiting_body_bytes
    accepting = []
    for instance in instances:
        load = state.loads.get(instance.id, now)
        if may_add_body(size, load.waiting_body_bytes, limit):
            accepting.append(instance)
        elif not load.is_body_full:
            load.is_body_full = True
            _record_body_full(state, ctx, instance, load, limit)
    return accepting


def may_add_body(size, waiting, limit):
    """Return whether a body of ``size`` bytes may be sent where ``waiting`` bytes wait.

    A body larger than ``limit`` is sent where none waits, as it could never be sent
    otherwise.
    """
    return size == 0 or waiting == 0 or waiting + size <= limit


def _record_body_full(state, ctx, instance, load, limit):
    state.metrics.bodies_full.inc()
    state.log.note(
        "upstream bodies full",
        id=ctx.id,
        upstream=instance.id,
        body_bytes=len(ctx.request.body),
        waiting_bytes=load.waiting_body_bytes,
        limit_bytes=limit,
    )


def _keep_usable(state, ready, now):
    usable = state.loads.pick_usable(ready, now)
    unreachable = state.domains.get_unreachable(
        state.members.get_silent_domains(now), now
    )
    if unreachable:
        usable = [
            instance for instance in usable if instance.domain not in unreachable
        ] or usable
    return usable


def _drop_without_permit(state, ctx, instances, now):
    """Exclude warming instances for which this gateway has no permit."""
    slow_start = state.slow_start
    rate = _get_warm_rate(ctx)
    if not slow_start or rate <= 0.0:
        return instances
    return [
        instance
        for instance in instances
        if not slow_start.is_warming(instance.id, now)
        or slow_start.has_permit(instance.id, rate, now)
    ]


def _needs_permit(state, ctx, instance, now):
    return _get_warm_rate(ctx) > 0.0 and state.slow_start.is_warming(instance.id, now)


def _get_warm_rate(ctx):
    service = ctx.catalog.services.get(ctx.service)
    return service.warm_rate if service is not None else 0.0


def _refuse_backing_off(state, instances, now):
    """Return the `Refusal` for a request whose instances are all backing off.

    The retry time is not limited to the time left until the deadline of the request,
    since an earlier retry would only be refused again.
    """
    ids = [instance.id for instance in instances]
    ends = [state.backoffs.get_end(instance_id) for instance_id in ids]
    inputs = {"backing_off": len(ids), "first_end_s": round(min(ends) - now, 3)}
    wait = state.backoffs.compute_retry_after(ids, now, state.rng)
    return Refusal(503, "upstreams-backing-off", retry_after=wait, inputs=inputs)


def _refuse_body(state, ctx, instances, now):
    """Return the `Refusal` for a body that no instance accepts at present."""
    loads = [state.loads.get(instance.id, now) for instance in instances]
    inputs = {
        "body_bytes": len(ctx.request.body),
        "least_waiting_bytes": min(load.waiting_body_bytes for load in loads),
        "limit_bytes": state.cfg.upstreams.max_waiting_body_bytes,
    }
    retry_after = limit_retry_after(ctx, BUSY_RETRY_AFTER_S, now)
    return Refusal(503, "bodies-busy", retry_after=retry_after, inputs=inputs)


def _refuse_warming(state, ctx, instances, now):
    """Return the `Refusal` for a request whose instances are all warming up."""
    ends = [state.slow_start.get_end(instance.id) for instance in instances]
    retry_after = limit_retry_after(ctx, max(_MIN_RETRY_S, min(ends) - now), now)
    inputs = {"warming": len(instances)}
    return Refusal(503, "upstreams-warming", retry_after=retry_after, inputs=inputs)
