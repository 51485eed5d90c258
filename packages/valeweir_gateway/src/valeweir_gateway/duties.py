"""Whether a gateway reads the store itself.

Every call of the store has its price, and in a large fleet the first relay of
each failure domain reads for all. The others read only while no gateway that
they hear from has heard from the store lately.
"""

from .relays import MESH_LIMIT

# All in seconds.
_LONGEST_AGE = 2.0
_FLEET_POLL = 1.0
# At the start others may soon be heard that have read the store already.
_MEMBERS_WAIT = 1.0
_VIEW_WAIT = 2.0
_MEMBERS_FOLLOWED = 5.0
_OWN_READING = 5.0


class StoreDuty:
    """Decides from the fleet's plan and from how old the peers' views are."""

    def __init__(self, state, get_plan):
        self._state = state
        self._get_plan = get_plan
        self._reads = None
        self._started = state.clock()
        self._own_until = 0.0

    def reads_store(self):
        """Return whether this gateway reads the store now."""
        reads = self._decide(self._state.clock())
        if reads != self._reads:
            self._reads = self._state.reads_store = reads
            now = self._state.clock()
            age = self._state.get_peers_store_age(now)
            self._state.log.note(
                "store duty",
                reads=reads,
                peers_age_s=None if age is None else round(age, 3),
                asked_to=now < self._own_until,
            )
        return reads

    def note_behind(self, now):
        """Read the store for a while: peers know more and do not tell it."""
        self._own_until = now + _OWN_READING

    def reads_members(self):
        """Return whether this gateway still reads who else there is.

        Later ones find the earlier ones and say so themselves.
        """
        return self._state.clock() - self._started < _MEMBERS_FOLLOWED

    def get_poll(self):
        """Return how long a call waits for a record, in seconds.

        Those that others depend on have to notice a silent store soon.
        """
        poll = self._state.cfg.store.poll
        if len(self._state.members) <= MESH_LIMIT:
            return poll
        return min(poll, _FLEET_POLL)

    def _decide(self, now):
        state = self._state
        plan = self._get_plan()
        uptime = now - self._started
        if plan is None or not state.members_known and uptime < _MEMBERS_WAIT:
            return False
        if len(state.members) <= MESH_LIMIT:
            return True
        if plan.is_relay and self._is_first(now) or now < self._own_until:
            return True
        age = state.get_peers_store_age(now)
        if age is None:
            return uptime > _VIEW_WAIT
        return age > _LONGEST_AGE

    def _is_first(self, now):
        members = self._state.members
        for row in members.get_ranked(members.own.domain):
            if row == members.own:
                return True
            if not members.is_suspect(row.host, now):
                return False
        return True
