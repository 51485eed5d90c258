"""Authentication of operators, and which resources they may view and change."""

import hashlib
import hmac
from typing import NamedTuple

_ROLES = ("viewer", "operator", "admin")
ROOT = "root"


class Operator(NamedTuple):
    """An authenticated operator; ``partner`` is `ROOT` for the key in the settings."""

    partner: str
    role: str
    name: str


def find_operator(headers, configuration, root_hash):
    """Return the `Operator` of the bearer key in ``headers``, or None."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        return None
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    if root_hash and hmac.compare_digest(digest, root_hash):
        return Operator(ROOT, "admin", ROOT)
    for res in configuration.resources["partners"].values():
        for entry in res.spec["keys"]:
            if hmac.compare_digest(entry["sha256"], digest):
                name = entry.get("name", digest[:8])
                return Operator(res.name, entry["role"], name)
    return None


def get_partner(configuration, kind, name, spec):
    """Return the partner that a resource belongs to, or None if unknown."""
    if kind == "partners":
        return name
    if spec is None:
        return None
    if "partner" in spec:
        return spec["partner"]
    reference = {"shares": ("client-accounts", "account")}.get(
        kind, ("upstreams", "upstream")
    )
    res = configuration.get(reference[0], spec.get(reference[1], ""))
    return res.spec["partner"] if res else None


def can_view(operator, partner):
    """Return whether the operator may view a resource of ``partner``."""
    return operator.partner == ROOT or operator.partner == partner


def can_change(operator, kind):
    """Return whether the operator's role allows changes to resources of ``kind``."""
    needed = "admin" if kind == "partners" else "operator"
    return _ROLES.index(operator.role) >= _ROLES.index(needed)
