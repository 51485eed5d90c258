"""Decision whether a gateway reads the store itself.

Calls of the store are expensive, so in a large fleet only the first relay of each
failure domain reads for all. The other gateways read only while the view that they get
from their relay is not known to be recent enough.
"""

import math
import threading

# Part of the time allowed for a leaving upstream that is needed to notice an old view
# (0.15 s), to call the store, to apply its answer and to send a request.
_READ_S = 0.6
# Age that a view gains on its way from the reading gateway: two hops, each with the
# interval of the heartbeat that carries the time stamp (0.3 s) and the ticks of loaded
# relays.
_RELAY_DELAY_S = 1.0
# The same in a mesh, where all gateways get reports from the frequent reader.
_MESH_DELAY_S = 0.4
_MAX_READER_POLL_S = 1.0
_MIN_POLL_S = 0.2
# At startup a gateway first waits for peers that have already read the store.
_MAX_MEMBERS_WAIT_S = 1.0
_MAX_VIEW_WAIT_S = 2.0
# Gateways that start at the same time have published their addresses by this time.
_SECOND_MEMBERS_READ_S = 2.5
_MAX_MEMBERS_READ_S = 5.0
_TEMPORARY_READ_S = 5.0
_CHECK_INTERVAL_S = 0.5


def get_allowed_delay(cfg):
    """Return the seconds within which every change must be in force."""
    return min(cfg.upstreams.leave_within_ms, cfg.store.change_within_ms) / 1000.0


def get_max_view_age(cfg):
    """Return the age in seconds above which a view is too old.

    At this age there is just enough time left to read the store. With an older view a
    leaving upstream could still get requests, and a change of the configuration could
    come into force too late.
    """
    return get_allowed_delay(cfg) - _READ_S


class StoreReadPolicy:
    """Decides by the fleet's plan and the age of the view whether to read the store."""

    def __init__(self, state, get_plan):
        self._state = state
        self._get_plan = get_plan
        self._reads = None
        self._started_at = state.clock()
        self._temporary_until = 0.0
        self._members_due_s = 0.0
        self._changed = threading.Condition()

    def reads_store(self):
        """Return whether this gateway reads the store now."""
        reads = self._should_read(self._state.clock())
        if reads != self._reads:
            with self._changed:
                self._reads = self._state.reads_store = reads
                self._changed.notify_all()
            now = self._state.clock()
            self._state.log.note(
                "store duty",
                reads=reads,
                view_age_s=self._state.freshness.get_rounded_age(now),
                asked_to=now < self._temporary_until,
            )
        return reads

    def wait_until_reading(self, stopped):
        """Wait until this gateway reads the store, for at most half a second."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._reads or stopped.is_set(), _CHECK_INTERVAL_S
            )

    def read_store_temporarily(self, now):
        """Read the store for some seconds.

        This is used when peers have a newer view and do not deliver it.
        """
        self._temporary_until = now + _TEMPORARY_READ_S

    def should_read_members(self):
        """Return whether to read the list of members now.

        It is read at startup and once shortly after. Gateways that start later find
        the earlier ones in the list and report to them.
        """
        uptime = self._state.clock() - self._started_at
        return self._members_due_s <= uptime < _MAX_MEMBERS_READ_S

    def has_read_members(self):
        """Return whether the list of members no longer has to be read."""
        uptime = self._state.clock() - self._started_at
        return uptime >= _MAX_MEMBERS_READ_S or self._members_due_s == math.inf

    def mark_members_read(self):
        """Record that the list of members was read.

        A gateway that finds itself in the list was restarted, and the list contains the
        other gateways as well. It does not read the list again.
        """
        is_first = self._state.clock() - self._started_at < _SECOND_MEMBERS_READ_S
        is_listed = self._state.member_record is not None
        is_second_due = is_first and not is_listed
        self._members_due_s = _SECOND_MEMBERS_READ_S if is_second_due else math.inf

    def get_poll(self):
        """Return for how many seconds a call waits for a record.

        A gateway that others depend on must detect an unresponsive store early, and its
        next answer must arrive before the previous one is too old at the others. In a
        mesh all gateways read, and one that polls often keeps all views recent, so the
        others may use long polls.
        """
        state = self._state
        poll = state.cfg.store.poll
        is_mesh = state.members.is_mesh
        if is_mesh and not self._is_first_in_fleet(state.clock()):
            return poll
        delay = _MESH_DELAY_S if is_mesh else _RELAY_DELAY_S
        return min(
            poll,
            _MAX_READER_POLL_S,
            max(_MIN_POLL_S, get_max_view_age(state.cfg) - delay),
        )

    def _should_read(self, now):
        state = self._state
        plan = self._get_plan()
        uptime = now - self._started_at
        if plan is None or not state.members_known and uptime < _MAX_MEMBERS_WAIT_S:
            return False
        if state.members.is_mesh:
            return True
        if (
            plan.is_relay
            and self._is_first_in_domain(now)
            or now < self._temporary_until
        ):
            return True
        age = state.freshness.get_age(now)
        if age is None:
            return uptime > _MAX_VIEW_WAIT_S
        return age > get_max_view_age(state.cfg)

    def _is_first_in_domain(self, now):
        """Return whether no earlier gateway of this domain is available."""
        return self._state.members.find_higher_ranked(now) is None

    def _is_first_in_fleet(self, now):
        """Return whether no earlier gateway of the fleet is available."""
        members = self._state.members
        domains = sorted(members.get_domains())
        earlier_domains = domains[: domains.index(members.own.domain)]
        if any(self._has_unsuspected_member(domain, now) for domain in earlier_domains):
            return False
        return self._is_first_in_domain(now)

    def _has_unsuspected_member(self, domain, now):
        members = self._state.members
        rows = members.get_ranked(domain)
        return any(not members.is_suspect(row.host, now) for row in rows)
