"""Whether a model request goes out now or is told when to come back."""

from ..refusals import Refusal, limit_retry
from .pressure import Level, get_intake_level
from .shares import UNLIMITED, compute_pass_rate, describe_standing

# Parts of the latency target: for the whole wait, and for what is ahead of a long
# prompt.
_TARGET_RATIO = 0.65
_AHEAD_RATIO = 0.2
# Share of the latency target that work ahead takes at an engine that is crowded.
_CROWDED_RATIO = 0.4
# Times to come back, in seconds.
_MIN_RETRY = 0.3
_MIN_CALL_RETRY = 0.1
_ELSEWHERE_RETRY = 0.02
# For a try beyond its account's share; shares are of a window four times as long.
_BEYOND_RETRY = 1.0
# A client that has spent more than this part of its time has come back.
_RETURNED_RATIO = 0.03
# Retries queue behind first attempts; the bound keeps a retry storm from delaying both.
_MAX_INTAKE_RATIO = 0.25
# Its wait limit against the usual; near the greatest that a share gives.
_RETURNED_FACTOR = 1.3


def decide_by_share(state, ctx, now):
    """Return None, or the `Refusal` of a try beyond its account's share.

    Before engines are looked at: a flood costs this gateway little then, and what
    cannot be served is told so at once. Those that pass may still be refused where
    their engine turns out crowded; one draw serves for both.
    """
    if ctx.account is None or ctx.prompt is None:
        return None
    ctx.draw = state.rng.random()
    return _thin(state, ctx, get_standing(state, ctx, now), 0.0, now)


def decide(state, ctx, choice, now):
    """Return None to send, or the `Refusal`.

    A request goes out while its first event is expected well within the
    route's latency target, since half of the waits turn out longer than expected, and
    earlier still where its account has had more than its share.
    """
    target = state.latency_targets.note(ctx.service, ctx.route.latency_target, now)
    standing = get_standing(state, ctx, now)
    ctx.standing = standing
    crowding = min(1.0, (choice.wait - choice.alone) / (_CROWDED_RATIO * target))
    refusal = _thin(state, ctx, standing, crowding, now)
    if refusal is not None:
        return refusal
    allowed = target * standing.factor
    # A prompt too long for its latency target gains nothing by coming back; it goes out
    # where little is ahead of it.
    limit = max(_TARGET_RATIO * allowed, choice.alone + _AHEAD_RATIO * allowed)
    if choice.wait <= limit:
        return None
    retry_after = limit_retry(ctx, max(_MIN_RETRY, choice.wait - limit / 2), now)
    inputs = describe(state, choice, standing, limit, now)
    return Refusal(503, "engines-busy", retry_after=retry_after, inputs=inputs)


def decide_call(state, ctx, choice, now):
    """Return None to send a plain call, or the `Refusal`.

    Where no place is free, calls wait in the upstream's own queue, and with each one
    that will be late those behind it become late too. So it goes out to a free place,
    or where what is left of its latency target bears the wait.
    """
    load = state.loads.get(choice.instance.id, now)
    if load.active + load.remote_active < choice.instance.slots:
        return None
    limit = _get_target_left(ctx, now)
    if choice.wait <= limit:
        return None
    retry_after = max(_MIN_CALL_RETRY, choice.wait - ctx.route.latency_target / 2)
    retry_after = limit_retry(ctx, retry_after, now)
    inputs = {
        "upstream": choice.instance.id,
        "expected_ms": round(choice.wait * 1000),
        "limit_ms": round(limit * 1000),
        "running_own": load.active,
        "running_peers": load.remote_active,
        "slots": choice.instance.slots,
    }
    return Refusal(503, "calls-busy", retry_after=retry_after, inputs=inputs)


def _get_target_left(ctx, now):
    """Return what is left of the latency target since the client's first try."""
    return ctx.route.latency_target - ctx.spent - (now - ctx.arrived)


def _thin(state, ctx, standing, crowding, now):
    """Return None for the part of an account's tries that its share allows."""
    if ctx.account is None:
        return None
    rate = compute_pass_rate(standing.view, ctx.prompt.cost, crowding)
    if ctx.draw < rate:
        return None
    inputs = {
        "pass_rate": round(rate, 4),
        "crowding": round(crowding, 2),
        **describe_standing(standing, get_oldest_report(state, now)),
    }
    retry_after = limit_retry(ctx, _BEYOND_RETRY, now)
    return Refusal(503, "beyond-share", retry_after=retry_after, inputs=inputs)


def decide_by_pressure(state, ctx, now):
    """Return None, or the `Refusal` where this gateway does not keep up.

    Who has had more than its share goes first. Another gateway may have time,
    and a client that comes back reaches another one.
    """
    wait = state.intake.estimate_wait()
    level = max(state.get_pressure(), get_intake_level(wait, ctx.route.latency_target))
    if level is Level.NONE:
        return None
    if is_returned(ctx) and wait <= _MAX_INTAKE_RATIO * ctx.route.latency_target:
        return None
    if level is Level.HIGH and get_standing(state, ctx, now).factor >= 1.0:
        return None
    inputs = {
        "lag_ms": round(state.pressure.lag * 1000),
        "inflight": state.inflight,
        "intake_ms": round(wait * 1000),
        "level": level.name.lower(),
    }
    return Refusal(503, "overloaded", retry_after=_ELSEWHERE_RETRY, inputs=inputs)


def get_oldest_report(state, now):
    """Return the age in seconds of the oldest report that is counted in."""
    peers = state.members.get_live(now)
    return max((now - peer.heard for peer in peers), default=0.0)


def describe(state, choice, standing, limit, now):
    """Return what decided, for the log; times in milliseconds."""
    load = state.loads.get(choice.instance.id, now)
    return {
        "upstream": choice.instance.id,
        "expected_ms": round(choice.wait * 1000),
        "limit_ms": round(limit * 1000),
        "unread_own": load.unread,
        "unread_peers": load.remote_unread,
        "peers": len(state.members.get_live(now)),
        **describe_standing(standing, get_oldest_report(state, now)),
    }


def get_standing(state, ctx, now):
    """Return the `Standing` that decides on the request."""
    if ctx.account is None:
        return UNLIMITED
    cost = ctx.prompt.cost if ctx.prompt else 0
    declared = ctx.catalog.limits.tokens_per_second
    standing = state.shares.get_standing(ctx.account.name, cost, now, declared)
    if is_returned(ctx) and standing.factor >= 1.0:
        # Refusing it again would make its client lose the whole request. Who has
        # had more than its share gains no more of it by coming back.
        return standing._replace(factor=max(standing.factor, _RETURNED_FACTOR))
    return standing


def is_returned(ctx):
    """Return whether the client has tried before."""
    return ctx.spent > _RETURNED_RATIO * (ctx.spent + ctx.allowed)
