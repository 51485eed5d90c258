"""The followers of the store's topics, and the view that they serve to peers."""

from typing import NamedTuple
from urllib.parse import parse_qs

from .follower import TopicFollower
from .view_sync import VIEW_PATH, encode_view, make_topic_view, parse_position

_MEMBERS_CHECK_S = 0.3


class Followers(NamedTuple):
    """One follower per topic of the store."""

    catalog: TopicFollower
    instances: TopicFollower
    quarantine: TopicFollower
    members: TopicFollower


def create_followers(state, adapter, read_policy, updater, on_restored):
    """Return the `Followers` whose records a `views.ViewUpdater` applies.

    ``on_restored`` is called after the store was restored from a copy.
    """

    def ignore(*_):
        pass

    state.catalog_topic = adapter.catalog_topic
    state.instance_topic = adapter.instance_topic

    def follow(
        topic,
        apply,
        on_merged=ignore,
        is_wanted=read_policy.reads_store,
        on_complete=state.record_store_response,
        poll=read_policy.get_poll,
        on_recovered=state.lapsed_records.mark_store_recovered,
        wait_until_wanted=read_policy.wait_until_reading,
        **options,
    ):
        return TopicFollower(
            adapter.store,
            topic,
            apply,
            on_merged,
            state.log,
            poll,
            state.clock,
            is_wanted,
            on_complete,
            on_recovered,
            state.record_view_update,
            state.pause_detector.get_total,
            wait_until_wanted,
            **options,
        )

    def is_removal(entry, known):
        return known.value is None

    def mark_members_known(position):
        updater.mark_members_known(position)
        read_policy.mark_members_read()

    return Followers(
        follow(
            adapter.catalog_topic,
            updater.apply_catalog,
            updater.record_catalog_position,
            rank=updater.rank_catalog,
            keeps=lambda entry: True,
            withholds=is_removal,
            on_restored=lambda unconfirmed, withheld: on_restored(),
        ),
        follow(
            adapter.instance_topic,
            updater.apply_instance,
            updater.record_directory_position,
            # Upstreams that the store lacks are retained as lapsed ones.
            withholds=updater.withholds_instance,
        ),
        follow(
            adapter.quarantine_topic,
            updater.apply_quarantine,
            updater.record_quarantine_position,
            # The other two topics determine the age of the view and the outages of the
            # store.
            on_complete=ignore,
            poll=lambda: state.cfg.store.quarantine_poll,
            on_recovered=ignore,
            keeps=lambda entry: True,
            withholds=is_removal,
            on_restored=updater.restore_quarantines,
        ),
        follow(
            adapter.member_topic,
            updater.apply_member,
            mark_members_known,
            read_policy.should_read_members,
            ignore,
            poll=lambda: 0.0,
            wait_until_wanted=lambda stopped: stopped.wait(_MEMBERS_CHECK_S),
            is_done=read_policy.has_read_members,
        ),
    )


def create_view_handler(state, followers):
    """Return the handler that serves this gateway's view, or its changes, to peers."""

    def handle(request, reply):
        # A peer assumes that the returned view is complete.
        if request.path != VIEW_PATH or not state.is_view_complete:
            reply.send(404, [], b"")
            return
        now = state.clock()
        # Computed before the records are collected. Records that arrive in between
        # only make the view newer than this age.
        age = state.freshness.get_age(now)
        data = encode_view(
            make_topic_view(followers.catalog, _get_position(request, "catalog")),
            make_topic_view(followers.instances, _get_position(request, "instances")),
            state.lapsed_records.get_recovery_age(now),
            -1.0 if age is None else age,
            make_topic_view(followers.quarantine, _get_position(request, "quarantine")),
        )
        reply.send(200, [("Content-Type", "application/msgpack")], data)

    return handle


def _get_position(request, name):
    query = parse_qs(request.target.partition("?")[2])
    return parse_position(query.get(name, [""])[-1])
