"""Attribution of upstream crashes to requests, and their fleet-wide quarantine.

Without it, every gateway forwards each retry of a crashing request to another upstream
for as long as the client retries: ten upstreams crashed within eleven seconds, and nine
in ten of the lost responses were those of other clients. A part of prompts may crash
upstreams as well, whatever else its requests hold: twelve crashed within 20 seconds
under requests of which no two were the same.
"""

from typing import NamedTuple

from ..digests import get_digest
from ..refusals import Refusal
from .crashes import Crash
from .fingerprints import format_fingerprint, get_part_fingerprint
from .part_answers import Answer
from .records import QuarantineRecord, is_certain, is_confirmed, needs_quarantine

# Retry-After of a quarantined request that only an operator can release.
_OPERATOR_RETRY_AFTER_S = 60.0
_MIN_RETRY_AFTER_S = 0.2
# Older notices of peers do not eject the upstream, as it may have restarted by then.
_MAX_NOTICE_AGE_S = 0.7
_MAX_TARGET_CHARS = 200
_MAX_PART_CHARS = 80
# Suspect parts of one prompt; those that were never answered are preferred.
_MAX_SUSPECT_PARTS = 32


class Notice(NamedTuple):
    """An update for peers about a request or a part of prompts.

    ``crash`` is a `Crash` of it. If it is None, a request was cleared, or a part by the
    ``answer``.
    """

    fingerprint: int
    crash: Crash | None
    answer: Answer | None = None


class Trial(NamedTuple):
    """A send of a quarantined request, to one software version or, if None, to any."""

    fingerprint: int
    version: int | None


def get_part_fingerprints(ctx):
    """Return {fingerprint: id} of the parts of a prompt that others may share."""
    return {get_part_fingerprint(ctx.service, part): part for part in ctx.shared_parts}


def check_quarantine(state, ctx):
    """Return the `Refusal` of a quarantined request, or None if it may be sent.

    A request for which a trial is due has to claim it, see `claim_trial`.
    """
    if not state.quarantine:
        # Saves the digest of the request.
        return None
    quarantined = _find_quarantined(state, ctx)
    versions = {
        get_digest(instance.version)
        for instance in state.directory.get_ready(ctx.service)
    }
    held = [_keep_held(state, quarantined, version) for version in versions]
    if not quarantined or not versions or not all(held):
        return None
    ctx.trial = _find_due_trial(state, quarantined, versions)
    return None if ctx.trial else refuse_quarantined(state, ctx)


def _find_due_trial(state, quarantined, versions):
    """Return the `Trial` that a request with quarantined fingerprints may be, or None.

    If there are several, a response cannot tell which of them crashes upstreams.
    """
    entry = state.quarantine.get(quarantined[0])
    if entry is None or len(quarantined) > 1:
        return None
    version = entry.record.pick_trial_version(versions)
    if not entry.is_trial_due(state.clock(), version):
        return None
    return Trial(quarantined[0], version)


async def claim_trial(state, ctx):
    """Return None if an admitted request may be sent, or its `Refusal`.

    Of the requests for which a trial is due, only one in the fleet is sent.
    """
    if ctx.trial is None:
        return None
    entry = state.quarantine.get(ctx.trial.fingerprint)
    ctx.is_trial = await state.quarantine_store.claim_trial(*ctx.trial)
    if not ctx.is_trial:
        return refuse_quarantined(state, ctx)
    if entry is not None:
        described = _describe_trial(ctx, ctx.trial.fingerprint, entry.record)
        state.log.note("trial sent", **described)
    return None


def drop_quarantined(state, ctx, instances):
    """Return the instances to which a request may be sent."""
    if not state.quarantine:
        return instances
    quarantined = _find_quarantined(state, ctx)

    def may_receive(instance):
        version = get_digest(instance.version)
        if ctx.is_trial:
            return ctx.trial.version in (None, version)
        return not _keep_held(state, quarantined, version)

    return [instance for instance in instances if may_receive(instance)]


def _find_quarantined(state, ctx):
    """Return the quarantined fingerprints of a request and of its parts."""
    fingerprints = (ctx.fingerprint, *get_part_fingerprints(ctx))
    return [key for key in fingerprints if key in state.quarantine]


def _keep_held(state, fingerprints, version):
    """Return the quarantined fingerprints that a version must not receive."""
    return [key for key in fingerprints if not _is_sound(state, key, version)]


def _is_sound(state, fingerprint, version):
    """Return whether a version has answered a quarantined part since it crashed."""
    entry = state.quarantine.get(fingerprint)
    if entry is None:
        return True
    is_sound = version in entry.record.sound
    return is_sound and not _has_crashed_often(state, fingerprint, version)


def _has_crashed_often(state, fingerprint, version):
    count = state.suspects.get_version_crash_count(fingerprint, version)
    return needs_quarantine(count)


def refuse_quarantined(state, ctx):
    """Return the `Refusal` of a quarantined request, which is not run."""
    now = state.clock()
    parts = get_part_fingerprints(ctx)
    retry_after = _MIN_RETRY_AFTER_S
    inputs = {"fingerprint": format_fingerprint(ctx.fingerprint)}
    for fingerprint in _find_quarantined(state, ctx):
        entry = state.quarantine.get(fingerprint)
        if entry is None:
            continue
        state.quarantine.record_refusal(fingerprint)
        due = _OPERATOR_RETRY_AFTER_S if entry.due is None else entry.due - now
        if due <= retry_after and len(inputs) > 1:
            continue
        retry_after = max(due, retry_after)
        inputs = {
            "fingerprint": format_fingerprint(fingerprint),
            "part": _truncate_part(parts.get(fingerprint)),
            "ended_upstreams": entry.record.upstreams,
            "trials": entry.record.trials,
            "held_since_s": round(now - entry.since, 1),
        }
    return Refusal(503, "quarantined", retry_after=retry_after, inputs=inputs)


async def on_connection_broken(state, ctx, instance, sent, is_proved=False):
    """Record a crash if the upstream of a broken connection has terminated.

    Parameters
    ----------
    sent : float
        When the request was sent.
    is_proved : bool
        Whether the response had gone on for long enough to clear the parts of the
        prompt, see `part_answers`.
    """
    ended = state.clock()
    if not await state.upstream_exits.has_exited(instance, sent):
        return
    state.metrics.upstream_ends.inc()
    crash = Crash(get_digest(instance.id), sent, ended)
    # First, as parts are shared by requests that other gateways are about to send.
    if not is_proved:
        _record_part_crashes(state, ctx, instance, crash)
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
        _quarantine(state, ctx.fingerprint, count, ended, ctx)


def _record_part_crashes(state, ctx, instance, crash):
    """Record a crash for the parts of a prompt that was beginning to be answered."""
    now = crash.ended
    version = get_digest(instance.version)
    parts = get_part_fingerprints(ctx)
    answered = {key for key in parts if state.part_answers.is_recent(key, version, now)}
    for fingerprint in sorted(parts, key=answered.__contains__)[:_MAX_SUSPECT_PARTS]:
        part_crash = crash._replace(
            version=version,
            request=ctx.fingerprint & 0xFFFF_FFFF,
            was_answered=fingerprint in answered,
        )
        state.notices.append(Notice(fingerprint, part_crash))
        count = _add_part_crash(state, fingerprint, part_crash, now)
        if count is None:
            continue
        if count.upstreams > 1:
            state.log.note(
                "upstream ended under part",
                failed=True,
                id=ctx.id,
                upstream=instance.id,
                part=_truncate_part(parts[fingerprint]),
                upstreams=count.upstreams,
                runs=count.runs,
                was_answered=count.was_answered,
                **_describe_request(ctx, fingerprint),
            )
        if _is_part_to_blame(state, fingerprint, count):
            _quarantine(state, fingerprint, count, now, ctx, parts[fingerprint])


def _add_part_crash(state, fingerprint, crash, now):
    """Record a crash for a part; return the new `CrashCount`, or None if unchanged."""
    if state.part_answers.disproves(fingerprint, crash):
        return None
    return state.suspects.add(fingerprint, crash, now)


def _is_part_to_blame(state, fingerprint, count):
    """Return whether a part is quarantined.

    One that was answered before is not blamed for the crashes of another part, which
    its requests may share.
    """
    if not needs_quarantine(count):
        return False
    if not count.was_answered:
        return True
    causes = state.quarantine.get_all().keys()
    return needs_quarantine(state.suspects.get_crash_count(fingerprint, causes))


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


def on_parts_answered(state, fingerprints, instance, began):
    """Clear the parts of a prompt that an instance has answered.

    Parameters
    ----------
    fingerprints : iterable of int
        Those of the parts.
    began : float
        When the response began.
    """
    answer = Answer(get_digest(instance.version), began)
    for fingerprint in fingerprints:
        if not _clear_part(state, fingerprint, answer):
            continue
        state.notices.append(Notice(fingerprint, None, answer))
        if fingerprint in state.quarantine:
            state.quarantine_store.schedule_write(fingerprint, observed=True)
        else:
            state.quarantine_store.schedule_removal(fingerprint)


def confirm_pending_answers(state):
    """Clear the parts of prompts whose upstreams have not crashed after all."""
    for row in state.pending_answers.take_due(state.clock()):
        instance, began = row.instance, row.answer.began
        has_crashed = state.suspects.has_instance_crashed(
            get_digest(instance.id), began
        )
        if state.directory.is_ready(instance.id) and not has_crashed:
            on_parts_answered(state, row.fingerprints, instance, began)


def _clear_part(state, fingerprint, answer):
    """Record an answer to a part; return whether it was suspect or quarantined."""
    state.part_answers.record(fingerprint, answer)
    if not state.suspects and not state.quarantine:
        return False
    was_suspect = state.suspects.clear_part(fingerprint, *answer)
    entry = state.quarantine.get(fingerprint)
    if entry is None or answer.version in entry.record.sound:
        return was_suspect
    if _has_crashed_often(state, fingerprint, answer.version):
        # The response began before these crashes.
        return was_suspect
    record = entry.record.add_sound_version(answer.version)
    text = format_fingerprint(fingerprint)
    if record.is_disproved:
        state.quarantine.remove(fingerprint)
        state.quarantine_store.cancel_write(fingerprint)
        state.log.note("request released", why="answered", fingerprint=text)
    else:
        state.quarantine.put(fingerprint, record, state.clock())
        state.log.note("version sound", fingerprint=text, version=answer.version)
    return True


def apply_notice(state, notice, now):
    """Apply a peer's notice; return whether it is new to this gateway."""
    fingerprint, crash, answer = notice
    if answer is not None:
        return _clear_part(state, fingerprint, answer)
    if crash is None:
        was_suspect = state.suspects.clear_suspect(fingerprint, now)
        return state.quarantine.remove(fingerprint) or was_suspect
    _eject_upstream(state, crash, now)
    if crash.is_of_part:
        count = _add_part_crash(state, fingerprint, crash, now)
        to_blame = count is not None and _is_part_to_blame(state, fingerprint, count)
    else:
        count = state.suspects.add(fingerprint, crash, now)
        to_blame = count is not None and needs_quarantine(count)
    if to_blame:
        _quarantine(state, fingerprint, count, now)
    return count is not None


def apply_record(state, fingerprint, record, now):
    """Apply a record of the store; ``record`` is None when it was removed."""
    text = format_fingerprint(fingerprint)
    if record is None:
        state.suspects.clear_suspect(fingerprint, now)
        state.quarantine_store.cancel_write(fingerprint)
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
    confirm_pending_answers(state)
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


def _quarantine(state, fingerprint, count, now, ctx=None, part=None):
    """Quarantine a request, or a ``part`` of prompts.

    ``ctx`` is given if this gateway observed the crash.
    """
    versions = state.suspects.get_versions(fingerprint)
    record = QuarantineRecord(
        count.upstreams,
        count.runs,
        is_sure=_is_sure(state, fingerprint, count, now),
        account=ctx.account.name if ctx and ctx.account else None,
        target=ctx.request.target[:_MAX_TARGET_CHARS] if ctx else "",
        host=state.cfg.host,
        part=_truncate_part(part),
        service=ctx.service if part else None,
        versions=tuple(sorted(versions)),
        sound=_find_sound_versions(state, fingerprint, versions, now),
    )
    if state.quarantine.put(fingerprint, record, now):
        state.log.note(
            "request quarantined",
            source="observed" if ctx else "peers",
            fingerprint=format_fingerprint(fingerprint),
            **_describe_record(record),
        )
    state.quarantine_store.schedule_write(fingerprint, observed=ctx is not None)


def _is_sure(state, fingerprint, count, now):
    """Return whether nothing but a suspect can have caused its crashes."""
    quarantined = state.quarantine.get_all().keys()
    suspects = state.suspects
    unexplained = suspects.count_unexplained_crashes(fingerprint, quarantined, now)
    if not suspects.get_versions(fingerprint):
        return is_confirmed(count, unexplained)
    unexplained += suspects.has_rivals(fingerprint)
    own = suspects.get_crash_count(fingerprint, quarantined)
    return is_confirmed(own, unexplained) or is_certain(count)


def _find_sound_versions(state, fingerprint, crashed, now):
    """Return the versions that have answered a part of late and never crashed."""
    if not crashed:
        return ()
    known = {get_digest(row.version) for row in list(state.directory.by_id.values())}
    return tuple(
        sorted(
            version
            for version in known - crashed
            if state.part_answers.is_recent(fingerprint, version, now)
        )
    )


def _describe_record(record):
    return {
        "ended_upstreams": record.upstreams,
        "runs": record.runs,
        "trials": record.trials,
        "is_sure": record.is_sure,
        "account": record.account,
        "part": record.part,
    }


def _describe_request(ctx, fingerprint=None):
    return {
        "fingerprint": format_fingerprint(fingerprint or ctx.fingerprint),
        "route": ctx.route.name,
        "account": ctx.account.name if ctx.account else None,
    }


def _describe_trial(ctx, fingerprint, record):
    described = _describe_request(ctx, fingerprint)
    return {"id": ctx.id, "trials": record.trials, "part": record.part, **described}


def _truncate_part(part):
    return None if part is None else part[:_MAX_PART_CHARS]
