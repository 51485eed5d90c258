"""Finds events at a gateway that may have caused the failure of a request.

Each rule checks one log line of the same gateway and returns a sentence, or None if
the line does not explain the outcome of the request.
"""

from typing import NamedTuple

from .loglines import LogLine

# Log fields with the time from the arrival of a request to its log line.
_DURATION_FIELDS = ("held_ms", "took_ms", "waited_ms")
# Events count as causes up to this long before the arrival or after the end of a
# request.
_MAX_CAUSE_DISTANCE_S = 2.0
# A configuration counts as late if it comes into force within this time after the end
# of a denied request.
_MAX_CONFIGURATION_DELAY_S = 10.0
_DENIAL_STATUSES = frozenset((401, 403, 404))
# Reason of a refusal if all upstreams have asked this gateway to back off.
_ALL_BACKING_OFF_REASON = "upstreams-backing-off"
# Separates the id of an upstream from the start time of one of its instances.
_INSTANCE_SEPARATOR = "@"


class Cause(NamedTuple):
    """A log line and the sentence that explains its effect on a request."""

    line: LogLine
    text: str


class _RequestSpan(NamedTuple):
    """The time that a request spent at one gateway, and how it was handled there.

    Times are timestamps of the log. ``instance_ids`` holds the upstream instances that
    the log lines of the request name, whether it was sent to them or refused.
    ``is_denied`` is True if the request was refused as unauthorized, forbidden or not
    found. ``all_backing_off`` is True if all upstreams that could serve the request had
    asked the gateway to back off.
    """

    host: str
    arrived: float
    ended: float
    instance_ids: frozenset
    is_denied: bool
    all_backing_off: bool


def find_causes(lines, request_id):
    """Return the list of `Cause` of a request, ordered by time.

    Parameters
    ----------
    lines : list of LogLine
        Log lines of all gateways, ordered by time.
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
    """Return {host: `_RequestSpan`} from the log lines of a request."""
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
    if not _overlaps(line, span, seconds):
        return None
    return (
        f"the gateway process did not run for {seconds:.3g} s: it was stopped, "
        f"suspended or short of CPU time"
    )


def _explain_bad_record(line, span):
    key = line.fields.get("key")
    is_used_upstream = any(
        _get_upstream_id(instance_id) == key for instance_id in span.instance_ids
    )
    if not is_used_upstream or not _is_near(line, span):
        return None
    return (
        f"another writer corrupted the record of upstream {key}, so it gets no new "
        f"requests"
    )


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
    return f"upstream {earlier[0]} had ended and restarted as {new_id}"


def _explain_late_configuration(line, span):
    delay = line.timestamp - span.ended
    if not span.is_denied or not 0.0 <= delay <= _MAX_CONFIGURATION_DELAY_S:
        return None
    version = line.fields.get("version")
    return (
        f"version {version} of the configuration came into force only {delay:.2f} s "
        f"later"
    )


def _explain_unanswered_call(line, span):
    waited = line.fields.get("waited_s") or 0.0
    if not span.is_denied or not _overlaps(line, span, waited):
        return None
    return (
        f"the gateway had waited {waited:.3g} s for a store that did not respond, so "
        f"its view was outdated"
    )


def _explain_outdated_view(line, span):
    seconds = line.fields.get("outdated_s") or 0.0
    if not _overlaps(line, span, seconds):
        return None
    return (
        f"the gateway's view was older than allowed for {seconds:.3g} s, so it may not "
        f"have known the newest configuration"
    )


def _explain_leaving(line, span):
    instance_id = line.fields.get("upstream")
    source = line.fields.get("source")
    if source not in _UNCONFIRMED_SOURCES or instance_id not in span.instance_ids:
        return None
    if not _is_near(line, span):
        return None
    how = "in a response" if source == "answer" else "to another gateway"
    return (
        f"upstream {instance_id} announced {how} that it is leaving, so it gets no new "
        f"requests"
    )


def _explain_backoff(line, span):
    instance_id = line.fields.get("upstream")
    seconds = line.fields.get("seconds") or 0.0
    if not span.all_backing_off and instance_id not in span.instance_ids:
        return None
    if line.timestamp > span.ended or line.timestamp + seconds < span.arrived:
        return None
    return (
        f"upstream {instance_id} had asked this gateway to back off for {seconds:.3g} s"
    )


def _explain_older_version(line, span):
    if not span.is_denied or not _is_near(line, span):
        return None
    fields = line.fields
    return (
        f"version {fields.get('version')} of the configuration arrived after version "
        f"{fields.get('in_force')}, which stayed in force"
    )


def _overlaps(line, span, seconds):
    """Return whether the ``seconds`` before a log line overlap a request."""
    return line.timestamp >= span.arrived and line.timestamp - seconds <= span.ended


def _is_near(line, span):
    return (
        span.arrived - _MAX_CAUSE_DISTANCE_S
        <= line.timestamp
        <= span.ended + _MAX_CAUSE_DISTANCE_S
    )


def _get_upstream_id(instance_id):
    return instance_id.partition(_INSTANCE_SEPARATOR)[0]


# Sources that announce the leaving of an upstream before its record may show it.
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
    "view recent": _explain_outdated_view,
}
