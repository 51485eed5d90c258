"""Who gets the free slots of the upstreams that this router owns.

Every function expects the state's lock to be held.
"""

from valeweir_fleet.messages import Offer
from valeweir_sharing.slot_assignment import SlotDemand, assign_idle_slots, assign_slots
from valeweir_sharing.usage import ServiceKey

from . import dispatching

_RECALL_GAP = 0.05
_DRY_SECONDS = 2.0


def plan(state, pool):
    """Grant the free slots of the upstreams we own in a pool."""
    now = state.clock()
    free = _get_free(state, pool, now)
    if not free:
        recall_idle(state, pool)
        return
    wants = _get_wants(state, pool)
    if not wants:
        return
    dry = _find_dry(state, pool, {want.holder for want in wants}, now)
    prefer = _prefer_for(state)
    gifts = assign_slots(pool, free, wants, state.ledger, prefer, state.rng, dry)
    deliver(state, gifts, now)


def recall_idle(state, pool):
    """Ask holders for slots that lie idle while others wait."""
    now = state.clock()
    if now - state.last_recall.get(pool, 0.0) < _RECALL_GAP:
        return
    if not state.ledger.get_waiting(pool):
        return
    idle = {}
    for name in state.owned.get(pool, ()):
        for holder, entry in state.tables[name].entries.items():
            if holder != state.source and entry.idle:
                idle.setdefault(holder, []).append(name)
    for holder, names in idle.items():
        state.last_recall[pool] = now
        send_offer(state, holder, [], names)


def plan_idle(state):
    """Spread what nobody waits for as small floats."""
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
        deliver(state, assign_idle_slots(free, held, limit), now)


def deliver(state, gifts, now):
    """Enter gifts in the tables and tell the holders."""
    grants = {}
    for gift in gifts:
        state.tables[gift.upstream].grant(gift.holder, 1, now)
        if gift.account is not None and gift.holder != state.source:
            pool = state.upstreams[gift.upstream].pool
            state.ledger.deduct_demand(gift.holder, ServiceKey(pool, gift.account))
        grants.setdefault(gift.holder, set()).add(gift.upstream)
    for holder, names in grants.items():
        rows = [state.tables[name].get_grant(holder) for name in sorted(names)]
        if holder == state.source:
            dispatching.merge_grants(state, state.source, rows)
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


def _get_wants(state, pool):
    own = state.ledger.get_own_waiting(pool)
    wants = [SlotDemand(state.source, account, count) for account, count in own.items()]
    for peer in state.peers.get_live():
        demand = state.ledger.get_demand(peer.source, pool)
        wants += [SlotDemand(peer.source, a, count) for a, count in demand.items()]
    return wants


def _prefer_for(state):
    domains = {p.source: p.domain for p in state.peers.get_live()}
    domains[state.source] = state.domain

    def prefer(holder, names):
        open_to = [n for n in names if not _is_refused(state, n, holder)]
        if not open_to:
            return None
        home = domains.get(holder)
        return min(open_to, key=lambda n: (state.upstreams[n].domain != home, n))

    return prefer


def _find_dry(state, pool, holders, now):
    """Return holders with work and no slot of ours, for too long or leaving."""
    tables = [state.tables[name] for name in state.owned.get(pool, ())]
    dry = set()
    for holder in holders:
        if any(_get_slots(table, holder) for table in tables):
            state.last_slot[holder, pool] = now
            continue
        since = state.last_slot.setdefault((holder, pool), now)
        peer = state.peers.by_source.get(holder)
        leaving = peer is not None and state.peers.is_leaving(peer)
        if leaving or now - since > _DRY_SECONDS:
            dry.add(holder)
    return dry


def _is_refused(state, upstream, holder):
    entry = state.tables[upstream].entries.get(holder)
    return entry is not None and entry.refused


def _get_holders(state):
    others = [p.source for p in state.peers.get_live() if not state.peers.is_leaving(p)]
    return others if state.leaving else [state.source, *others]


def send_offer(state, holder, grants, recall=()):
    """Tell a holder of its grants, and of slots that are wanted back."""
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
