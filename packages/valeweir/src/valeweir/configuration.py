"""Builds the current configuration from the records of the platform's log.

Every router applies the same records in the same order with the same code, so all
routers accept and reject the same changes. The configuration never moves back to an
earlier offset: `Configuration.adopt` accepts only a later view.
"""

from typing import NamedTuple

import msgspec

from .resources import KINDS, Change, Resource, check_spec

_MAX_VERDICT_COUNT = 20_000


class Verdict(NamedTuple):
    """The result of one change; ``why`` is empty if the change was accepted."""

    accepted: bool
    why: str
    version: int


class View(msgspec.Struct, frozen=True):
    """The whole configuration up to an offset, as sent to peers and in snapshots.

    ``offset`` is the next offset to read. ``verdicts`` maps the ids of the latest
    changes to their results, so that a repeated change is recognised.
    """

    offset: int
    resources: list[Resource]
    verdicts: dict[str, Verdict]


class Configuration:
    """The current configuration of one router."""

    def __init__(self):
        self.offset = 0
        self.resources = {kind: {} for kind in KINDS}
        self.verdicts = {}

    def apply_change(self, offset, change):
        """Apply the record at ``offset`` and return its `Verdict`.

        ``change`` is None for a record without a change. A record that was applied
        before changes nothing; the result is its recorded verdict, or None if that
        has been dropped.
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
        """Replace the configuration by a later view; return False for an older one."""
        if view.offset <= self.offset:
            return False
        self.offset = view.offset
        self.resources = {kind: {} for kind in KINDS}
        for res in view.resources:
            self.resources[res.kind][res.name] = res
        self.verdicts = dict(view.verdicts)
        return True

    def get_view(self):
        """Return the configuration as a `View` for a snapshot or a peer."""
        resources = [r for kind in KINDS for r in self.resources[kind].values()]
        return View(self.offset, resources, dict(self.verdicts))

    def get(self, kind, name):
        """Return a resource, or None if it does not exist."""
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
        # Other users of the log and later versions write records of other forms.
        return "other", None
