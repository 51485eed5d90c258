"""Where this gateway's view of the store comes from, for the lines of its log."""

import operator
from typing import NamedTuple

STORE = "store"


class Taken(NamedTuple):
    """What was last taken into the view of a topic.

    ``begin`` and ``end`` are how far the view reached before and after, as offsets;
    ``source`` is `STORE` or the host of a peer. ``is_listing`` tells a listing of
    what exists from records that changed. ``at`` is on the steady clock.
    """

    begin: int
    end: int
    source: str
    is_listing: bool
    at: float


def is_newer(report, state):
    """Return whether a peer's report shows a view that knows more than ours.

    Offsets tell how far both have read; what that brought may differ, where one took
    its view from records that are no longer all there.
    """
    if report.catalog_version > get_version(state):
        return True
    return any(map(operator.gt, report.view_offsets, state.view_offsets))


def get_version(state):
    """Return the version of the configuration in force, 0 for none."""
    return state.catalog.version if state.catalog else 0


def describe_view(state, now):
    """Return the fields that tell how old the view of the instances is, and why."""
    age = state.freshness.get_age(now)
    fields = {
        "view_offset": state.directory_offset,
        "view_age_s": None if age is None else round(age, 3),
        "reads_store": state.reads_store,
    }
    update = state.taken.get(state.instance_topic)
    if update is not None:
        fields["view_from"] = update.source
        fields["view_listed"] = update.is_listing
        fields["view_taken_s"] = round(now - update.at, 3)
    return fields


def describe_catalog(state, now):
    """Return the fields that tell by which configuration, how old, was decided."""
    age = state.freshness.get_age(now)
    since = state.catalog_since
    update = state.taken.get(state.catalog_topic)
    peers = state.members.get_live(now)
    return {
        "peers_version": max(
            (row.report.catalog_version for row in peers), default=None
        ),
        "catalog_offset": state.catalog_offset,
        "in_force_s": None if since is None else round(now - since, 3),
        "view_age_s": None if age is None else round(age, 3),
        "view_from": None if update is None else update.source,
        "reads_store": state.reads_store,
    }


def describe_upstream(state, instance_id, now):
    """Return the fields that tell by what an upstream is believed to take work.

    They are its record and what it answered last, with their ages.
    """
    answered = state.loads.get(instance_id, now).answered
    answer_age = None if answered is None else round(now - answered, 3)
    record = state.directory.get_noted(instance_id)
    if record is None:
        return {"upstream_offset": None, "upstream_answered_s": answer_age}
    return {
        "upstream_answered_s": answer_age,
        "upstream_offset": record.offset,
        "upstream_known_s": round(now - record.at, 3),
    }
