"""What a gateway went through around a request that may be why it failed.

Each rule looks at one line of the same gateway's log and returns a sentence, or None
where the line has no part in the request's fate.
"""

from typing import NamedTuple

from .loglines import LogLine

# Fields that say how long a request had been here when its line was written.
_DURATION_FIELDS = ("held_ms", "took_ms", "waited_ms")
# Seconds before a request's arrival in which what its gateway learned still counts.
_MAX_CAUSE_DISTANCE_S = 2.0
# Seconds after its end in which a gateway learns what it should have known.
_MAX_CONFIGURATION_DELAY_S = 10.0
_DENIAL_STATUSES = frozenset((401, 403, 404))
# The reason of a refusal where no upstream may be sent anything for now.
_ALL_BACKING_OFF_REASON = "upstreams-backing-off"
# Stands between the id of an upstream and the start of one of its lives.
_INSTANCE_SEPARATOR = "@"


class Cause(NamedTuple):
    """A line of a gateway, and what it says about a request."""

    line: LogLine
    text: str


class _RequestSpan(NamedTuple):
    """What is known of a request at one gateway; times are those of the log.

    ``instance_ids`` holds the lives that it was sent to or refused beside,
    ``is_denied`` whether it was refused for what it asks, ``all_backing_off`` whether
    all upstreams that could serve had asked for a pause.
    """

    host: str
    arrived: float
    ended: float
    instance_ids: frozenset
    is_denied: bool
    all_backing_off: bool


def find_causes(lines, request_id):
    """Return the `Cause` list of a request, in order of time.

    Parameters
    ----------
    lines : list of LogLine
        Of all gateways, in order of time.
    """
    spans = _find_spans(line for line in lines if line.request_id == request_id)
    causes = []
    for line in lines:
        span = spans.get(line.host)
        rule = _RULES.get(line.event)
        if span is None or rule is None:
            continue
        text = rule(line, span)
        if text is not None:
            causes.append(Cause(line, text))
    return causes


def _find_spans(request_lines):
    """Return {host: `_RequestSpan`} of a request's lines."""
    spans = {}
    for line in request_lines:
        duration_ms = max((line.fields.get(name) or 0.0) for name in _DURATION_FIELDS)
        arrived = line.timestamp - duration_ms / 1000.0
        instance_id = line.fields.get("upstream")
        span = _RequestSpan(
            line.host,
            arrived,
            line.timestamp,
            frozenset([instance_id] if instance_id else ()),
            line.fields.get("status") in _DENIAL_STATUSES,
            line.fields.get("why") == _ALL_BACKING_OFF_REASON,
        )
        existing = spans.get(line.host)
        spans[line.host] = span if existing is None else _merge_spans(existing, span)
    return spans


def _merge_spans(first, second):
    return _RequestSpan(
        first.host,
        min(first.arrived, second.arrived),
        max(first.ended, second.ended),
        first.instance_ids | second.instance_ids,
        first.is_denied or second.is_denied,
        first.all_backing_off or second.all_backing_off,
    )


def _explain_stall(line, span):
    seconds = line.fields.get("seconds") or 0.0
    if line.timestamp < span.arrived or line.timestamp - seconds > span.ended:
        return None
    return f"the gateway stood still for {seconds:.3g} s: paused, suspended or crowded"


def _explain_bad_record(line, span):
    key = line.fields.get("key")
    is_used_upstream = any(
        _get_upstream_id(instance_id) == key for instance_id in span.instance_ids
    )
    if not is_used_upstream or not _is_near(line, span):
        return None
    return f"another writer spoilt the record of upstream {key}: no new work goes there"


def _explain_restart(line, span):
    new_id = line.fields.get("upstream") or ""
    earlier = [
        instance_id
        for instance_id in span.instance_ids
        if instance_id != new_id
        and _get_upstream_id(instance_id) == _get_upstream_id(new_id)
    ]
    if not earlier or not _is_near(line, span):
        return None
    return f"upstream {earlier[0]} had ended and started anew as {new_id}"


def _explain_late_configuration(line, span):
    delay = line.timestamp - span.ended
    if not span.is_denied or not 0.0 <= delay <= _MAX_CONFIGURATION_DELAY_S:
        return None
    version = line.fields.get("version")
    return (
        f"version {version} of the configuration was in force only {delay:.2f} s later"
    )


def _explain_unanswered_call(line, span):
    waited = line.fields.get("waited_s") or 0.0
    if (
        not span.is_denied
        or line.timestamp < span.arrived
        or line.timestamp - waited > span.ended
    ):
        return None
    return f"the gateway had waited {waited:.3g} s for a silent store: its view was old"


def _explain_leaving(line, span):
    instance_id = line.fields.get("upstream")
    source = line.fields.get("source")
    if source not in _UNCONFIRMED_SOURCES or instance_id not in span.instance_ids:
        return None
    if not _is_near(line, span):
        return None
    how = "in an answer" if source == "answer" else "to another gateway"
    return f"upstream {instance_id} said {how} that it leaves: no new work goes there"


def _explain_backoff(line, span):
    instance_id = line.fields.get("upstream")
    seconds = line.fields.get("seconds") or 0.0
    if not span.all_backing_off and instance_id not in span.instance_ids:
        return None
    if line.timestamp > span.ended or line.timestamp + seconds < span.arrived:
        return None
    return (
        f"upstream {instance_id} had asked this gateway for a pause of {seconds:.3g} s"
    )


def _explain_older_version(line, span):
    if not span.is_denied or not _is_near(line, span):
        return None
    fields = line.fields
    return (
        f"version {fields.get('version')} of the configuration came behind version "
        f"{fields.get('in_force')}, which stayed in force"
    )


def _is_near(line, span):
    return (
        span.arrived - _MAX_CAUSE_DISTANCE_S
        <= line.timestamp
        <= span.ended + _MAX_CAUSE_DISTANCE_S
    )


def _get_upstream_id(instance_id):
    return instance_id.partition(_INSTANCE_SEPARATOR)[0]


# Sources of an upstream's leaving that its record may not confirm yet.
_UNCONFIRMED_SOURCES = frozenset(("answer", "peer"))
_RULES = {
    "upstream leaving": _explain_leaving,
    "upstream backoff": _explain_backoff,
    "configuration not newer": _explain_older_version,
    "process stalled": _explain_stall,
    "bad record": _explain_bad_record,
    "upstream ready": _explain_restart,
    "configuration in force": _explain_late_configuration,
    "store call unanswered": _explain_unanswered_call,
}
