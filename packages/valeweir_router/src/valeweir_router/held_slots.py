"""Slots that this router holds: requests for slots, returns and lease renewal.

The caller of any function must hold the state's lock.
"""

from loguru import logger
from valeweir import metrics
from valeweir_fleet.messages import Ask
from valeweir_sharing.usage import ServiceKey

from . import slot_grants, upstream_ownership

MIN_ASK_INTERVAL_S = 0.05
_MAX_SILENCE_INTERVALS = 2.2


def request_slots(state, pool, account):
    """Ask the owners of a pool for slots, at most once in `MIN_ASK_INTERVAL_S`.

    No message is sent while the last report to the owners contains waiting
    requests of this account: the owners already consider the account for the
    next free slot.
    """
    now = state.clock()
    slot_grants.grant_slots(state, pool)
    if state.announced_waiting.get(pool, {}).get(account, 0) > 0:
        return
    if now - state.last_ask_at.get(pool, 0.0) < MIN_ASK_INTERVAL_S:
        state.pools_with_due_ask.add(pool)
        return
    send_ask(state, pool, get_pool_owners(state, pool))


def send_ask(state, pool, owners, upstreams=()):
    """Send the waiting counts of ``pool`` and claims on ``upstreams`` to owners.

    Each owner receives only the claims that concern it.
    """
    now = state.clock()
    state.last_ask_at[pool] = now
    state.pools_with_due_ask.discard(pool)
    waiting = state.ledger.get_own_waiting(pool)
    if set(owners) >= get_pool_owners(state, pool):
        state.announced_waiting[pool] = dict(waiting)
    for source in owners:
        peer = state.peers.by_source.get(source)
        if peer is None or not peer.live:
            continue
        claims = [
            state.holder.get_claim(name)
            for name in upstreams
            if source in upstream_ownership.get_claim_targets(state, name)
        ]
        ask = Ask(
            source=state.source,
            seq=state.next_seq(),
            sent_at=now,
            pool=pool,
            waiting={
                state.account_numbers[account]: count
                for account, count in waiting.items()
                if account in state.account_numbers
            },
            claims=claims,
        )
        state.links.send(state.peers.get_address(peer), ask)


def hand_back(state, upstream, count):
    """Return up to ``count`` free slots to the owner, which can grant them at once."""
    if not _can_return(state, upstream):
        return
    returned_count = state.holder.return_slots(upstream, count)
    if not returned_count:
        return
    metrics.slot_moves.labels("back").inc(returned_count)
    pool = state.upstreams[upstream].pool if upstream in state.upstreams else ""
    _add_predicted_service(state, pool, returned_count)
    if state.owners.get(upstream) == state.source:
        _merge_own_claim(state, upstream)
        slot_grants.grant_slots(state, pool)
        return
    send_ask(
        state, pool, upstream_ownership.get_claim_targets(state, upstream), [upstream]
    )


def return_idle_slots(state):
    """Return free slots that other routers can use or that were not needed.

    A pool with requests waiting elsewhere returns all its free slots. Other pools
    keep ``float_slots`` and return only slots that were free since the last call.
    """
    for pool, names in state.pools.items():
        queue = state.get_queue(pool)
        demand_elsewhere = state.ledger.elsewhere.get(pool)
        reserve = 0 if demand_elsewhere else state.cfg["sharing"]["float_slots"]
        if queue.size:
            continue
        surplus = sum(held.free for held in _get_held(state, names)) - reserve
        for name in sorted(names):
            held = state.holder.held.get(name)
            if surplus <= 0:
                break
            if held is None or not held.free:
                continue
            idle_count = min(held.free, surplus, state.min_free_slots.get(name, 0))
            count = min(held.free, surplus) if demand_elsewhere else idle_count
            if count > 0:
                hand_back(state, name, count)
                surplus -= count
    state.min_free_slots = {n: h.free for n, h in state.holder.held.items()}


def handle_recall(state, upstreams):
    """Return the free slots of ``upstreams``, which their owner has recalled."""
    for name in upstreams:
        up = state.upstreams.get(name)
        held = state.holder.held.get(name)
        if up is None or held is None or state.get_queue(up.pool).size:
            continue
        hand_back(state, name, held.free)


def get_pool_owners(state, pool):
    """Return the other routers that own upstreams of a pool."""
    owners = {state.owners.get(name) for name in state.pools.get(pool, ())}
    return owners - {None, state.source}


def renew_own_leases(state):
    """Extend the leases of upstreams that this router owns itself."""
    state.holder.renew_leases(state.source, state.clock())


def drop_lapsed(state):
    """Stop using the slots of leases that their owner has not renewed in time."""
    for upstream in state.holder.drop_lapsed(state.clock()):
        metrics.lease_lapses.inc()
        logger.bind(upstream=upstream).warning("lease lapsed")


def _add_predicted_service(state, pool, count):
    """Add pending service for returned slots to the least-served account elsewhere.

    Otherwise every slot that becomes free before the next report would be
    returned for that same account.
    """
    for _ in range(count):
        least_served = state.ledger.get_least_served_elsewhere(pool)
        if least_served is None:
            return
        mean_charge = state.ledger.get_mean_charge(pool)
        state.ledger.add_pending(
            "predicted", ServiceKey(pool, least_served[1]), mean_charge
        )


def _get_held(state, names):
    return [state.holder.held[n] for n in names if n in state.holder.held]


def _can_return(state, upstream):
    """Return whether the owner is reachable, so that slots can be returned to it.

    Slots returned to a failed owner are idle until the next owner's recovery
    ends. So slots stay in use here as soon as the owner has been silent for a
    few digest intervals, while it still counts as live.
    """
    owner = state.owners.get(upstream)
    if owner == state.source:
        return True
    peer = state.peers.by_source.get(owner)
    if peer is None or not peer.live:
        return False
    return (
        state.clock() - peer.received_at
        < _MAX_SILENCE_INTERVALS * state.digest_interval.get_interval()
    )


def _merge_own_claim(state, upstream):
    table = state.tables.get(upstream)
    if table is not None:
        claim = state.holder.get_claim(upstream)
        table.merge_claim(state.source, claim, state.clock())
