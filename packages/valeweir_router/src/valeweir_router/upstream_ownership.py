"""Ownership of upstreams: choice of owners, lease tables and their epochs.

The owner of an upstream leases the upstream's slots to routers. Each upstream has
one owner at a time, chosen from the live routers. The caller of any function must
hold the state's lock.
"""

import collections
import time

from loguru import logger
from valeweir import metrics
from valeweir_fleet.messages import Handover
from valeweir_sharing.leases import LEASE_MARGIN_S, HeldSlots, LeaseTable
from valeweir_sharing.ownership import choose_owner, get_candidates, get_group

from . import dispatcher
from .slot_grants import grant_slots, send_offer


def renew_epochs_after_pause(state):
    """Start new epochs if the process was paused for longer than a lease.

    Other routers may have become owners during the pause.
    """
    now = state.clock()
    paused = now - state.last_tick_at > state.holder.lease_time
    state.last_tick_at = now
    if not paused:
        return
    recovery_ends_at = now + state.holder.lease_time + LEASE_MARGIN_S
    for table in state.tables.values():
        table.renew(max(table.epoch + 1, int(time.time())), recovery_ends_at)
    if state.tables:
        logger.bind(upstreams=len(state.tables)).warning("paused, tenures renewed")


def update_ownership(state):
    """Recompute the owners of all upstreams from the routers that are live now."""
    if state.cfg["sharing"]["mode"] == "static":
        _assign_static(state)
        return
    now = state.clock()
    sources = _get_member_sources(state)
    members = [(host, domain) for host, (_, domain) in sources.items()]
    state.owners = _choose_owners(state, sources, members)
    _update_tables(state, now)
    metrics.owned_upstreams.set(len(state.tables))


def merge_claims(state, holder, claims):
    """Apply a holder's claims on upstreams that this router owns.

    Returns the pools of these upstreams; their slots may have become free.
    """
    now = state.clock()
    pools = set()
    grants = []
    for claim in claims:
        table = state.tables.get(claim.upstream)
        if table is None:
            continue
        higher_epoch = table.merge_claim(holder, claim, now)
        if higher_epoch is not None:
            _raise_epoch(state, table, higher_epoch, now)
        elif table.entries[holder].lease != claim.lease or claim.epoch != table.epoch:
            grants.append(table.get_grant(holder))
        pools.add(state.upstreams[claim.upstream].pool)
    if grants:
        send_offer(state, holder, grants)
    return pools


def adopt_handover(state, handover):
    """Adopt the previous owner's table, now or when this router becomes the owner."""
    now = state.clock()
    state.handovers[handover.upstream] = (now, handover)
    if handover.upstream in state.tables:
        _apply_handover(state, handover.upstream, now)
        grant_slots(state, state.upstreams[handover.upstream].pool)


def expire_leases(state):
    """Free the slots of holders without a recent claim."""
    now = state.clock()
    for table in state.tables.values():
        if state.source in table.entries:
            table.entries[state.source].seen = now
        for holder in table.expire(now, state.holder.lease_time):
            logger.bind(upstream=table.upstream, holder=holder).info("lease expired")


def get_claim_targets(state, upstream):
    """Return the incarnations that need this router's claim on ``upstream``.

    These are the current owner and the owner that granted the lease. The latter
    may have lost the ownership, but while it echoes this router's send times the
    lease stays valid, so its table has to count these slots.
    """
    targets = {state.owners.get(upstream)}
    held = state.holder.held.get(upstream)
    if held is not None and held.slots > 0:
        targets.add(held.owner)
    targets -= {None, state.source}
    return targets


def _choose_owners(state, sources, members):
    """Return {upstream: incarnation of its owner}.

    All upstreams of a group have the same owner.
    """
    sizes = collections.Counter((u.pool, u.domain) for u in state.upstreams.values())
    chosen = {}
    owners = {}
    for up in state.upstreams.values():
        size = sizes[up.pool, up.domain]
        group = get_group(up.name, up.pool, up.domain, size)
        if group not in chosen:
            candidates = get_candidates(up.domain, members)
            chosen[group] = choose_owner(group, candidates)
        if chosen[group] is not None:
            owners[up.name] = sources[chosen[group]][0]
    return owners


def _get_member_sources(state):
    """Return {host: (incarnation, domain)} of the routers that may be owners."""
    sources = {}
    if not state.leaving:
        sources[state.host] = (state.source, state.domain)
    for peer in state.peers.get_live():
        if not state.peers.is_leaving(peer):
            sources[peer.host] = (peer.source, peer.domain)
    return sources


def _update_tables(state, now):
    recovery_ends_at = now + state.holder.lease_time + LEASE_MARGIN_S
    for name, up in state.upstreams.items():
        is_owner = state.owners.get(name) == state.source
        table = state.tables.get(name)
        if is_owner and table is None:
            epoch = _get_next_epoch(state, name)
            state.tables[name] = LeaseTable(name, up.slots, epoch, recovery_ends_at)
            logger.bind(upstream=name, epoch=epoch).info("ownership taken")
            _apply_handover(state, name, now)
        elif is_owner:
            table.capacity = up.slots
        elif table is not None:
            del state.tables[name]
            _hand_over(state, table, now)
            logger.bind(upstream=name).info("ownership given up")
    for name in [n for n in state.tables if n not in state.upstreams]:
        del state.tables[name]
    state.owned = {}
    for name in state.tables:
        state.owned.setdefault(state.upstreams[name].pool, []).append(name)


def _hand_over(state, table, now):
    """Send the table to the next owner, which can then grant slots without a wait."""
    peer = state.peers.by_source.get(state.owners.get(table.upstream))
    if peer is None:
        return
    handover = Handover(
        source=state.source,
        seq=state.next_seq(),
        upstream=table.upstream,
        epoch=table.epoch,
        wait=max(0.0, table.recovery_ends_at - now),
        holders={h: entry.slots for h, entry in table.entries.items()},
    )
    state.links.send(state.peers.get_address(peer), handover)


def _apply_handover(state, upstream, now):
    received_at, handover = state.handovers.pop(upstream, (0.0, None))
    if handover is None or now - received_at > state.peers.liveness_timeout_s:
        return
    held = state.holder.held.get(upstream)
    if held is not None and held.epoch > handover.epoch:
        # The sender is not the last owner: a later epoch has granted slots here.
        return
    table = state.tables[upstream]
    ready_at = received_at + handover.wait
    table.take_over(handover.epoch, handover.holders, ready_at, now)
    logger.bind(upstream=upstream, epoch=table.epoch).info("table taken over")


def _get_next_epoch(state, upstream):
    held = state.holder.held.get(upstream)
    held_epoch = held.epoch if held is not None else 0
    return max(held_epoch + 1, int(time.time()))


def _raise_epoch(state, table, other_epoch, now):
    """Start an epoch above that of another owner."""
    recovery_ends_at = now + state.holder.lease_time + LEASE_MARGIN_S
    table.renew(max(other_epoch + 1, int(time.time())), recovery_ends_at)
    logger.bind(upstream=table.upstream, epoch=table.epoch).warning("epoch raised")


def _assign_static(state):
    """Split each upstream's slots evenly among the routers in the settings.

    Slots that remain after the division go to different routers per upstream.
    """
    seeds = state.cfg["fleet"]["seeds"]
    hosts = sorted({s["host"] for s in seeds} | {state.host})
    index = hosts.index(state.host)
    for number, up in enumerate(state.upstreams.values()):
        quotient, remainder = divmod(up.slots, len(hosts))
        slot_count = quotient + ((index + number * remainder) % len(hosts) < remainder)
        held = state.holder.held.setdefault(up.name, _make_static_lease())
        held.granted = slot_count
    state.holder.echoed_at["static"] = float("inf")
    for pool in state.pools:
        dispatcher.dispatch(state, pool)


def _make_static_lease():
    held = HeldSlots()
    held.owner = "static"
    held.epoch = held.lease = 1
    return held
