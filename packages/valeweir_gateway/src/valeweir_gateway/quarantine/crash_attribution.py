"""Attribution of upstream crashes to requests, and their fleet-wide quarantine.

Without it, every gateway forwards each retry of a crashing request to another upstream
for as long as the client retries: ten upstreams crashed within eleven seconds, and nine
in ten of the lost responses were those of other clients.
"""

from typing import NamedTuple

from ..digests import get_digest
from ..refusals import Refusal
from .crashes import Crash
from .fingerprints import format_fingerprint
from .records import QuarantineRecord, is_confirmed, needs_quarantine

# Retry-After of a quarantined request that only an operator can release.
_OPERATOR_RETRY_AFTER_S = 60.0
_MIN_RETRY_AFTER_S = 0.2
# Older notices of peers do not eject the upstream, as it may have restarted by then.
_MAX_NOTICE_AGE_S = 0.7
_MAX_TARGET_CHARS = 200


class Notice(NamedTuple):
    """An update about a request for peers: its `Crash`, or None if it was cleared."""

    fingerprint: int
    crash: Crash | None


async def check_quarantine(state, ctx):
    """Return the `Refusal` of a quarantined request, or None if it may be sent.

    When a trial is due, the gateway of the fleet that claims it forwards the request.
    """
    if not state.quarantine:
        # Saves the digest of the request.
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
    """Return whether a request has been quarantined while it waited here."""
    if not state.quarantine or ctx.is_trial:
        return False
    return state.quarantine.get(ctx.fingerprint) is not None


def refuse_quarantined(state, ctx):
    """Return the `Refusal` of a quarantined request, which is not run."""
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
    """Record a crash if the upstream of a broken connection has terminated."""
    ended = state.clock()
    if not await state.upstream_exits.has_exited(instance, sent):
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
    """Clear a request that got a complete response: it did not cause the crashes."""
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


def apply_notice(state, notice, now):
    """Apply a peer's notice; return whether it is new to this gateway."""
    fingerprint, crash = notice
    if crash is None:
        was_suspect = state.suspects.clear_suspect(fingerprint, now)
        return state.quarantine.remove(fingerprint) or was_suspect
    _eject_upstream(state, crash, now)
    count = state.suspects.add(fingerprint, crash, now)
    if count is not None and needs_quarantine(count):
        _quarantine_request(state, fingerprint, count, now)
    return count is not None


def apply_record(state, fingerprint, record, now):
    """Apply a record of the store; ``record`` is None when it was removed."""
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
    if not state.quarantine.is_stored(fingerprint):
        # The store has gone back to a record before the last trial.
        state.quarantine_store.schedule_write(fingerprint, observed=False)


def restore_records(state, missing, returned):
    """Write again what a restored store has lost of the fleet's own records.

    Parameters
    ----------
    missing : iterable of int
        Fingerprints of requests whose quarantine the store has lost.
    returned : iterable of int
        Fingerprints of released requests whose quarantine it has again.
    """
    for fingerprint in missing:
        state.quarantine.mark_not_stored(fingerprint)
        if fingerprint in state.quarantine:
            state.quarantine_store.schedule_write(fingerprint, observed=False)
    for fingerprint in returned:
        if fingerprint not in state.quarantine:
            state.quarantine_store.schedule_removal(fingerprint, observed=False)


def release(state, fingerprint):
    """Release a request for an operator; return whether it was quarantined."""
    state.suspects.clear_suspect(fingerprint, state.clock())
    if not state.quarantine.remove(fingerprint):
        return False
    state.notices.append(Notice(fingerprint, None))
    state.quarantine_store.schedule_removal(fingerprint)
    text = format_fingerprint(fingerprint)
    state.log.note("request released", why="operator", fingerprint=text)
    return True


def release_expired(state):
    """Release expired quarantines; each gateway does so on its own."""
    now = state.clock()
    state.suspects.drop_expired(now)
    for fingerprint in state.quarantine.find_expired(now):
        state.quarantine.remove(fingerprint)
        state.quarantine_store.schedule_removal(fingerprint, observed=False)
        text = format_fingerprint(fingerprint)
        state.log.note("request released", why="time is over", fingerprint=text)


def _eject_upstream(state, crash, now):
    """Stop sending to an upstream for a while after a crash was reported.

    Without it, each gateway detects the crash by failed requests of its own; 8 to 18
    requests failed in total.
    """
    instance_id = state.directory.get_id(crash.instance)
    if instance_id is None or now - crash.ended > _MAX_NOTICE_AGE_S:
        return
    if state.loads.is_usable(instance_id, now):
        state.loads.record_error(instance_id, now, severe=True)


def _quarantine_request(state, fingerprint, count, now, ctx=None):
    """Quarantine a request; ``ctx`` is given if this gateway observed the crash."""
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
