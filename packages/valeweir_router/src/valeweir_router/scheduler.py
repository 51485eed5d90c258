"""From the queue to a slot and back: dispatch, completion, hand-back.

Every function expects the state's lock to be held.
"""

from loguru import logger
from valeweir import metrics
from valeweir.models import Placement
from valeweir_sharing.choice import Candidate, choose_upstream
from valeweir_sharing.grants import should_hand_back
from valeweir_sharing.queues import get_least_served, pick_ticket

from . import leasing


def submit(state, ticket):
    """Queue a ticket; it is dispatched now if a slot is free."""
    ticket.weight = state.get_weight(ticket.pool, ticket.account)
    state.ledger.note_waiting(ticket.key, 1)
    state.get_queue(ticket.pool).add(ticket)
    dispatch(state, ticket.pool)
    if ticket.placement is None:
        leasing.want(state, ticket.pool, ticket.account)


def resubmit(state, ticket):
    """Queue a ticket again, ahead of its class, after a failed attempt."""
    ticket.placement = None
    state.ledger.note_waiting(ticket.key, 1)
    state.get_queue(ticket.pool).add_first(ticket)
    dispatch(state, ticket.pool)
    if ticket.placement is None:
        leasing.want(state, ticket.pool, ticket.account)


def withdraw(state, ticket):
    """Take a ticket out of the queue; False where it has a slot by now."""
    if not state.get_queue(ticket.pool).remove(ticket):
        return False
    state.ledger.note_waiting(ticket.key, -1)
    return True


def dispatch(state, pool):
    """Give free slots to waiting tickets, in order, while there are both."""
    queue = state.get_queue(pool)
    now = state.clock()
    while queue.size:
        candidates = get_candidates(state, pool, now)
        if not candidates:
            return
        ticket = pick_ticket(queue, state.ledger, pool, now, state.order)
        open_to = [c for c in candidates if c.upstream not in ticket.excluded]
        choice = choose_upstream(open_to or candidates, ticket.prefix, state.hints, now)
        if not state.holder.take(choice.upstream, now):
            return
        leasing.note_idle(state, choice.upstream)
        _start(state, queue, ticket, choice, now)


def get_candidates(state, pool, now):
    """Return the upstreams of a pool where a free slot may be used now."""
    candidates = []
    for name in state.pools.get(pool, ()):
        held = state.holder.held.get(name)
        if held is None or held.free <= 0:
            continue
        up = state.upstreams[name]
        usable = state.health.is_usable(name, now)
        if up.leaving or not usable or not state.holder.is_valid(name, now):
            continue
        local = up.domain == state.domain
        candidates.append(Candidate(name, state.loads.get(name, 0.0), local, held.free))
    return candidates


def note_progress(state, ticket, cost):
    """Settle the part of a running request's cost that is known by now."""
    done = cost / ticket.weight
    delta = done - ticket.settled
    if delta <= 0:
        return
    covered = min(delta, max(0.0, ticket.charge - ticket.settled))
    state.ledger.settle(ticket.key, covered, delta)
    ticket.settled = done


def finish(state, ticket, cost, learn):
    """End a ticket's use of its slot, at its real cost.

    Parameters
    ----------
    learn : bool
        Whether the cost is that of a whole answer.
    """
    upstream = ticket.placement.upstream
    open_charge = max(0.0, ticket.charge - ticket.settled)
    rest = max(0.0, cost / ticket.weight - ticket.settled)
    state.ledger.settle(ticket.key, open_charge, rest)
    if learn:
        state.estimates.learn(ticket.pool, ticket.account, ticket.work_class, cost)
    state.holder.finish(upstream)
    metrics.service.labels(ticket.pool, ticket.account).inc(cost)
    free_slot(state, ticket.pool, upstream)


def free_slot(state, pool, upstream):
    """Use a freed slot here, or hand it back where it serves the fleet better."""
    held = state.holder.held.get(upstream)
    if held is None or held.free <= 0:
        return
    up = state.upstreams.get(upstream)
    if up is None or up.leaving:
        leasing.hand_back(state, upstream, held.free)
        return
    if state.leaving and state.get_queue(pool).size:
        # What is still here must end before the process does.
        dispatch(state, pool)
        return
    least = get_least_served(state.get_queue(pool), state.ledger, pool)
    elsewhere = state.ledger.get_least_elsewhere(pool)
    there = elsewhere[0] if elsewhere else None
    if should_hand_back(least, there, state.get_slack(pool)):
        leasing.hand_back(state, upstream, 1)
    dispatch(state, pool)


def _start(state, queue, ticket, choice, now):
    queue.remove(ticket)
    cost = state.estimates.get(ticket.pool, ticket.account, ticket.work_class)
    ticket.charge = cost / ticket.weight
    ticket.settled = 0.0
    ticket.dispatched = now
    state.ledger.note_waiting(ticket.key, -1)
    leasing.note_served(state, ticket.pool, ticket.account)
    state.ledger.charge(ticket.key, ticket.charge)
    state.ledger.mirror_charge(ticket.key, ticket.charge)
    state.health.note_dispatch(choice.upstream)
    up = state.upstreams[choice.upstream]
    ticket.placement = Placement(up.name, up.address, choice.reason)
    waited = now - ticket.arrived
    metrics.queue_seconds.labels(ticket.pool, ticket.work_class.value).observe(waited)
    logger.bind(
        request=ticket.id,
        account=ticket.account,
        work_class=ticket.work_class.value,
        upstream=up.name,
        why=choice.reason,
        waited=round(waited, 4),
    ).info("routed")
    ticket.gate.release()
