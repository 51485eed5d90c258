"""Reads of the store on new connections when the view becomes too old.

A gateway waits at the store for the next record. An open connection may stop delivering
data while new connections work, and a gateway cannot distinguish this from a store
without new records, because keep-alives are answered by intermediaries. Each change
makes all gateways start a new wait, so they lose their connections at the same time and
no peer has a newer view. The age of the view therefore bounds every wait: a gateway
that reads the store asks it again on a new connection before a change could be missed
for too long.
"""

import threading

from .store_read_policy import get_max_view_age

_CHECK_INTERVAL_S = 0.15
# A younger call may still be answered at once.
_MIN_CALL_AGE_S = 0.2
_REFRESH_INTERVAL_S = 1.0
_APPLY_INTERVAL_S = 0.3


class Refresher:
    """Makes followers read on new connections and retry unapplied records.

    Parameters
    ----------
    followers : `topic_followers.Followers`
    read_policy : `store_read_policy.StoreReadPolicy`
    """

    def __init__(self, state, followers, read_policy):
        self._state = state
        self._read_policy = read_policy
        self._followers = (
            followers.catalog,
            followers.instances,
            followers.quarantine,
        )
        self._next_refresh = 0.0
        self._next_apply = 0.0

    def start(self, stopped):
        """Check in a separate thread, as other threads wait for peers and the store."""
        threading.Thread(
            target=self._run, args=(stopped,), name="refresh", daemon=True
        ).start()

    def _run(self, stopped):
        while not stopped.wait(_CHECK_INTERVAL_S):
            try:
                self.check(self._state.clock())
            except Exception as exc:
                # An error must not end the checks.
                self._state.log.note("view not refreshed", failed=True, why=repr(exc))

    def check(self, now):
        """Refresh, retry and settle what is due; blocks during calls of the store."""
        self._retry_unapplied(now)
        for follower in self._followers:
            follower.settle(now)
        if (
            now < self._next_refresh
            or not self._is_due(now)
            or not self._read_policy.reads_store()
        ):
            return
        waiting = [
            row for row in self._followers if row.is_waiting(now, _MIN_CALL_AGE_S)
        ]
        if not waiting:
            return
        self._next_refresh = now + _REFRESH_INTERVAL_S
        if not all(follower.refresh() for follower in waiting):
            # The other calls would time out as well. The outage is marked for all
            # topics, so that its end is detected by each of them.
            for follower in waiting:
                follower.mark_outage()

    def _is_due(self, now):
        age = self._state.freshness.get_age(now)
        is_old = age is not None and age > get_max_view_age(self._state.cfg)
        return is_old or any(row.is_overdue(now) for row in self._followers)

    def _retry_unapplied(self, now):
        if now < self._next_apply:
            return
        self._next_apply = now + _APPLY_INTERVAL_S
        for follower in self._followers:
            if follower.unapplied:
                follower.retry_unapplied()
