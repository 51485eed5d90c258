"""A request's stations: queued, withdrawn, running, ended.

Every function expects the state's lock to be held.
"""

from valeweir import metrics
from valeweir_sharing.queues import get_least_service
from valeweir_sharing.slot_assignment import should_hand_back

from . import dispatching, holding


def submit(state, ticket):
    """Queue a ticket; it is dispatched now if a slot is free."""
    ticket.weight = state.get_weight(ticket.pool, ticket.account)
    _queue(state, ticket, state.get_queue(ticket.pool).add)


def resubmit(state, ticket):
    """Queue a ticket again, ahead of its class, after a failed attempt."""
    ticket.placement = None
    _queue(state, ticket, state.get_queue(ticket.pool).add_first)


def withdraw(state, ticket):
    """Take a ticket out of the queue; False where it has a slot by now."""
    if not state.get_queue(ticket.pool).remove(ticket):
        return False
    state.ledger.add_waiting(ticket.key, -1)
    return True


def settle_progress(state, ticket, cost):
    """Settle the part of a running request's cost that is known by now."""
    total = cost / ticket.weight
    delta = total - ticket.settled
    if delta <= 0:
        return
    covered = min(delta, max(0.0, ticket.charge - ticket.settled))
    state.ledger.settle(ticket.key, covered, delta)
    ticket.settled = total


def finish(state, ticket, cost, is_complete):
    """End a ticket's use of its slot, at its real cost.

    Parameters
    ----------
    learn : bool
        Whether the cost is that of a whole answer.
    """
    upstream = ticket.placement.upstream
    open_charge = max(0.0, ticket.charge - ticket.settled)
    unsettled_cost = max(0.0, cost / ticket.weight - ticket.settled)
    state.ledger.settle(ticket.key, open_charge, unsettled_cost)
    if is_complete:
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
        holding.hand_back(state, upstream, held.free)
        return
    if state.leaving and state.get_queue(pool).size:
        # What is still here must end before the process does.
        dispatching.dispatch(state, pool)
        return
    local_least = get_least_service(state.get_queue(pool), state.ledger, pool)
    least_elsewhere = state.ledger.get_least_served_elsewhere(pool)
    elsewhere_least = least_elsewhere[0] if least_elsewhere else None
    if should_hand_back(local_least, elsewhere_least, state.get_slack(pool)):
        holding.hand_back(state, upstream, 1)
    dispatching.dispatch(state, pool)


def _queue(state, ticket, enqueue):
    state.ledger.add_waiting(ticket.key, 1)
    enqueue(ticket)
    dispatching.dispatch(state, ticket.pool)
    if ticket.placement is None:
        holding.request_slots(state, ticket.pool, ticket.account)
