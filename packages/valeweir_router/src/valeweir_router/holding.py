"""The holder's side of slots: what this router asks for and gives back.

Every function expects the state's lock to be held.
"""

from loguru import logger
from valeweir import metrics
from valeweir_fleet.messages import Ask
from valeweir_sharing.usage import ServiceKey

from . import granting, owning

ASK_GAP = 0.05
_SILENT_INTERVALS = 2.2


def want(state, pool, account):
    """Ask the owners of a pool for slots, at most once in `ASK_GAP`.

    Nothing is asked while the owners know of requests of this account that
    wait here: they count on it for the next free slot anyway.
    """
    now = state.clock()
    granting.plan(state, pool)
    if state.told.get(pool, {}).get(account, 0) > 0:
        return
    if now - state.last_ask.get(pool, 0.0) < ASK_GAP:
        state.ask_due.add(pool)
        return
    send_ask(state, pool, get_pool_owners(state, pool))


def send_ask(state, pool, owners, upstreams=()):
    """Tell owners what waits here; claims of ``upstreams`` go along."""
    now = state.clock()
    state.last_ask[pool] = now
    state.ask_due.discard(pool)
    waiting = state.ledger.get_own_waiting(pool)
    if set(owners) >= get_pool_owners(state, pool):
        state.told[pool] = dict(waiting)
    for source in owners:
        peer = state.peers.by_source.get(source)
        if peer is None or not peer.live:
            continue
        claims = [
            state.holder.get_claim(name)
            for name in upstreams
            if source in owning.get_claim_targets(state, name)
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
    """Return free slots to their owner, which grants them anew at once."""
    if not _can_return(state, upstream):
        return
    given = state.holder.return_slots(upstream, count)
    if not given:
        return
    metrics.slot_moves.labels("back").inc(given)
    pool = state.upstreams[upstream].pool if upstream in state.upstreams else ""
    _predict_use(state, pool, given)
    if state.owners.get(upstream) == state.source:
        _claim_own(state, upstream)
        granting.plan(state, pool)
        return
    send_ask(state, pool, owning.get_claim_targets(state, upstream), [upstream])


def give_idle(state):
    """Hand back slots that others can use, or that have long lain idle."""
    for pool, names in state.pools.items():
        queue = state.get_queue(pool)
        wanted = state.ledger.elsewhere.get(pool)
        keep = 0 if wanted else state.cfg["sharing"]["float_slots"]
        if queue.size:
            continue
        spare = sum(held.free for held in _get_held(state, names)) - keep
        for name in sorted(names):
            held = state.holder.held.get(name)
            if spare <= 0:
                break
            if held is None or not held.free:
                continue
            idle = min(held.free, spare, state.idle_low.get(name, 0))
            count = min(held.free, spare) if wanted else idle
            if count > 0:
                hand_back(state, name, count)
                spare -= count
    state.idle_low = {n: h.free for n, h in state.holder.held.items()}


def answer_recall(state, upstreams):
    """Hand back what lies idle here of upstreams whose owner asks."""
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


def renew_own(state):
    """Extend the leases that this router holds of itself."""
    state.holder.renew_leases(state.source, state.clock())


def drop_lapsed(state):
    """Stop using leases whose owner has not answered in time."""
    for upstream in state.holder.drop_lapsed(state.clock()):
        metrics.lease_lapses.inc()
        logger.bind(upstream=upstream).warning("lease lapsed")


def _predict_use(state, pool, count):
    """Assume that returned slots go to the least-served account elsewhere.

    Until the next report this keeps one hungry account from drawing every
    slot that frees in the meantime.
    """
    for _ in range(count):
        least = state.ledger.get_least_served_elsewhere(pool)
        if least is None:
            return
        unit = state.ledger.get_mean_charge(pool)
        state.ledger.add_pending("predicted", ServiceKey(pool, least[1]), unit)


def _get_held(state, names):
    return [state.holder.held[n] for n in names if n in state.holder.held]


def _can_return(state, upstream):
    """Return whether the owner is there to take slots back.

    What is handed to an owner that has died is idle until its tenure is
    settled anew; so a short silence is enough to keep slots in use here.
    """
    owner = state.owners.get(upstream)
    if owner == state.source:
        return True
    peer = state.peers.by_source.get(owner)
    if peer is None or not peer.live:
        return False
    return state.clock() - peer.heard < _SILENT_INTERVALS * state.pace.get_interval()


def _claim_own(state, upstream):
    table = state.tables.get(upstream)
    if table is not None:
        claim = state.holder.get_claim(upstream)
        table.merge_claim(state.source, claim, state.clock())
