"""Origin and age of this gateway's view of the store, as fields for its log."""

import operator
from typing import NamedTuple

from .stores import Position
from .transport.limits import ClientLimits

STORE = "store"


class ViewUpdate(NamedTuple):
    """The last update of the view of a topic.

    ``begin`` and ``end`` are the ends of the view before and after the update.
    ``source`` is `STORE` or the host of a peer. ``is_listing`` is true for a listing of
    all keys and false for a batch of changes. ``at`` is on the monotonic clock.
    """

    begin: Position
    end: Position
    source: str
    is_listing: bool
    at: float


def is_newer(report, state):
    """Return whether a peer's view is newer than ours, according to its report.

    The version of the configuration is compared as well as the positions. At the same
    position two gateways may have different versions if one of them read the topic
    after some of its records had been deleted.
    """
    if report.catalog_version > get_version(state):
        return True
    return any(map(operator.gt, report.view_positions, state.view_positions))


def get_version(state):
    """Return the version of the current configuration, 0 if there is none."""
    return state.catalog.version if state.catalog else 0


def get_client_limits(state):
    """Return the `ClientLimits` in force, the default ones before a configuration."""
    return state.catalog.limits.clients if state.catalog else ClientLimits()


def describe_view(state, now):
    """Return log fields on the age and the origin of the view of the instances."""
    fields = {
        "view_era": state.directory_position.era,
        "view_offset": state.directory_position.offset,
        "view_age_s": state.freshness.get_rounded_age(now),
        "reads_store": state.reads_store,
    }
    update = state.view_updates.get(state.instance_topic)
    if update is not None:
        fields["view_from"] = update.source
        fields["view_listed"] = update.is_listing
        fields["view_taken_s"] = round(now - update.at, 3)
    return fields


def describe_catalog(state, now):
    """Return log fields on the configuration used for a decision, and on its age."""
    since = state.catalog_since
    update = state.view_updates.get(state.catalog_topic)
    peers = state.members.get_live(now)
    return {
        "peers_version": max(
            (row.report.catalog_version for row in peers), default=None
        ),
        "catalog_era": state.catalog_position.era,
        "catalog_offset": state.catalog_position.offset,
        "in_force_s": None if since is None else round(now - since, 3),
        "view_age_s": state.freshness.get_rounded_age(now),
        "view_from": None if update is None else update.source,
        "reads_store": state.reads_store,
    }


def describe_upstream(state, instance_id, now):
    """Return log fields on the evidence that an upstream accepts requests.

    These are the version, offset and age of its record and the age of its last
    response.
    """
    responded_at = state.loads.get(instance_id, now).responded_at
    response_age = None if responded_at is None else round(now - responded_at, 3)
    record = state.directory.get_record_position(instance_id)
    instance = state.directory.by_id.get(instance_id)
    if record is None or instance is None:
        return {"upstream_offset": None, "upstream_answered_s": response_age}
    return {
        "upstream_version": instance.version,
        "upstream_answered_s": response_age,
        "upstream_offset": record.offset,
        "upstream_known_s": round(now - record.at, 3),
    }
