"""Service accounting: the service that each client account received fleet-wide.

Service is kept per (pool, client account) in cost divided by the account's
weight, so that accounts with equal figures have had equal shares. Each router
incarnation has one counter that only grows. Counters of an incarnation are
merged by maximum, and those of all incarnations are summed. The sum plus the
account's *lift* is its virtual service, as in start-time fair queueing (Goyal,
Vin and Cheng, SIGCOMM 1996): the lift raises an account that becomes backlogged
to the least-served backlogged one, so that idle accounts accumulate no credit.
"""

from valeweir_sharing.usage import (
    History,
    Report,
    ServiceKey,
    SourceState,
    Usage,
    set_count,
)

# How far below the front an account that starts to wait may be, in mean requests.
_ENTRY_ALLOWANCE_REQUESTS = 4.0


class Ledger:
    """One router's view of the service of all routers.

    Attributes
    ----------
    complete : bool
        False while reports of live routers are missing. Lifts are permanent and
        fleet-wide, so none is made from incomplete figures.
    own : dict of ServiceKey to Usage
    sources : dict of str to SourceState, by incarnation
    lifts : dict of ServiceKey to float
    fronts : dict of pool to float, the highest virtual service at a dispatch
    mean_charges : dict of pool to float, moving averages in cost per weight
    elsewhere : dict of pool to {account: waiting requests at other routers}
    dirty : set of ServiceKey, whose own figures changed since the last report
    regressions : int, the number of reports with a decreased counter
    """

    def __init__(self):
        self.complete = True
        self.own = {}
        self.sources = {}
        self.retired = {}
        self.base = {}
        self.lifts = {}
        self.fronts = {}
        self.mean_charges = {}
        self.elsewhere = {}
        self.dirty = set()
        self.regressions = 0
        self._own_waiting = {}
        self._others_service = {}
        self._pending = {}
        self._pending_sum = {}

    # -- queries ---------------------------------------------------------

    def get_virtual_service(self, key):
        """Return the virtual service of ``key``, in cost per weight."""
        total = self.lifts.get(key, 0.0) + self._get_service(key)
        return total + self._pending_sum.get(key, 0.0)

    def get_mean_charge(self, pool):
        """Return the mean charge of a request of ``pool``, in cost per weight."""
        return self.mean_charges.get(pool, 1.0)

    def get_own_waiting(self, pool):
        """Return {account: requests waiting at this router}."""
        return dict(self._own_waiting.get(pool, {}))

    def get_waiting(self, pool):
        """Return {account: requests waiting at any router}."""
        totals = dict(self.elsewhere.get(pool, {}))
        for account, count in self.get_own_waiting(pool).items():
            totals[account] = totals.get(account, 0) + count
        return totals

    def get_least_served_elsewhere(self, pool):
        """Return ``(virtual service, account)`` of the least-served account elsewhere.

        Only accounts that wait at other routers count; None if there is none.
        """
        waiting = self.elsewhere.get(pool)
        if not waiting:
            return None
        return min((self.get_virtual_service(ServiceKey(pool, a)), a) for a in waiting)

    # -- own service -----------------------------------------------------

    def add_waiting(self, key, delta):
        """Count a request that joins (1) or leaves (-1) the queue.

        An account that was not waiting anywhere is lifted at least to the
        least-served waiting account, or to the pool's front if none waits.
        """
        usage = self._get_usage(key)
        if delta > 0 and not usage.waiting and self.complete:
            if not self.elsewhere.get(key.pool, {}).get(key.account):
                self._lift_newly_waiting(key)
        usage.waiting += delta
        set_count(self._own_waiting, key, usage.waiting)
        self.dirty.add(key)

    def charge(self, key, estimate):
        """Charge ``estimate`` (cost per weight) at dispatch."""
        before = self.get_virtual_service(key)
        front = self.fronts.get(key.pool, 0.0)
        self.fronts[key.pool] = max(front, before)
        mean_charge = self.mean_charges.get(key.pool, estimate)
        self.mean_charges[key.pool] = mean_charge + 0.05 * (estimate - mean_charge)
        self._get_usage(key).inflight += estimate
        self.dirty.add(key)

    def settle(self, key, estimate, actual):
        """Replace part of a charge by settled service.

        ``estimate`` is subtracted from the charge and ``actual`` is added to the
        settled service.
        """
        usage = self._get_usage(key)
        usage.inflight = max(0.0, usage.inflight - estimate)
        usage.settled += actual
        self.dirty.add(key)

    def add_pending_at_peers(self, key, amount):
        """Add ``amount`` as pending at every live router where ``key`` waits.

        Between two reports all routers see the same account as the least
        served. Without this assumption each of them would serve that account
        until the next report.
        """
        for source, state in self.sources.items():
            report = state.reports.get(key)
            if state.live and report is not None and report.waiting > 0:
                self.add_pending(source, key, amount)

    def add_pending(self, source, key, amount):
        """Count ``amount`` as service at ``source`` until its next report."""
        pending = self._pending.setdefault(source, {})
        pending[key] = pending.get(key, 0.0) + amount
        self._pending_sum[key] = self._pending_sum.get(key, 0.0) + amount

    def clear_pending(self, source):
        """Delete the pending service at ``source``."""
        for key, amount in self._pending.pop(source, {}).items():
            left = self._pending_sum.get(key, 0.0) - amount
            if left > 1e-9:
                self._pending_sum[key] = left
            else:
                self._pending_sum.pop(key, None)

    def clamp(self, pool, bound):
        """Lift waiting accounts to within ``bound`` of the most-served one.

        So a difference that arose during a network partition is at most
        ``bound`` afterwards. Returns the number of accounts lifted.
        """
        waiting = self.get_waiting(pool) if self.complete else {}
        if len(waiting) < 2:
            return 0
        virtual = {a: self.get_virtual_service(ServiceKey(pool, a)) for a in waiting}
        least_allowed = max(virtual.values()) - bound
        lifted = [a for a, value in virtual.items() if value < least_allowed]
        for account in lifted:
            self._raise_lift(
                ServiceKey(pool, account), least_allowed - virtual[account]
            )
        return len(lifted)

    # -- merging ---------------------------------------------------------

    def merge(self, source, seq, reports, fronts):
        """Merge a report of ``source``; return False if it is outdated.

        Counters never decrease: a smaller ``settled`` is ignored and counted in
        `regressions`.
        """
        if source in self.retired:
            return False
        state = self.sources.setdefault(source, SourceState())
        if seq <= state.seq:
            return False
        state.seq = seq
        self.set_live(source, True)
        self.clear_pending(source)
        self._restore_deducted(state)
        for key, report in reports:
            self._merge_report(state, key, report)
        for pool, front in fronts:
            self.fronts[pool] = max(self.fronts.get(pool, 0.0), front)
        return True

    def merge_waiting(self, source, pool, waiting):
        """Replace the waiting requests of ``source`` in ``pool``, {account: count}."""
        state = self.sources.setdefault(source, SourceState())
        self._restore_deducted(state)
        for account in set(state.waiting.get(pool, ())) | set(waiting):
            key = ServiceKey(pool, account)
            old = state.reports.get(key, Report(0.0, 0.0, 0.0, 0))
            count = waiting.get(account, 0)
            if state.live:
                self._add_elsewhere(key, count - old.waiting)
            state.reports[key] = old._replace(waiting=count)
            state.set_waiting(key, count)

    def deduct_demand(self, source, key):
        """Deduct a request waiting at ``source`` that has been granted a slot.

        The next report restores the deducted requests. The router may use the
        slot for another account, and then its report leaves out ``key``, whose
        figures have not changed.
        """
        state = self.sources.get(source)
        report = state.reports.get(key) if state else None
        if report is None or report.waiting <= 0:
            return
        state.deducted[key] = state.deducted.get(key, 0) + 1
        self._change_waiting(state, key, -1)

    def get_demand(self, source, pool):
        """Return {account: waiting requests} at one other router."""
        state = self.sources.get(source)
        if state is None or not state.live:
            return {}
        return state.waiting.get(pool, {})

    def set_live(self, source, live):
        """Start or stop counting the waiting and running requests at ``source``."""
        state = self.sources.get(source)
        if state is None or state.live == live:
            return
        state.live = live
        sign = 1 if live else -1
        self.clear_pending(source)
        for key, report in state.reports.items():
            self._add_elsewhere(key, sign * report.waiting)
            self._add_others_service(key, sign * report.inflight)

    def retire(self, source, now):
        """Move a dead incarnation's settled service from ``sources`` to ``base``.

        The total of settled service does not change, and neither does virtual
        service. The name is kept until `drop_retired`, so that late reports
        are ignored.
        """
        state = self.sources.get(source)
        if state is None:
            return
        self.set_live(source, False)
        del self.sources[source]
        self.retired[source] = now
        for key, report in state.reports.items():
            self.base[key] = self.base.get(key, 0.0) + report.settled
            self._add_others_service(key, -report.settled)

    def drop_retired(self, before):
        """Delete the names of incarnations retired earlier than ``before``."""
        old = [source for source, at in self.retired.items() if at < before]
        for source in old:
            del self.retired[source]

    # -- history for a starting router -------------------------------------

    def get_history(self):
        """Return the `History`, the service that no live router reports."""
        lifts = {key: lift for key, lift in self.lifts.items() if lift > 0}
        silent = {
            source: {key: report.settled for key, report in state.reports.items()}
            for source, state in self.sources.items()
            if not state.live
        }
        return History(dict(self.base), list(self.retired), lifts, silent)

    def adopt_history(self, history, now):
        """Adopt a peer's history, once, at the start of this router."""
        for source in history.retired:
            state = self.sources.pop(source, None)
            for key, report in state.reports.items() if state else ():
                self._add_others_service(
                    key, -report.settled - state.live * report.inflight
                )
                self._add_elsewhere(key, -state.live * report.waiting)
        self.base = dict(history.base)
        self.retired = dict.fromkeys(history.retired, now)
        for key, lift in history.lifts.items():
            self.lifts[key] = max(lift, self.lifts.get(key, 0.0))
        for source, settled in history.silent.items():
            if source not in self.sources:
                rows = [(k, Report(s, 0.0, 0.0, 0)) for k, s in settled.items()]
                # With sequence number 0, any later report of the source is newer.
                self.merge(source, 0, rows, [])
                self.set_live(source, False)

    # -- internals ---------------------------------------------------------

    def _restore_deducted(self, state):
        deducted, state.deducted = state.deducted, {}
        for key, count in deducted.items():
            self._change_waiting(state, key, count)

    def _change_waiting(self, state, key, delta):
        report = state.reports[key]
        state.reports[key] = report._replace(waiting=report.waiting + delta)
        state.set_waiting(key, report.waiting + delta)
        if state.live:
            self._add_elsewhere(key, delta)

    def _get_usage(self, key):
        usage = self.own.get(key)
        if usage is None:
            usage = self.own[key] = Usage()
        return usage

    def _get_service(self, key):
        total = self.base.get(key, 0.0) + self._others_service.get(key, 0.0)
        usage = self.own.get(key)
        if usage is not None:
            total += usage.settled + usage.inflight
        return total

    def _lift_newly_waiting(self, key):
        waiting = self.get_waiting(key.pool)
        waiting.pop(key.account, None)
        front = self.fronts.get(key.pool, 0.0)
        floor = front
        if waiting:
            services = sorted(
                self.get_virtual_service(ServiceKey(key.pool, a)) for a in waiting
            )
            # The least-served accounts may have started to wait at other routers
            # whose lifts are not known here yet, and the front may come from a
            # single account far ahead. The upper quartile depends on neither.
            quartile = services[len(services) * 3 // 4]
            allowance = _ENTRY_ALLOWANCE_REQUESTS * self.get_mean_charge(key.pool)
            floor = max(services[0], min(quartile, front) - allowance)
        deficit = floor - self.get_virtual_service(key)
        if deficit > 0:
            self._raise_lift(key, deficit)

    def _raise_lift(self, key, amount):
        self.lifts[key] = self.lifts.get(key, 0.0) + amount
        self._get_usage(key)
        self.dirty.add(key)

    def _merge_report(self, state, key, report):
        old = state.reports.get(key, Report(0.0, 0.0, 0.0, 0))
        if report.settled < old.settled:
            self.regressions += 1
            report = report._replace(settled=old.settled)
        self._add_others_service(
            key, report.settled - old.settled + report.inflight - old.inflight
        )
        self._add_elsewhere(key, report.waiting - old.waiting)
        state.reports[key] = report
        state.set_waiting(key, report.waiting)
        if report.lift > self.lifts.get(key, 0.0):
            self.lifts[key] = report.lift

    def _add_others_service(self, key, amount):
        if amount:
            self._others_service[key] = self._others_service.get(key, 0.0) + amount

    def _add_elsewhere(self, key, amount):
        if amount:
            count = self.elsewhere.get(key.pool, {}).get(key.account, 0) + amount
            set_count(self.elsewhere, key, count)
