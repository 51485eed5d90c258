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
from .records import QuarantineRecord, is_confirmed, needs_quarantine

# Seconds until a client may ask again where no trial is due before an operator's word.
_OPERATOR_RETRY_AFTER_S = 60.0
_MIN_RETRY_AFTER_S = 0.2
# Seconds after the end of an upstream in which a peer's notice of it counts; it may be
# back later.
_MAX_NOTICE_AGE_S = 0.7
# Characters of a path in a record.
_MAX_TARGET_CHARS = 200


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
    entry = state.quarantine.get(ctx.fingerprint)
    if entry is None:
        return None
    if entry.is_trial_due(state.clock()) and await state.quarantine_store.claim_trial(
        ctx.fingerprint
    ):
        ctx.is_trial = True
        state.log.note("trial sent", **_describe_trial(ctx, entry.record))
        return None
    return refuse_quarantined(state, ctx)


def is_quarantined(state, ctx):
    """Return whether a request was found to end upstreams while it waited here."""
    if not state.quarantine or ctx.is_trial:
        return False
    return state.quarantine.get(ctx.fingerprint) is not None


def refuse_quarantined(state, ctx):
    """Return the `Refusal` of a request that is held back: at once, and not run."""
    now = state.clock()
    entry = state.quarantine.get(ctx.fingerprint)
    retry_after = _OPERATOR_RETRY_AFTER_S
    if entry is not None and entry.due is not None:
        retry_after = max(_MIN_RETRY_AFTER_S, entry.due - now)
    inputs = {"fingerprint": format_fingerprint(ctx.fingerprint)}
    if entry is not None:
        inputs |= {
            "ended_upstreams": entry.record.upstreams,
            "trials": entry.record.trials,
            "held_since_s": round(now - entry.since, 1),
        }
    return Refusal(503, "quarantined", retry_after=retry_after, inputs=inputs)


async def on_connection_broken(state, ctx, instance, sent):
    """Take in a send whose connection broke off: did its upstream end?"""
    ended = state.clock()
    if not await state.endings.has_ended(instance, sent):
        return
    state.metrics.upstream_ends.inc()
    crash = Crash(get_digest(instance.id), sent, ended)
    state.notices.append(Notice(ctx.fingerprint, crash))
    _eject_upstream(state, crash, ended)
    count = state.suspects.add(ctx.fingerprint, crash, ended)
    if count is None:
        return
    state.log.note(
        "upstream ended under request",
        failed=True,
        id=ctx.id,
        upstream=instance.id,
        ran_ms=round((ended - sent) * 1000.0, 1),
        upstreams=count.upstreams,
        runs=count.runs,
        **_describe_request(ctx),
    )
    if needs_quarantine(count):
        _quarantine_request(state, ctx.fingerprint, count, ended, ctx)


def on_request_answered(state, ctx):
    """Take in a whole answer: whatever ended before, this request did not end it."""
    if not state.suspects and not state.quarantine:
        return
    now = state.clock()
    was_suspect = state.suspects.clear_suspect(ctx.fingerprint, now)
    was_quarantined = state.quarantine.remove(ctx.fingerprint)
    if not was_suspect and not was_quarantined:
        return
    state.notices.append(Notice(ctx.fingerprint, None))
    if was_quarantined:
        state.quarantine_store.schedule_removal(ctx.fingerprint)
        state.log.note(
            "request released", why="answered", id=ctx.id, **_describe_request(ctx)
        )


def take_notice(state, notice, now):
    """Take in what a peer has found out; return whether it is news to this gateway."""
    fingerprint, crash = notice
    if crash is None:
        was_suspect = state.suspects.clear_suspect(fingerprint, now)
        return state.quarantine.remove(fingerprint) or was_suspect
    _eject_upstream(state, crash, now)
    count = state.suspects.add(fingerprint, crash, now)
    if count is not None and needs_quarantine(count):
        _quarantine_request(state, fingerprint, count, now)
    return count is not None


def take_record(state, fingerprint, record, now):
    """Take in a record of the store; None where it is gone."""
    text = format_fingerprint(fingerprint)
    if record is None:
        state.suspects.clear_suspect(fingerprint, now)
        state.quarantine_store.on_record_removed(fingerprint)
        if state.quarantine.remove(fingerprint):
            state.log.note("request released", why="record gone", fingerprint=text)
        return
    if state.quarantine.put(fingerprint, record, now, stored=True):
        state.log.note(
            "request quarantined",
            source="record",
            fingerprint=text,
            **_describe_record(record),
        )


def release(state, fingerprint):
    """Let a request go by an operator's word; return whether it was held."""
    state.suspects.clear_suspect(fingerprint, state.clock())
    if not state.quarantine.remove(fingerprint):
        return False
    state.notices.append(Notice(fingerprint, None))
    state.quarantine_store.schedule_removal(fingerprint)
    text = format_fingerprint(fingerprint)
    state.log.note("request released", why="operator", fingerprint=text)
    return True


def end_old(state):
    """Let those go whose time is over; other gateways do the same by themselves."""
    now = state.clock()
    state.suspects.drop_expired(now)
    for fingerprint in state.quarantine.find_expired(now):
        state.quarantine.remove(fingerprint)
        state.quarantine_store.schedule_removal(fingerprint, observed=False)
        text = format_fingerprint(fingerprint)
        state.log.note("request released", why="time is over", fingerprint=text)


def _eject_upstream(state, crash, now):
    """Send nothing for a while to an upstream that was seen to end.

    Without it each gateway found out by requests of its own, 8 to 18 in all.
    """
    instance_id = state.directory.get_id(crash.instance)
    if instance_id is None or now - crash.ended > _MAX_NOTICE_AGE_S:
        return
    if state.loads.is_usable(instance_id, now):
        state.loads.note_error(instance_id, now, severe=True)


def _quarantine_request(state, fingerprint, count, now, ctx=None):
    """Hold a request back; ``ctx`` is its try here, if an upstream ended under that."""
    quarantined = state.quarantine.get_all().keys()
    unexplained = state.suspects.count_unexplained_crashes(
        fingerprint, quarantined, now
    )
    record = QuarantineRecord(
        count.upstreams,
        count.runs,
        is_sure=is_confirmed(count, unexplained),
        account=ctx.account.name if ctx and ctx.account else None,
        target=ctx.request.target[:_MAX_TARGET_CHARS] if ctx else "",
        host=state.cfg.host,
    )
    if state.quarantine.put(fingerprint, record, now):
        state.log.note(
            "request quarantined",
            source="observed" if ctx else "peers",
            fingerprint=format_fingerprint(fingerprint),
            **_describe_record(record),
        )
    state.quarantine_store.schedule_write(fingerprint, observed=ctx is not None)


def _describe_record(record):
    return {
        "ended_upstreams": record.upstreams,
        "runs": record.runs,
        "trials": record.trials,
        "is_sure": record.is_sure,
        "account": record.account,
    }


def _describe_request(ctx):
    return {
        "fingerprint": format_fingerprint(ctx.fingerprint),
        "route": ctx.route.name,
        "account": ctx.account.name if ctx.account else None,
    }


def _describe_trial(ctx, record):
    return {"id": ctx.id, "trials": record.trials, **_describe_request(ctx)}
