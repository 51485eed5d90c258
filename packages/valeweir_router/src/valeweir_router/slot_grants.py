"""Grants of free slots on the upstreams that this router owns.

The caller of any function must hold the state's lock.
"""

from valeweir_fleet.messages import Offer
from valeweir_sharing.slot_assignment import SlotDemand, assign_idle_slots, assign_slots
from valeweir_sharing.usage import ServiceKey

from . import dispatcher

_MIN_RECALL_INTERVAL_S = 0.05
_STARVATION_S = 2.0


def grant_slots(state, pool):
    """Grant the free slots of a pool's upstreams to routers with waiting requests.

    Only upstreams that this router owns count. If none of their slots is free,
    idle ones are recalled.
    """
    now = state.clock()
    free = _get_free(state, pool, now)
    if not free:
        recall_idle_slots(state, pool)
        return
    demands = _get_demands(state, pool)
    if not demands:
        return
    starved = _find_starved_holders(
        state, pool, {demand.holder for demand in demands}, now
    )
    select_upstream = _create_upstream_selector(state)
    assignments = assign_slots(
        pool, free, demands, state.ledger, select_upstream, state.rng, starved
    )
    apply_assignments(state, assignments, now)


def recall_idle_slots(state, pool):
    """Ask holders to return idle slots if requests wait, at a limited rate."""
    now = state.clock()
    if now - state.last_recall_at.get(pool, 0.0) < _MIN_RECALL_INTERVAL_S:
        return
    if not state.ledger.get_waiting(pool):
        return
    idle = {}
    for name in state.owned.get(pool, ()):
        for holder, entry in state.tables[name].entries.items():
            if holder != state.source and entry.idle:
                idle.setdefault(holder, []).append(name)
    for holder, names in idle.items():
        state.last_recall_at[pool] = now
        send_offer(state, holder, [], names)


def grant_idle_slots(state):
    """Grant free slots in advance, for pools without waiting requests.

    Each router gets at most ``float_slots`` idle slots per pool.
    """
    limit = state.cfg["sharing"]["float_slots"]
    now = state.clock()
    for pool, names in state.pools.items():
        if limit == 0 or state.ledger.get_waiting(pool):
            continue
        free = _get_free(state, pool, now)
        if not free:
            continue
        held = dict.fromkeys(_get_holders(state), 0)
        for name in names:
            if name in state.tables:
                for holder, entry in state.tables[name].entries.items():
                    if holder in held:
                        held[holder] += entry.slots - entry.used
        apply_assignments(state, assign_idle_slots(free, held, limit), now)


def apply_assignments(state, assignments, now):
    """Record assignments in the lease tables and send the grants to the holders."""
    grants = {}
    for assignment in assignments:
        state.tables[assignment.upstream].grant(assignment.holder, 1, now)
        if assignment.account is not None and assignment.holder != state.source:
            pool = state.upstreams[assignment.upstream].pool
            state.ledger.deduct_demand(
                assignment.holder, ServiceKey(pool, assignment.account)
            )
        grants.setdefault(assignment.holder, set()).add(assignment.upstream)
    for holder, names in grants.items():
        rows = [state.tables[name].get_grant(holder) for name in sorted(names)]
        if holder == state.source:
            dispatcher.merge_grants(state, state.source, rows)
        else:
            send_offer(state, holder, rows)


def _get_free(state, pool, now):
    free = {}
    for name in state.owned.get(pool, ()):
        if state.upstreams[name].leaving:
            continue
        count = state.tables[name].get_free(now)
        if count:
            free[name] = count
    return free


def _get_demands(state, pool):
    own_counts = state.ledger.get_own_waiting(pool)
    demands = [
        SlotDemand(state.source, account, count)
        for account, count in own_counts.items()
    ]
    for peer in state.peers.get_live():
        counts = state.ledger.get_demand(peer.source, pool)
        demands += [SlotDemand(peer.source, a, count) for a, count in counts.items()]
    return demands


def _create_upstream_selector(state):
    domains = {p.source: p.domain for p in state.peers.get_live()}
    domains[state.source] = state.domain

    def select_upstream(holder, names):
        eligible = [n for n in names if not _is_refused(state, n, holder)]
        if not eligible:
            return None
        holder_domain = domains.get(holder)
        return min(
            eligible, key=lambda n: (state.upstreams[n].domain != holder_domain, n)
        )

    return select_upstream


def _find_starved_holders(state, pool, holders, now):
    """Return the holders with waiting requests that must get a slot first.

    These have no slot of a pool's upstreams owned here, and have had none for
    `_STARVATION_S` or are leaving.
    """
    tables = [state.tables[name] for name in state.owned.get(pool, ())]
    starved = set()
    for holder in holders:
        if any(_get_slots(table, holder) for table in tables):
            state.last_slot_at[holder, pool] = now
            continue
        since = state.last_slot_at.setdefault((holder, pool), now)
        peer = state.peers.by_source.get(holder)
        leaving = peer is not None and state.peers.is_leaving(peer)
        if leaving or now - since > _STARVATION_S:
            starved.add(holder)
    return starved


def _is_refused(state, upstream, holder):
    entry = state.tables[upstream].entries.get(holder)
    return entry is not None and entry.refused


def _get_holders(state):
    others = [p.source for p in state.peers.get_live() if not state.peers.is_leaving(p)]
    return others if state.leaving else [state.source, *others]


def send_offer(state, holder, grants, recall=()):
    """Send a holder its grants and the upstreams whose idle slots are recalled."""
    peer = state.peers.by_source.get(holder)
    if peer is None:
        return
    offer = Offer(
        source=state.source,
        seq=state.next_seq(),
        echo=peer.sent_at,
        grants=grants,
        recall=list(recall),
    )
    state.links.send(state.peers.get_address(peer), offer)


def _get_slots(table, holder):
    entry = table.entries.get(holder)
    return entry.slots if entry is not None else 0
