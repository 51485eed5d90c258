"""Finding the request that ends upstreams, and holding it back fleet-wide.

Without it a request was as new to each gateway as any other each time it came, and went
on to the next upstream for as long as its client asked: ten ended in eleven seconds,
and nine in ten of the answers lost were those of other clients.
"""

from typing import NamedTuple

from ..digests import get_digest
from ..refusals import Refusal
from .crashes import Crash
from .fingerprints import format_fingerprint
from .records import QuarantineRecord, is_confirmed, is_to_blame

# Seconds until a client may ask again where no trial is due before an operator's word.
_LONG_RETRY = 60.0
_MIN_RETRY = 0.2
# Seconds after the end of an upstream in which a peer's notice of it counts; it may be
# back later.
_RECENT = 0.7
# Characters of a path in a record.
_MAX_TARGET = 200


class Notice(NamedTuple):
    """News of a request for peers: its `Crash`, or None where it was cleared."""

    fingerprint: int
    crash: Crash | None


async def check_quarantine(state, ctx):
    """Return the `Refusal` of a request that is held back, None if it may be sent.

    Where a trial is due, the one gateway of the fleet that may make it sends it on.
    """
    if not state.quarantine:
        # Nothing is held: no digest is taken.
        return None
    held = state.quarantine.get(ctx.fingerprint)
    if held is None:
        return None
    if held.is_due(state.clock()) and await state.quarantine_store.claim(
        ctx.fingerprint
    ):
        ctx.is_trial = True
        state.log.note("trial sent", **_describe(ctx, held.record))
        return None
    return refuse_held(state, ctx)


def is_held(state, ctx):
    """Return whether a request was found to end upstreams while it waited here."""
    if not state.quarantine or ctx.is_trial:
        return False
    return state.quarantine.get(ctx.fingerprint) is not None


def refuse_held(state, ctx):
    """Return the `Refusal` of a request that is held back: at once, and not run."""
    now = state.clock()
    held = state.quarantine.get(ctx.fingerprint)
    wait = _LONG_RETRY
    if held is not None and held.due is not None:
        wait = max(_MIN_RETRY, held.due - now)
    inputs = {"fingerprint": format_fingerprint(ctx.fingerprint)}
    if held is not None:
        inputs |= {
            "ended_upstreams": held.record.upstreams,
            "trials": held.record.trials,
            "held_since_s": round(now - held.since, 1),
        }
    return Refusal(503, "quarantined", retry_after=wait, inputs=inputs)


async def note_broken_off(state, ctx, instance, sent):
    """Take in a send whose connection broke off: did its upstream end?"""
    broke = state.clock()
    if not await state.endings.has_ended(instance, sent):
        return
    state.metrics.upstream_ends.inc()
    crash = Crash(get_digest(instance.id), sent, broke)
    state.notices.append(Notice(ctx.fingerprint, crash))
    _set_aside(state, crash, broke)
    count = state.suspects.add(ctx.fingerprint, crash, broke)
    if count is None:
        return
    state.log.note(
        "upstream ended under request",
        failed=True,
        id=ctx.id,
        upstream=instance.id,
        ran_ms=round((broke - sent) * 1000.0, 1),
        upstreams=count.upstreams,
        runs=count.runs,
        **_name(ctx),
    )
    if is_to_blame(count):
        _hold(state, ctx.fingerprint, count, broke, ctx)


def note_answered(state, ctx):
    """Take in a whole answer: whatever ended before, this request did not end it."""
    if not state.suspects and not state.quarantine:
        return
    now = state.clock()
    suspect = state.suspects.clear(ctx.fingerprint, now)
    held = state.quarantine.remove(ctx.fingerprint)
    if not suspect and not held:
        return
    state.notices.append(Notice(ctx.fingerprint, None))
    if held:
        state.quarantine_store.forget(ctx.fingerprint)
        state.log.note("request released", why="answered", id=ctx.id, **_name(ctx))


def take_notice(state, notice, now):
    """Take in what a peer has found out; return whether it is news to this gateway."""
    fingerprint, crash = notice
    if crash is None:
        suspect = state.suspects.clear(fingerprint, now)
        return state.quarantine.remove(fingerprint) or suspect
    _set_aside(state, crash, now)
    count = state.suspects.add(fingerprint, crash, now)
    if count is not None and is_to_blame(count):
        _hold(state, fingerprint, count, now)
    return count is not None


def take_record(state, fingerprint, record, now):
    """Take in a record of the store; None where it is gone."""
    text = format_fingerprint(fingerprint)
    if record is None:
        state.suspects.clear(fingerprint, now)
        state.quarantine_store.note_gone(fingerprint)
        if state.quarantine.remove(fingerprint):
            state.log.note("request released", why="record gone", fingerprint=text)
        return
    if state.quarantine.put(fingerprint, record, now, kept=True):
        state.log.note(
            "request quarantined",
            source="record",
            fingerprint=text,
            **_get_fields(record),
        )


def release(state, fingerprint):
    """Let a request go by an operator's word; return whether it was held."""
    state.suspects.clear(fingerprint, state.clock())
    if not state.quarantine.remove(fingerprint):
        return False
    state.notices.append(Notice(fingerprint, None))
    state.quarantine_store.forget(fingerprint)
    text = format_fingerprint(fingerprint)
    state.log.note("request released", why="operator", fingerprint=text)
    return True


def end_old(state):
    """Let those go whose time is over; other gateways do the same by themselves."""
    now = state.clock()
    state.suspects.drop_old(now)
    for fingerprint in state.quarantine.find_old(now):
        state.quarantine.remove(fingerprint)
        state.quarantine_store.forget(fingerprint, observed=False)
        text = format_fingerprint(fingerprint)
        state.log.note("request released", why="time is over", fingerprint=text)


def _set_aside(state, crash, now):
    """Send nothing for a while to an upstream that was seen to end.

    Without it each gateway found out by requests of its own, 8 to 18 in all.
    """
    instance_id = state.directory.get_id(crash.instance)
    if instance_id is None or now - crash.ended > _RECENT:
        return
    if state.loads.is_usable(instance_id, now):
        state.loads.note_error(instance_id, now, severe=True)


def _hold(state, fingerprint, count, now, ctx=None):
    """Hold a request back; ``ctx`` is its try here, if an upstream ended under that."""
    blamed = state.quarantine.get_all().keys()
    others = state.suspects.count_others(fingerprint, blamed, now)
    record = QuarantineRecord(
        count.upstreams,
        count.runs,
        is_sure=is_confirmed(count, others),
        account=ctx.account.name if ctx and ctx.account else None,
        target=ctx.request.target[:_MAX_TARGET] if ctx else "",
        host=state.cfg.host,
    )
    if state.quarantine.put(fingerprint, record, now):
        state.log.note(
            "request quarantined",
            source="observed" if ctx else "peers",
            fingerprint=format_fingerprint(fingerprint),
            **_get_fields(record),
        )
    state.quarantine_store.keep(fingerprint, observed=ctx is not None)


def _get_fields(record):
    return {
        "ended_upstreams": record.upstreams,
        "runs": record.runs,
        "trials": record.trials,
        "is_sure": record.is_sure,
        "account": record.account,
    }


def _name(ctx):
    return {
        "fingerprint": format_fingerprint(ctx.fingerprint),
        "route": ctx.route.name,
        "account": ctx.account.name if ctx.account else None,
    }


def _describe(ctx, record):
    return {"id": ctx.id, "trials": record.trials, **_name(ctx)}
