"""The resource API: list, get, put, patch, delete and watch.

A write is accepted when it has been appended to the platform's log and applied to the
configuration.
"""

import secrets
import time
from typing import NamedTuple

import msgspec
from valeweir import __version__
from valeweir.exceptions import PlatformUnavailable
from valeweir.resources import KINDS, Change, check_spec
from valeweir.settings import Name

from .access import can_change, can_view, find_operator, get_partner
from .documents import get_depth, make_document, make_openapi, merge_patch
from .problems import Problem, send_problem

_MAX_DEPTH = 16
_MAX_DOCUMENT_BYTES = 256 << 10
_MAX_PAGE_ITEM_COUNT = 500
_SUBMIT_TIMEOUT_S = 10.0
_WATCH_INTERVAL_S = 0.25
_MAX_WATCH_S = 300.0
_BOOKMARK_INTERVAL_S = 5.0


class ApiContext(NamedTuple):
    """The state and functions of the router that the API uses.

    ``submit(change, timeout)`` appends a change and returns its verdict.
    ``get_status(resource)`` returns the status part of a document.
    ``get_fleet()`` returns the router's view of the fleet.
    """

    configuration: object
    lock: object
    submit: object
    get_status: object
    get_fleet: object
    root_hash: str


class Target(NamedTuple):
    """The resource kind and name in the path; ``name`` is empty for a list."""

    kind: str
    name: str


def handle(api, request, response):
    """Handle a request of an operator."""
    if request.path == "/v1/openapi.json":
        response.send_json(200, make_openapi(__version__))
        return
    with api.lock:
        operator = find_operator(request.headers, api.configuration, api.root_hash)
    if operator is None:
        problem = Problem(401, "unknown-key", "send Authorization: Bearer KEY")
        send_problem(response, problem)
        return
    if request.path == "/v1/fleet" and request.method == "GET":
        response.send_json(200, api.get_fleet())
        return
    target = _parse_target(request.path)
    if isinstance(target, Problem):
        send_problem(response, target)
        return
    problem = _dispatch(api, operator, target, request, response)
    if problem is not None:
        send_problem(response, problem)


def _dispatch(api, operator, target, request, response):
    if request.method == "GET" and target.name:
        return _get_resource(api, operator, target, response)
    if request.method == "GET" and request.query.get("watch"):
        return _watch_resources(api, operator, target, request, response)
    if request.method == "GET":
        return _list_resources(api, operator, target, request, response)
    if request.method in ("PUT", "PATCH", "DELETE") and target.name:
        return _write_resource(api, operator, target, request, response)
    return Problem(405, "bad-method", f"{request.method} is not allowed for this path")


def _parse_target(path):
    parts = path.strip("/").split("/")
    if len(parts) not in (2, 3) or parts[0] != "v1" or parts[1] not in KINDS:
        return Problem(404, "unknown-path", f"there is no resource at {path}")
    name = parts[2] if len(parts) == 3 else ""
    if name:
        try:
            msgspec.convert(name, Name)
        except msgspec.ValidationError as exc:
            return Problem(400, "bad-name", str(exc))
    return Target(parts[1], name)


# -- reading -----------------------------------------------------------------


def _find_visible(api, operator, target):
    """Return the resource if it exists and is visible to the operator."""
    res = api.configuration.get(target.kind, target.name)
    if res is None or not _is_visible(api, operator, res):
        return None
    return res


def _is_visible(api, operator, res):
    partner = get_partner(api.configuration, res.kind, res.name, res.spec)
    return can_view(operator, partner)


def _get_resource(api, operator, target, response):
    with api.lock:
        res = _find_visible(api, operator, target)
        document = make_document(res, api.get_status(res)) if res else None
    if document is None:
        return Problem(404, "not-found", f"no {target.kind} {target.name}")
    response.send_json(200, document, [("ETag", f'"{res.version}"')])
    return None


def _list_resources(api, operator, target, request, response):
    after = request.query.get("after", "")
    limit = request.query.get("limit", str(_MAX_PAGE_ITEM_COUNT))
    if not limit.isdigit() or not 0 < int(limit) <= _MAX_PAGE_ITEM_COUNT:
        return Problem(
            400, "bad-limit", f"limit must be a number from 1 to {_MAX_PAGE_ITEM_COUNT}"
        )
    with api.lock:
        names = sorted(api.configuration.resources[target.kind])
        resources = [api.configuration.get(target.kind, n) for n in names if n > after]
        resources = [r for r in resources if _is_visible(api, operator, r)]
        page = resources[: int(limit)]
        items = [make_document(r, api.get_status(r)) for r in page]
        version = api.configuration.offset
    next_name = page[-1].name if len(resources) > len(page) else None
    response.send_json(200, {"version": version, "items": items, "next": next_name})
    return None


def _watch_resources(api, operator, target, request, response):
    """Stream the changes after a version, one JSON object per line."""
    since = request.query.get("from", "")
    with api.lock:
        offset = api.configuration.offset
    if since and (not since.isdigit() or int(since) > offset):
        return Problem(
            410, "too-old", "list the resources again and watch from that version"
        )
    seconds = request.query.get("seconds", str(int(_MAX_WATCH_S)))
    if not seconds.isdigit() or not 0 < int(seconds) <= _MAX_WATCH_S:
        return Problem(
            400, "bad-seconds", f"seconds must be a number from 1 to {_MAX_WATCH_S:g}"
        )
    start_offset = int(since) if since else offset
    with api.lock:
        seen_versions = {
            r.name: r.version
            for r in api.configuration.resources[target.kind].values()
            if r.version < start_offset and _is_visible(api, operator, r)
        }
    response.start_stream(200, [("Content-Type", "application/x-ndjson")])
    deadline = time.monotonic() + int(seconds)
    next_bookmark_time = 0.0
    while time.monotonic() < deadline and not response.is_disconnected():
        events, offset = _get_events(api, operator, target.kind, seen_versions)
        if not events and time.monotonic() >= next_bookmark_time:
            events = [{"type": "bookmark", "version": offset}]
        if events:
            next_bookmark_time = time.monotonic() + _BOOKMARK_INTERVAL_S
            lines = b"".join(msgspec.json.encode(e) + b"\n" for e in events)
            try:
                response.write(lines)
            except OSError:
                return None
        time.sleep(_WATCH_INTERVAL_S)
    return None


def _get_events(api, operator, kind, seen_versions):
    """Return the changes since ``seen_versions``, and update ``seen_versions``."""
    events = []
    with api.lock:
        offset = api.configuration.offset
        current = {
            name: res
            for name, res in api.configuration.resources[kind].items()
            if _is_visible(api, operator, res)
        }
        for name, res in current.items():
            if seen_versions.get(name) != res.version:
                document = make_document(res, api.get_status(res))
                events.append({"type": "changed", "version": offset, **document})
                seen_versions[name] = res.version
        for name in [n for n in seen_versions if n not in current]:
            events.append(
                {"type": "deleted", "kind": kind, "name": name, "version": offset}
            )
            del seen_versions[name]
    return events, offset


# -- writing -----------------------------------------------------------------


def _write_resource(api, operator, target, request, response):
    if not can_change(operator, target.kind):
        return Problem(403, "role", f"a {operator.role} may not change {target.kind}")
    change = _prepare_change(api, operator, target, request)
    if isinstance(change, Problem):
        return change
    if request.query.get("dry-run"):
        response.send_json(200, {"dry_run": True, "spec": change.spec})
        return None
    try:
        verdict = api.submit(change, _SUBMIT_TIMEOUT_S)
    except PlatformUnavailable as exc:
        text = f"the change was not accepted, nothing has changed: {exc}"
        return Problem(503, "log-unavailable", text, change_id=change.id)
    if verdict is None:
        text = "the change may still take effect; watch for its id or repeat it"
        return Problem(504, "unknown", text, change_id=change.id)
    if not verdict.accepted:
        return Problem(
            409, verdict.why, "another change was accepted first", verdict.version
        )
    return _send_write_response(api, target, change, verdict, response)


def _send_write_response(api, target, change, verdict, response):
    if change.spec is None:
        response.send_json(200, {"deleted": target.name, "version": verdict.version})
        return None
    with api.lock:
        res = api.configuration.get(target.kind, target.name)
        document = make_document(res, api.get_status(res)) if res else {}
    headers = [("ETag", f'"{verdict.version}"')]
    response.send_json(201 if change.base == 0 else 200, document, headers)
    return None


def _prepare_change(api, operator, target, request):
    """Return the `Change` to append to the log, or a `Problem`."""
    with api.lock:
        current = api.configuration.get(target.kind, target.name)
        visible = _find_visible(api, operator, target)
        if current is not None and visible is None:
            return Problem(404, "not-found", f"no {target.kind} {target.name}")
        if current is None and request.method != "PUT":
            return Problem(404, "not-found", f"no {target.kind} {target.name}")
        base = _get_base_version(request, current)
        if isinstance(base, Problem):
            return base
        spec = _get_spec(request, current)
        problem = spec if isinstance(spec, Problem) else None
        if problem is None and spec is not None:
            problem = _check_change_spec(api, operator, target, spec)
        if problem is None and spec is None:
            problem = _check_deletable(api, target)
    if problem is not None:
        return problem
    return Change(
        id=request.headers.get("X-Change-Id") or secrets.token_hex(8),
        kind=target.kind,
        name=target.name,
        base=base,
        spec=spec,
        author=f"{operator.partner}/{operator.name}",
        at=round(time.time(), 3),
    )


def _get_base_version(request, current):
    version = current.version if current else 0
    if_match = request.headers.get("If-Match")
    if if_match is None:
        return version
    text = if_match.strip('"')
    if not text.isdigit():
        return Problem(400, "bad-etag", "If-Match must contain a version in quotes")
    if int(text) != version:
        return Problem(409, "conflict", "another change was accepted first", version)
    return version


def _get_spec(request, current):
    if request.method == "DELETE":
        return None
    if len(request.body) > _MAX_DOCUMENT_BYTES:
        return Problem(
            413, "too-large", f"the document exceeds {_MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        body = msgspec.json.decode(request.body, type=dict)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Problem(400, "bad-json", str(exc))
    if get_depth(body) > _MAX_DEPTH:
        return Problem(
            400, "too-deep", f"the document has more than {_MAX_DEPTH} nested levels"
        )
    unknown = sorted(set(body) - {"spec", "kind", "name", "version", "status"})
    if unknown or not isinstance(body.get("spec"), dict):
        detail = (
            f"$.{unknown[0]} is an unknown field" if unknown else "$.spec is missing"
        )
        return Problem(400, "bad-document", detail)
    if request.method == "PATCH":
        return merge_patch(current.spec, body["spec"])
    return body["spec"]


def _check_change_spec(api, operator, target, spec):
    fault = check_spec(target.kind, spec)
    if fault is not None:
        return Problem(400, "bad-spec", f"$.spec: {fault}")
    partner = get_partner(api.configuration, target.kind, target.name, spec)
    if partner is None or not can_view(operator, partner):
        return Problem(
            404, "not-found", "the spec refers to a resource that does not exist"
        )
    if target.kind != "partners" and api.configuration.get("partners", partner) is None:
        return Problem(404, "not-found", f"no partners {partner}")
    return None


def _check_deletable(api, target):
    """Return a `Problem` if other resources refer to the target."""
    referrer = {
        "partners": ("client-accounts", "partner"),
        "client-accounts": ("shares", "account"),
        "upstreams": ("planned-changes", "upstream"),
    }.get(target.kind)
    if referrer is None:
        return None
    for res in api.configuration.resources[referrer[0]].values():
        if res.spec.get(referrer[1]) == target.name:
            return Problem(409, "in-use", f"{referrer[0]} {res.name} refers to it")
    return None
