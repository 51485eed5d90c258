"""The fold of the platform's log into the configuration in force.

Every router folds the same records in the same order with this function, so
all accept and refuse the same changes. The view never goes back: `adopt`
takes only a later one.
"""

from typing import NamedTuple

import msgspec

from .resources import KINDS, Change, Resource, check_spec

_MAX_VERDICT_COUNT = 20_000


class Verdict(NamedTuple):
    """What the fold made of one change; ``why`` is empty when accepted."""

    accepted: bool
    why: str
    version: int


class View(msgspec.Struct, frozen=True):
    """The whole configuration up to an offset, as routers and snapshots hold it.

    ``offset`` is the next offset to read; ``verdicts`` are the latest change
    ids with their outcome, so that a repeated change is seen as such.
    """

    offset: int
    resources: list[Resource]
    verdicts: dict[str, Verdict]


class Configuration:
    """The configuration in force at one router."""

    def __init__(self):
        self.offset = 0
        self.resources = {kind: {} for kind in KINDS}
        self.verdicts = {}

    def fold(self, offset, change):
        """Apply the record at ``offset``; return its `Verdict`.

        A record already folded is answered from memory and changes nothing.
        """
        if offset < self.offset:
            return self.verdicts.get(change.id) if change else None
        self.offset = offset + 1
        if change is None:
            return None
        earlier = self.verdicts.get(change.id)
        if earlier is not None:
            return earlier
        verdict = self._check_change(offset, change)
        self._record_verdict(change.id, verdict)
        if verdict.accepted:
            self._update_resource(offset, change)
        return verdict

    def adopt(self, view):
        """Take a later view whole; return False, unchanged, for an older one."""
        if view.offset <= self.offset:
            return False
        self.offset = view.offset
        self.resources = {kind: {} for kind in KINDS}
        for res in view.resources:
            self.resources[res.kind][res.name] = res
        self.verdicts = dict(view.verdicts)
        return True

    def get_view(self):
        """Return a `View` for a snapshot or a peer."""
        resources = [r for kind in KINDS for r in self.resources[kind].values()]
        return View(self.offset, resources, dict(self.verdicts))

    def get(self, kind, name):
        """Return a resource or None."""
        return self.resources[kind].get(name)

    def _check_change(self, offset, change):
        if change.kind not in self.resources:
            return Verdict(False, "unknown kind", 0)
        current = self.resources[change.kind].get(change.name)
        version = current.version if current else 0
        if change.base != version:
            return Verdict(False, "conflict", version)
        if change.spec is None:
            return Verdict(True, "", offset)
        if check_spec(change.kind, change.spec) is not None:
            return Verdict(False, "invalid", version)
        return Verdict(True, "", offset)

    def _update_resource(self, offset, change):
        by_name = self.resources[change.kind]
        if change.spec is None:
            by_name.pop(change.name, None)
            return
        current = by_name.get(change.name)
        created = current.created if current else offset
        by_name[change.name] = Resource(
            change.kind,
            change.name,
            offset,
            created,
            change.spec,
            change.author,
            change.at,
        )

    def _record_verdict(self, change_id, verdict):
        self.verdicts[change_id] = verdict
        if len(self.verdicts) > _MAX_VERDICT_COUNT:
            self.verdicts.pop(next(iter(self.verdicts)))


def decode_record(body):
    """Return ``("change", Change)``, ``("snapshot", View)`` or ``("other", None)``."""
    try:
        if "snapshot" in body:
            return "snapshot", msgspec.convert(body["snapshot"], View)
        return "change", msgspec.convert(body["change"], Change)
    except (msgspec.ValidationError, KeyError, TypeError):
        # Streams of other users of the log, or of versions to come.
        return "other", None
