"""JSON documents of resources, merge patches and the OpenAPI document."""

import msgspec
from valeweir.resources import KINDS, SPECS


def make_document(res, status):
    """Return a document: ``spec`` is set by operators, ``status`` by the system."""
    return {
        "kind": res.kind,
        "name": res.name,
        "version": res.version,
        "spec": res.spec,
        "status": status,
        "changed_by": res.author,
        "changed_at": res.at,
    }


def merge_patch(target, patch):
    """Return ``target`` with a JSON merge patch applied (RFC 7396)."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def get_depth(value):
    """Return the nesting depth of a JSON value."""
    if isinstance(value, dict):
        return 1 + max((get_depth(v) for v in value.values()), default=0)
    if isinstance(value, list):
        return 1 + max((get_depth(v) for v in value), default=0)
    return 0


def make_openapi(version):
    """Return the OpenAPI document of the resource API."""
    schemas, components = msgspec.json.schema_components(
        [SPECS[kind] for kind in KINDS], ref_template="#/components/schemas/{name}"
    )
    paths = {}
    for kind, schema in zip(KINDS, schemas, strict=True):
        paths[f"/v1/{kind}"] = {"get": _make_operation(f"List or watch {kind}")}
        paths[f"/v1/{kind}/{{name}}"] = {
            "get": _make_operation(f"Read one of {kind}"),
            "put": _make_operation(f"Create or replace one of {kind}", schema),
            "patch": _make_operation(f"Merge-patch one of {kind}", schema),
            "delete": _make_operation(f"Delete one of {kind}"),
        }
    return {
        "openapi": "3.1.0",
        "info": {"title": "valeweir resource API", "version": version},
        "paths": paths,
        "components": {"schemas": components},
    }


def _make_operation(summary, schema=None):
    operation = {
        "summary": summary,
        "responses": {
            "200": {"description": "done"},
            "default": {"description": "a problem, RFC 9457"},
        },
    }
    if schema is not None:
        spec = {"type": "object", "properties": {"spec": schema}, "required": ["spec"]}
        operation["requestBody"] = {"content": {"application/json": {"schema": spec}}}
    return operation
