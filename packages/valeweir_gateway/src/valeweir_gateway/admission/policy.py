"""Decides whether a request is sent now or refused with a time to retry."""

from ..refusals import Refusal, limit_retry_after
from .pressure import PressureLevel, get_intake_level
from .return_times import ReturnInputs, compute_retry_after, describe_return
from .shares import UNLIMITED, compute_pass_rate, describe_share_status

# Parts of the latency target: limit of the whole wait, and limit of the queue ahead of
# a long prompt.
_MAX_WAIT_RATIO = 0.65
_MAX_QUEUE_RATIO = 0.2
# An engine is fully crowded if its queue takes this part of the latency target.
_CROWDED_QUEUE_RATIO = 0.4
_MIN_RETRY_AFTER_S = 0.3
_MIN_CALL_RETRY_AFTER_S = 0.1
_OVERLOAD_RETRY_AFTER_S = 0.02
# Shares are of a window four times as long.
_BEYOND_SHARE_RETRY_AFTER_S = 1.0
# A client that has spent more than this part of its time is on a retry.
_RETRY_SPENT_RATIO = 0.03
# Retries queue behind first attempts; the bound keeps a retry storm from delaying both.
_MAX_RETRY_INTAKE_RATIO = 0.25
# Wait-limit factor of retries, close to the highest that a share gives.
_RETRY_SHARE_FACTOR = 1.3


def check_share(state, ctx, now):
    """Return the `Refusal` of an attempt beyond its account's share, or None.

    This check runs before placement, so that a flood costs this gateway little and
    attempts that cannot be served are refused at once. Attempts that pass may still be
    refused if their engine is crowded; both checks use the same random draw.
    """
    if ctx.account is None or ctx.prompt is None:
        return None
    ctx.draw = state.rng.random()
    return _check_pass_rate(state, ctx, get_share_status(state, ctx, now), 0.0, now)


def check_wait(state, ctx, choice, now):
    """Return the `Refusal` of a model request with too long a wait, or None.

    A request is sent while its first event is expected well within the route's latency
    target, since half of the waits turn out longer than expected. The limit is lower
    still if the account is beyond its share.
    """
    target = state.latency_targets.observe(ctx.service, ctx.route.latency_target, now)
    status = get_share_status(state, ctx, now)
    ctx.share_status = status
    crowding = min(1.0, (choice.wait - choice.alone) / (_CROWDED_QUEUE_RATIO * target))
    refusal = _check_pass_rate(state, ctx, status, crowding, now)
    if refusal is not None:
        return refusal
    adjusted_target = target * status.share_factor
    # A prompt too long for its latency target gains nothing from a retry, so it is sent
    # if the queue ahead of it is short.
    limit = max(
        _MAX_WAIT_RATIO * adjusted_target,
        choice.alone + _MAX_QUEUE_RATIO * adjusted_target,
    )
    if choice.wait <= limit:
        return None
    fixed_time = max(_MIN_RETRY_AFTER_S, choice.wait - limit / 2)
    retry_after, fields = _choose_retry_after(
        state, ctx, fixed_time, now, choice, limit
    )
    inputs = {**describe_wait_inputs(state, choice, status, limit, now), **fields}
    return Refusal(503, "engines-busy", retry_after=retry_after, inputs=inputs)


def check_call_wait(state, ctx, choice, now):
    """Return the `Refusal` of a plain call with too long a wait, or None.

    Without a free slot, calls wait in the upstream's own queue, and each late call also
    delays those behind it. A call is therefore sent only to a free slot, or if the rest
    of its latency target covers the wait.
    """
    load = state.loads.get(choice.instance.id, now)
    if load.active + load.remote_active < choice.instance.slots:
        return None
    limit = _get_remaining_target(ctx, now)
    if choice.wait <= limit:
        return None
    retry_after = max(
        _MIN_CALL_RETRY_AFTER_S, choice.wait - ctx.route.latency_target / 2
    )
    retry_after = limit_retry_after(ctx, retry_after, now)
    inputs = {
        "upstream": choice.instance.id,
        "expected_ms": round(choice.wait * 1000),
        "limit_ms": round(limit * 1000),
        "running_own": load.active,
        "running_peers": load.remote_active,
        "slots": choice.instance.slots,
    }
    return Refusal(503, "calls-busy", retry_after=retry_after, inputs=inputs)


def _get_remaining_target(ctx, now):
    """Return the rest of the latency target, counted from the first attempt."""
    return ctx.route.latency_target - ctx.spent - (now - ctx.arrived)


def _check_pass_rate(state, ctx, status, crowding, now):
    """Return the `Refusal` of an attempt that the pass rate excludes, or None."""
    if ctx.account is None:
        return None
    pass_rate = compute_pass_rate(status.share, ctx.prompt.cost, crowding)
    if ctx.draw < pass_rate:
        return None
    inputs = {
        "pass_rate": round(pass_rate, 4),
        "crowding": round(crowding, 2),
        **describe_share_status(status, get_oldest_report_age(state, now)),
    }
    retry_after, fields = _choose_retry_after(
        state, ctx, _BEYOND_SHARE_RETRY_AFTER_S, now
    )
    inputs.update(fields)
    return Refusal(503, "beyond-share", retry_after=retry_after, inputs=inputs)


def _choose_retry_after(state, ctx, fixed_time, now, choice=None, limit=None):
    """Return the Retry-After of a refusal due to load, or None, and its log fields.

    ``fixed_time`` applies unless the settings enable times of return. ``choice`` and
    the ``limit`` of its wait are None if the request is refused for its account.
    """
    if not state.cfg.returns.enabled:
        return limit_retry_after(ctx, fixed_time, now), {}
    inputs = _get_return_inputs(state, ctx, choice, limit, now)
    fields = describe_return(inputs)
    state.metrics.returns.labels(fields["return_timing"]).inc()
    return compute_retry_after(inputs), fields


def _get_return_inputs(state, ctx, choice, limit, now):
    declared = ctx.catalog.limits.tokens_per_second
    usage = state.shares.get_fleet_usage(now, declared)
    target = ctx.route.latency_target
    left = ctx.deadline - now
    return ReturnInputs(
        usage.refused_tokens,
        usage.tokens_per_second,
        usage.window,
        choice.wait if choice else 0.0,
        limit if choice else _MAX_WAIT_RATIO * target,
        choice.alone if choice else state.loads.base,
        target,
        ctx.spent + ctx.allowed - left,
        left,
        state.rng.random(),
    )


def check_pressure(state, ctx, now):
    """Return the `Refusal` of a request at an overloaded gateway, or None.

    Accounts beyond their share are refused first. A client that retries reaches another
    gateway, which may have capacity.
    """
    wait = state.intake.estimate_wait()
    level = max(state.get_pressure(), get_intake_level(wait, ctx.route.latency_target))
    if level is PressureLevel.NONE:
        return None
    if is_retry(ctx) and wait <= _MAX_RETRY_INTAKE_RATIO * ctx.route.latency_target:
        return None
    if (
        level is PressureLevel.HIGH
        and get_share_status(state, ctx, now).share_factor >= 1.0
    ):
        return None
    inputs = {
        "lag_ms": round(state.pressure.lag * 1000),
        "inflight": state.inflight,
        "intake_ms": round(wait * 1000),
        "level": level.name.lower(),
    }
    return Refusal(
        503, "overloaded", retry_after=_OVERLOAD_RETRY_AFTER_S, inputs=inputs
    )


def get_oldest_report_age(state, now):
    """Return the age in seconds of the oldest report in the sums."""
    peers = state.members.get_live(now)
    return max((now - peer.received_at for peer in peers), default=0.0)


def describe_wait_inputs(state, choice, status, limit, now):
    """Return the inputs of the decision for the log; times in milliseconds."""
    load = state.loads.get(choice.instance.id, now)
    return {
        "upstream": choice.instance.id,
        "expected_ms": round(choice.wait * 1000),
        "limit_ms": round(limit * 1000),
        "unread_own": load.unread,
        "unread_peers": load.remote_unread,
        "peers": len(state.members.get_live(now)),
        **describe_share_status(status, get_oldest_report_age(state, now)),
    }


def get_share_status(state, ctx, now):
    """Return the `ShareStatus` that applies to the request."""
    if ctx.account is None:
        return UNLIMITED
    cost = ctx.prompt.cost if ctx.prompt else 0
    declared = ctx.catalog.limits.tokens_per_second
    status = state.shares.get_share_status(ctx.account.name, cost, now, declared)
    if is_retry(ctx) and status.share_factor >= 1.0:
        # If a retry is refused, its client loses the whole request. An account beyond
        # its share gains nothing from retries.
        return status._replace(
            share_factor=max(status.share_factor, _RETRY_SHARE_FACTOR)
        )
    return status


def is_retry(ctx):
    """Return whether the client has made an earlier attempt."""
    return ctx.spent > _RETRY_SPENT_RATIO * (ctx.spent + ctx.allowed)
