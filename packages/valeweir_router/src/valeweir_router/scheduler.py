"""Scheduling of requests: queueing, withdrawal, cost settlement, slot release.

The caller of any function must hold the state's lock.
"""

from valeweir import metrics
from valeweir_sharing.queues import get_least_service
from valeweir_sharing.slot_assignment import should_hand_back

from . import dispatcher, held_slots


def submit(state, ticket):
    """Queue a ticket and dispatch it at once if a slot is free."""
    ticket.weight = state.get_weight(ticket.pool, ticket.account)
    _queue(state, ticket, state.get_queue(ticket.pool).add)


def resubmit(state, ticket):
    """Queue a ticket at the head of its class after a failed attempt."""
    ticket.placement = None
    _queue(state, ticket, state.get_queue(ticket.pool).add_first)


def withdraw(state, ticket):
    """Remove a ticket from the queue; return False if it already has a slot."""
    if not state.get_queue(ticket.pool).remove(ticket):
        return False
    state.ledger.add_waiting(ticket.key, -1)
    return True


def settle_progress(state, ticket, cost):
    """Settle the cost that a running request has incurred so far."""
    total = cost / ticket.weight
    delta = total - ticket.settled
    if delta <= 0:
        return
    covered = min(delta, max(0.0, ticket.charge - ticket.settled))
    state.ledger.settle(ticket.key, covered, delta)
    ticket.settled = total


def finish(state, ticket, cost, is_complete):
    """Release a ticket's slot and settle the measured cost.

    Parameters
    ----------
    is_complete : bool
        Whether the response was complete, so that its cost updates the estimates.
    """
    upstream = ticket.placement.upstream
    open_charge = max(0.0, ticket.charge - ticket.settled)
    unsettled_cost = max(0.0, cost / ticket.weight - ticket.settled)
    state.ledger.settle(ticket.key, open_charge, unsettled_cost)
    if is_complete:
        state.estimates.update(ticket.pool, ticket.account, ticket.work_class, cost)
    state.holder.finish(upstream)
    metrics.service.labels(ticket.pool, ticket.account).inc(cost)
    free_slot(state, ticket.pool, upstream)


def free_slot(state, pool, upstream):
    """Use a freed slot here, or return it if a less-served account waits elsewhere."""
    held = state.holder.held.get(upstream)
    if held is None or held.free <= 0:
        return
    up = state.upstreams.get(upstream)
    if up is None or up.leaving:
        held_slots.hand_back(state, upstream, held.free)
        return
    if state.leaving and state.get_queue(pool).size:
        # Requests that are queued here must finish before the process stops.
        dispatcher.dispatch(state, pool)
        return
    local_least = get_least_service(state.get_queue(pool), state.ledger, pool)
    least_served = state.ledger.get_least_served_elsewhere(pool)
    elsewhere_least = least_served[0] if least_served else None
    if should_hand_back(local_least, elsewhere_least, state.get_slack(pool)):
        held_slots.hand_back(state, upstream, 1)
    dispatcher.dispatch(state, pool)


def _queue(state, ticket, enqueue):
    state.ledger.add_waiting(ticket.key, 1)
    enqueue(ticket)
    dispatcher.dispatch(state, ticket.pool)
    if ticket.placement is None:
        held_slots.request_slots(state, ticket.pool, ticket.account)
