"""Dispatch of queued requests to free leased slots.

The caller of any function must hold the state's lock.
"""

from loguru import logger
from valeweir import metrics
from valeweir.models import Placement
from valeweir_sharing.choice import Candidate, choose_upstream
from valeweir_sharing.queues import choose_ticket


def dispatch(state, pool):
    """Assign free slots to waiting tickets in queue order until either runs out."""
    queue = state.get_queue(pool)
    now = state.clock()
    while queue.size:
        candidates = get_candidates(state, pool, now)
        if not candidates:
            return
        ticket = choose_ticket(queue, state.ledger, pool, now, state.queue_order)
        eligible = [
            c for c in candidates if c.upstream not in ticket.excluded_upstreams
        ]
        choice = choose_upstream(
            eligible or candidates, ticket.prefix, state.hints, now
        )
        if not state.holder.take(choice.upstream, now):
            return
        record_free_slots(state, choice.upstream)
        _start(state, queue, ticket, choice, now)


def get_candidates(state, pool, now):
    """Return the upstreams of a pool that have a usable free slot now."""
    candidates = []
    for name in state.pools.get(pool, ()):
        held = state.holder.held.get(name)
        if held is None or held.free <= 0:
            continue
        up = state.upstreams[name]
        is_usable = state.health.is_usable(name, now)
        if up.leaving or not is_usable or not state.holder.is_valid(name, now):
            continue
        is_local = up.domain == state.domain
        candidates.append(
            Candidate(name, state.loads.get(name, 0.0), is_local, held.free)
        )
    return candidates


def merge_grants(state, owner, grants):
    """Apply an owner's grants and dispatch requests to the slots gained."""
    pools = set()
    for grant in grants:
        gained = state.holder.merge_grant(owner, grant)
        up = state.upstreams.get(grant.upstream)
        if gained > 0 and up is not None:
            metrics.slot_moves.labels("granted").inc(gained)
            pools.add(up.pool)
    for pool in pools:
        dispatch(state, pool)


def record_free_slots(state, upstream):
    """Update the minimum of an upstream's free slots since the last digest."""
    held = state.holder.held[upstream]
    state.min_free_slots[upstream] = min(
        state.min_free_slots.get(upstream, 0), held.free
    )


def deduct_announced(state, pool, account):
    """Deduct one request from the waiting counts last sent to the owners."""
    announced = state.announced_waiting.get(pool)
    if announced and announced.get(account):
        announced[account] -= 1


def _start(state, queue, ticket, choice, now):
    queue.remove(ticket)
    estimate = state.estimates.get(ticket.pool, ticket.account, ticket.work_class)
    ticket.charge = estimate / ticket.weight
    ticket.settled = 0.0
    ticket.dispatched_at = now
    state.ledger.add_waiting(ticket.key, -1)
    deduct_announced(state, ticket.pool, ticket.account)
    state.ledger.charge(ticket.key, ticket.charge)
    state.ledger.add_pending_at_peers(ticket.key, ticket.charge)
    state.health.record_dispatch(choice.upstream)
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
    ticket.slot_signal.release()
