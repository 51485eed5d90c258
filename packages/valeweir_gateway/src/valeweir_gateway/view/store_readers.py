"""Whether a gateway reads the store itself.

Every call of the store has its price, and in a large fleet the first relay of
each failure domain reads for all. The others read only while their view, by what
their relay tells them, is not known to be new enough.
"""

import math
import threading

# All in seconds.
# Of the time in which a leaving upstream must get no more: what it takes to notice an
# old view (0.15), to call the store, to take in its answer, and to send.
_READ_S = 0.6
# What a view ages on its way from the gateway that reads: at two steps each, the
# heartbeat that brings the stamp (0.3), and the ticks of crowded relays.
_RELAY_DELAY_S = 1.0
# The same in a mesh, where everybody hears the one that asks often.
_MESH_DELAY_S = 0.4
_MAX_READER_POLL_S = 1.0
_MIN_POLL_S = 0.2
# At the start others may soon be heard that have read the store already.
_MAX_MEMBERS_WAIT_S = 1.0
_MAX_VIEW_WAIT_S = 2.0
# Gateways that start together have written where they listen by the second time.
_SECOND_MEMBERS_READ_S = 2.5
_MAX_MEMBERS_READ_S = 5.0
_TEMPORARY_READ_S = 5.0
_CHECK_INTERVAL_S = 0.5


def get_longest_age(cfg):
    """Return the seconds of age at which a view leaves just the time to read the store.

    A leaving upstream that is not in it yet may then still get what is sent, and a
    change of the configuration be in force too late.
    """
    allowed = min(cfg.upstreams.leave_within_ms, cfg.store.change_within_ms)
    return allowed / 1000.0 - _READ_S


class StoreDuty:
    """Decides from the fleet's plan and from how old the peers' views are."""

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
            age = self._state.freshness.get_age(now)
            self._state.log.note(
                "store duty",
                reads=reads,
                view_age_s=None if age is None else round(age, 3),
                asked_to=now < self._temporary_until,
            )
        return reads

    def wait_until_reading(self, stopped):
        """Return once this gateway reads the store, or after half a second."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._reads or stopped.is_set(), _CHECK_INTERVAL_S
            )

    def read_store_temporarily(self, now):
        """Read the store for a while: peers know more and do not tell it."""
        self._temporary_until = now + _TEMPORARY_READ_S

    def should_read_members(self):
        """Return whether to read now who else there is.

        Once at the start and once a little later: still later gateways find the
        earlier ones and report to them.
        """
        uptime = self._state.clock() - self._started_at
        return self._members_due_s <= uptime < _MAX_MEMBERS_READ_S

    def has_read_members(self):
        """Return whether the list of members need not be read any more."""
        uptime = self._state.clock() - self._started_at
        return uptime >= _MAX_MEMBERS_READ_S or self._members_due_s == math.inf

    def mark_members_read(self):
        """Record that the list of members was read.

        Who finds itself there was restarted, and so are the others that it knows then.
        """
        is_first = self._state.clock() - self._started_at < _SECOND_MEMBERS_READ_S
        is_listed = self._state.member_record is not None
        is_second_due = is_first and not is_listed
        self._members_due_s = _SECOND_MEMBERS_READ_S if is_second_due else math.inf

    def get_poll(self):
        """Return how long a call waits for a record, in seconds.

        Those that others depend on have to notice a silent store soon, and an answer
        must come while the last one is still new enough at the others. In a mesh all
        read, and one that asks often keeps all views young: the rest may wait long.
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
            max(_MIN_POLL_S, get_longest_age(state.cfg) - delay),
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
        return age > get_longest_age(state.cfg)

    def _is_first_in_domain(self, now):
        """Return whether no gateway before this one in its domain answers."""
        return self._state.members.find_senior(now) is None

    def _is_first_in_fleet(self, now):
        """Return whether no gateway before this one in the fleet answers."""
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
