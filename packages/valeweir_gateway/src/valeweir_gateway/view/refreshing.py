"""Reading the store anew where the view has grown too old to be believed.

A gateway waits at the store for the next record. An open connection may fall silent for
good while new ones work, and nothing on it tells that from a store with nothing to say:
keep-alives are answered by whatever stands between. With each change all gateways begin
to wait anew, so that they go deaf together, and no peer knows better. So the age of the
view bounds every wait: before a change may be missed for too long, who reads the store
asks it again on a new connection.
"""

from .store_readers import get_longest_age

# All in seconds.
# A call younger than this may still be answered at once.
_MIN_CALL_AGE_S = 0.2
_REFRESH_INTERVAL_S = 1.0
_APPLY_INTERVAL_S = 0.3


class Refresher:
    """Has followers read anew, and apply again what they could not.

    Parameters
    ----------
    followers : following.Followers
    duty : store_readers.StoreDuty
    """

    def __init__(self, state, followers, duty):
        self._state = state
        self._duty = duty
        self._followers = (
            followers.catalog,
            followers.instances,
            followers.quarantine,
        )
        self._next_refresh = 0.0
        self._next_apply = 0.0

    def check(self, now):
        """Do what is due; calls of the store are made before it returns."""
        self._retry_unapplied(now)
        if (
            now < self._next_refresh
            or not self._is_due(now)
            or not self._duty.reads_store()
        ):
            return
        waiting = [
            row for row in self._followers if row.is_waiting(now, _MIN_CALL_AGE_S)
        ]
        if not waiting:
            return
        self._next_refresh = now + _REFRESH_INTERVAL_S
        if not all(follower.refresh() for follower in waiting):
            # The rest would wait as long in vain; what ends an outage counts for all.
            for follower in waiting:
                follower.mark_outage()

    def _is_due(self, now):
        age = self._state.freshness.get_age(now)
        is_old = age is not None and age > get_longest_age(self._state.cfg)
        return is_old or any(row.is_overdue(now) for row in self._followers)

    def _retry_unapplied(self, now):
        if now < self._next_apply:
            return
        self._next_apply = now + _APPLY_INTERVAL_S
        for follower in self._followers:
            if follower.unapplied:
                follower.retry_unapplied()
