"""What a gateway went through around a request that may be why it failed.

Each rule looks at one line of the same gateway's log and returns a sentence, or None
where the line has no part in the request's fate.
"""

from typing import NamedTuple

from .loglines import LogLine

# Fields that say how long a request had been here when its line was written.
_DURATIONS = ("held_ms", "took_ms", "waited_ms")
# Seconds before a request's arrival in which what its gateway learned still counts.
_BEFORE = 2.0
# Seconds after its end in which a gateway learns what it should have known.
_AFTER = 10.0
_DENIALS = frozenset((401, 403, 404))
# The reason of a refusal where no upstream may be sent anything for now.
_ALL_PAUSED = "upstreams-backing-off"
# Stands between the id of an upstream and the start of one of its lives.
_LIFE_MARK = "@"


class Cause(NamedTuple):
    """A line of a gateway, and what it says about a request."""

    line: LogLine
    text: str


class _Fate(NamedTuple):
    """What is known of a request at one gateway; times are those of the log.

    ``upstreams`` holds the lives that it was sent to or refused beside, ``is_denied``
    whether it was refused for what it asks, ``is_paused`` whether all upstreams that
    could serve had asked for a pause.
    """

    host: str
    arrived: float
    ended: float
    upstreams: frozenset
    is_denied: bool
    is_paused: bool


def find_causes(lines, request_id):
    """Return the `Cause` list of a request, in order of time.

    Parameters
    ----------
    lines : list of LogLine
        Of all gateways, in order of time.
    """
    fates = _find_fates(line for line in lines if line.request_id == request_id)
    causes = []
    for line in lines:
        fate = fates.get(line.host)
        rule = _RULES.get(line.event)
        if fate is None or rule is None:
            continue
        text = rule(line, fate)
        if text is not None:
            causes.append(Cause(line, text))
    return causes


def _find_fates(own):
    """Return {host: `_Fate`} of a request's lines."""
    fates = {}
    for line in own:
        waited = max((line.fields.get(name) or 0.0) for name in _DURATIONS)
        arrived = line.at - waited / 1000.0
        upstream = line.fields.get("upstream")
        fate = _Fate(
            line.host,
            arrived,
            line.at,
            frozenset([upstream] if upstream else ()),
            line.fields.get("status") in _DENIALS,
            line.fields.get("why") == _ALL_PAUSED,
        )
        known = fates.get(line.host)
        fates[line.host] = fate if known is None else _join(known, fate)
    return fates


def _join(first, second):
    return _Fate(
        first.host,
        min(first.arrived, second.arrived),
        max(first.ended, second.ended),
        first.upstreams | second.upstreams,
        first.is_denied or second.is_denied,
        first.is_paused or second.is_paused,
    )


def _explain_stall(line, fate):
    seconds = line.fields.get("seconds") or 0.0
    if line.at < fate.arrived or line.at - seconds > fate.ended:
        return None
    return f"the gateway stood still for {seconds:.3g} s: paused, suspended or crowded"


def _explain_bad_record(line, fate):
    key = line.fields.get("key")
    is_its_own = any(_get_id(upstream) == key for upstream in fate.upstreams)
    if not is_its_own or not _is_around(line, fate):
        return None
    return f"another writer spoilt the record of upstream {key}: no new work goes there"


def _explain_new_life(line, fate):
    life = line.fields.get("upstream") or ""
    earlier = [
        upstream
        for upstream in fate.upstreams
        if upstream != life and _get_id(upstream) == _get_id(life)
    ]
    if not earlier or not _is_around(line, fate):
        return None
    return f"upstream {earlier[0]} had ended and started anew as {life}"


def _explain_configuration(line, fate):
    late = line.at - fate.ended
    if not fate.is_denied or not 0.0 <= late <= _AFTER:
        return None
    version = line.fields.get("version")
    return (
        f"version {version} of the configuration was in force only {late:.2f} s later"
    )


def _explain_silence(line, fate):
    waited = line.fields.get("waited_s") or 0.0
    if not fate.is_denied or line.at < fate.arrived or line.at - waited > fate.ended:
        return None
    return f"the gateway had waited {waited:.3g} s for a silent store: its view was old"


def _explain_leaving(line, fate):
    upstream = line.fields.get("upstream")
    source = line.fields.get("source")
    if source not in _BESIDE_RECORDS or upstream not in fate.upstreams:
        return None
    if not _is_around(line, fate):
        return None
    how = "in an answer" if source == "answer" else "to another gateway"
    return f"upstream {upstream} said {how} that it leaves: no new work goes there"


def _explain_backoff(line, fate):
    upstream = line.fields.get("upstream")
    seconds = line.fields.get("seconds") or 0.0
    if not fate.is_paused and upstream not in fate.upstreams:
        return None
    if line.at > fate.ended or line.at + seconds < fate.arrived:
        return None
    return f"upstream {upstream} had asked this gateway for a pause of {seconds:.3g} s"


def _explain_older_version(line, fate):
    if not fate.is_denied or not _is_around(line, fate):
        return None
    fields = line.fields
    return (
        f"version {fields.get('version')} of the configuration came behind version "
        f"{fields.get('in_force')}, which stayed in force"
    )


def _is_around(line, fate):
    return fate.arrived - _BEFORE <= line.at <= fate.ended + _BEFORE


def _get_id(life):
    return life.partition(_LIFE_MARK)[0]


# Sources of an upstream's leaving that its record may not confirm yet.
_BESIDE_RECORDS = frozenset(("answer", "peer"))
_RULES = {
    "upstream leaving": _explain_leaving,
    "upstream backoff": _explain_backoff,
    "configuration not newer": _explain_older_version,
    "process stalled": _explain_stall,
    "bad record": _explain_bad_record,
    "upstream ready": _explain_new_life,
    "configuration in force": _explain_configuration,
    "store call unanswered": _explain_silence,
}
