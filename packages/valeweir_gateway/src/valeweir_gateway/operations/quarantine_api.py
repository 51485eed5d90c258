"""HTTP API for operators that lists and releases quarantined requests and parts."""

import msgspec

from ..quarantine import crash_attribution
from ..quarantine.fingerprints import format_fingerprint, parse_fingerprint

QUARANTINE_PATH = "/fleet/quarantine"


def create_quarantine_handler(state):
    """Return the handler that lists quarantined requests and parts and releases one.

    ``GET`` of the path returns a list. ``DELETE`` of the path and a fingerprint
    releases that request at every gateway; the status is 204, or 404 if the request
    is not quarantined.
    """

    def handle(request, reply):
        if request.method == "DELETE":
            released = _release(state, request.path.removeprefix(f"{QUARANTINE_PATH}/"))
            reply.send(204 if released else 404, [], b"")
            return
        if request.method != "GET" or request.path != QUARANTINE_PATH:
            reply.send(404, [], b"")
            return
        now = state.clock()
        rows = state.quarantine.get_all().items()
        reply.send_json(
            200, [_encode_entry(state, key, entry, now) for key, entry in rows]
        )

    return handle


def _release(state, fingerprint_text):
    try:
        fingerprint = parse_fingerprint(fingerprint_text)
    except ValueError:
        return False
    return crash_attribution.release(state, fingerprint)


def _encode_entry(state, fingerprint, entry, now):
    return {
        "refused_here": state.quarantine.get_refusal_count(fingerprint),
        "fingerprint": format_fingerprint(fingerprint),
        "held_for_s": round(now - entry.since, 1),
        "next_trial_s": None if entry.due is None else round(entry.due - now, 1),
        **msgspec.structs.asdict(entry.record),
    }
