"""Control plane: periodic tasks and the messages between routers.

Once per digest interval each router sends a digest to every other router. Other
messages are sent when needed. The caller of any function must hold the state's lock.
"""

import msgspec
from loguru import logger
from valeweir import metrics
from valeweir.configuration import View
from valeweir_fleet.messages import (
    Ask,
    Digest,
    Handover,
    History,
    HistoryQuery,
    Identity,
    KeyAnswer,
    KeyClaim,
    KeyQuery,
    KeyRelease,
    KeyRows,
    Offer,
    PoolReport,
    ViewAnswer,
    ViewQuery,
)
from valeweir_fleet.peers import Member
from valeweir_sharing.usage import Report, ServiceKey

from . import (
    dispatcher,
    held_slots,
    key_claims,
    service_history,
    slot_grants,
    upstream_ownership,
)

_DIGESTS_PER_WHOLE_DIGEST = 20


def tick(state):
    """Run the tasks of one digest interval: liveness, leases, grants and digests."""
    upstream_ownership.renew_epochs_after_pause(state)
    held_slots.drop_lapsed(state)
    update_liveness(state)
    held_slots.renew_own_leases(state)
    upstream_ownership.expire_leases(state)
    held_slots.return_idle_slots(state)
    for pool in state.pools:
        state.ledger.clamp(pool, _get_clamp(state, pool))
        slot_grants.grant_slots(state, pool)
        # The pause of an ejected upstream may have ended.
        dispatcher.dispatch(state, pool)
    slot_grants.grant_idle_slots(state)
    state.ledger.clear_pending("predicted")
    key_claims.update_keys(state)
    service_history.update_history(state)
    send_digests(state)


def update_liveness(state):
    """Update which peers are live, and the ownership if any of them changed."""
    changes = state.peers.recompute_liveness(state.clock())
    for change in changes:
        state.ledger.set_live(change.peer.source, change.live)
        service_history.record_liveness(state, change.peer.source, change.live)
        logger.bind(peer=change.peer.source, live=change.live).info("peer changed")
    for peer in state.peers.replaced:
        state.ledger.retire(peer.source, state.clock())
        state.silent_since.pop(peer.source, None)
    has_changed = bool(changes or state.peers.replaced)
    state.peers.replaced.clear()
    metrics.live_peers.set(len(state.peers.get_live()))
    if has_changed:
        upstream_ownership.update_ownership(state)


def send_digests(state):
    """Send a digest to every known router.

    Digests contain the figures changed since the last one. A router that is not
    live yet gets all figures, and so does every router at regular intervals.
    """
    state.digest_count += 1
    is_whole_due = state.digest_count % _DIGESTS_PER_WHOLE_DIGEST == 1
    changed_reports = get_reports(state, False)
    all_reports = None
    state.ledger.dirty.clear()
    state.announced_waiting = {
        pool: state.ledger.get_own_waiting(pool) for pool in state.pools
    }
    now = state.clock()
    by_host = state.peers.by_host
    for host, address in state.peers.get_targets(state.host).items():
        peer = by_host.get(host)
        is_whole = is_whole_due or peer is None or not peer.live
        if is_whole and all_reports is None:
            all_reports = get_reports(state, True)
        reports = all_reports if is_whole else changed_reports
        digest = _make_digest(state, peer, reports, is_whole, now)
        state.links.send(address, digest)


def get_reports(state, whole):
    """Return a `PoolReport` per pool, with all keys if ``whole``, else changed ones."""
    ledger = state.ledger
    keys = list(ledger.own) if whole else list(ledger.dirty)
    by_pool = {}
    for key in keys:
        usage = ledger.own[key]
        number = state.account_numbers.get(key.account)
        if number is None:
            continue
        by_pool.setdefault(key.pool, {})[number] = (
            int(usage.settled),
            int(usage.inflight),
            int(ledger.lifts.get(key, 0.0)),
            usage.waiting,
        )
    return [
        PoolReport(pool, int(ledger.fronts.get(pool, 0.0)), accounts)
        for pool, accounts in by_pool.items()
    ]


def handle(state, message):
    """Process one message of another router; drop it if it is a replay."""
    peer = state.peers.record_message(message, state.clock())
    if peer is None:
        metrics.control_dropped.labels("replayed").inc()
        return
    _HANDLERS[type(message)](state, peer, message)


def _handle_digest(state, peer, digest):
    if digest.identity is not None:
        peer.domain = digest.identity.domain
        peer.address = digest.identity.address
    peer.sent_at = digest.sent_at
    peer.echo = max(peer.echo, digest.echo)
    peer.leaving = digest.leaving
    peer.config_offset = digest.config_offset
    state.holder.renew_leases(peer.source, digest.echo)
    update_liveness(state)
    reports = [
        (ServiceKey(pool.pool, state.account_names[number]), Report(*figures))
        for pool in digest.pools
        for number, figures in pool.accounts.items()
        if number in state.account_names
    ]
    if digest.whole:
        state.fully_reported.add(peer.source)
    fronts = [(pool.pool, pool.front) for pool in digest.pools]
    state.ledger.merge(peer.source, digest.seq, reports, fronts)
    dispatcher.merge_grants(state, peer.source, digest.grants)
    pools = upstream_ownership.merge_claims(state, peer.source, digest.claims)
    for pool in pools | {pool.pool for pool in digest.pools}:
        slot_grants.grant_slots(state, pool)
    _request_missing_state(state, peer, digest)


def _handle_ask(state, peer, ask):
    peer.sent_at = max(peer.sent_at, ask.sent_at)
    names = state.account_names
    waiting = {names[n]: count for n, count in ask.waiting.items() if n in names}
    state.ledger.merge_waiting(peer.source, ask.pool, waiting)
    upstream_ownership.merge_claims(state, peer.source, ask.claims)
    slot_grants.grant_slots(state, ask.pool)


def _handle_offer(state, peer, offer):
    peer.echo = max(peer.echo, offer.echo)
    state.holder.renew_leases(peer.source, offer.echo)
    dispatcher.merge_grants(state, peer.source, offer.grants)
    held_slots.handle_recall(state, offer.recall)


def _handle_handover(state, peer, handover):
    upstream_ownership.adopt_handover(state, handover)


def _handle_view_query(state, peer, query):
    if state.configuration.offset > query.offset:
        view = msgspec.msgpack.encode(state.configuration.get_view())
        _send(state, peer, ViewAnswer, view=view)


def _handle_view_answer(state, peer, answer):
    try:
        view = msgspec.msgpack.decode(answer.view, type=View)
    except msgspec.MsgspecError:
        metrics.control_dropped.labels("malformed").inc()
        return
    if not state.configuration.adopt(view):
        metrics.config_reverts.inc()
        return
    state.config_known = True
    apply_configuration(state)
    logger.bind(peer=peer.source, offset=view.offset).info("configuration adopted")


def _handle_history_query(state, peer, _query):
    if state.history_known:
        _send(state, peer, History, **service_history.encode_history(state))


def _handle_history(state, peer, message):
    if state.history_known:
        return
    state.history_known = True
    history = service_history.decode_history(state, message)
    state.ledger.adopt_history(history, state.clock())
    logger.bind(peer=peer.source).info("history adopted")


_HANDLERS = {
    Digest: _handle_digest,
    Ask: _handle_ask,
    Offer: _handle_offer,
    Handover: _handle_handover,
    ViewQuery: _handle_view_query,
    ViewAnswer: _handle_view_answer,
    HistoryQuery: _handle_history_query,
    History: _handle_history,
    KeyClaim: key_claims.handle_claim,
    KeyAnswer: key_claims.handle_answer,
    KeyRelease: key_claims.handle_release,
    KeyQuery: key_claims.handle_query,
    KeyRows: key_claims.handle_rows,
}


def apply_configuration(state):
    """Apply the current configuration to upstreams, ownership and held slots."""
    previous_names = set(state.upstreams)
    state.apply_configuration()
    upstream_ownership.update_ownership(state)
    for name in previous_names - set(state.upstreams):
        state.holder.held.pop(name, None)
    for name, up in state.upstreams.items():
        if up.leaving and name in state.holder.held:
            held_slots.hand_back(state, name, state.holder.held[name].free)
    for pool in state.pools:
        dispatcher.dispatch(state, pool)


def set_members(state, hosts):
    """Replace the members by the platform's list.

    Routers in the settings that the list does not contain stay members.
    """
    members = [
        Member(h.host, h.domain, h.address, h.state == "leaving")
        for h in hosts
        if h.role == "router"
    ]
    known_hosts = {m.host for m in members}
    seeds = [m for m in get_seeds(state) if m.host not in known_hosts]
    state.peers.set_members(members + seeds)
    upstream_ownership.update_ownership(state)


def get_seeds(state):
    """Return the routers listed in the settings."""
    return [Member(**seed) for seed in state.cfg["fleet"]["seeds"]]


def _make_digest(state, peer, reports, is_whole, now):
    source = peer.source if peer else None
    claims = [
        state.holder.get_claim(name, state.health.is_ejected(name, now))
        for name in state.holder.held
        if source is not None
        and source in upstream_ownership.get_claim_targets(state, name)
    ]
    grants = [
        table.get_grant(source)
        for table in state.tables.values()
        if source in table.entries
    ]
    return Digest(
        source=state.source,
        seq=state.next_seq(),
        sent_at=now,
        echo=peer.sent_at if peer else 0.0,
        leaving=state.leaving,
        config_offset=state.configuration.offset,
        identity=Identity(state.domain, state.links.address) if is_whole else None,
        whole=is_whole,
        pools=reports,
        claims=claims,
        grants=grants,
    )


def _request_missing_state(state, peer, digest):
    if not state.history_known:
        _send(state, peer, HistoryQuery)
    needed = state.config_gap or not state.config_known
    if needed and digest.config_offset > state.configuration.offset:
        _send(state, peer, ViewQuery, offset=state.configuration.offset)


def _send(state, peer, message_type, **fields):
    address = state.peers.get_address(peer)
    if address:
        message = message_type(source=state.source, seq=state.next_seq(), **fields)
        state.links.send(address, message)


def _get_clamp(state, pool):
    return state.cfg["sharing"]["clamp"] * state.ledger.get_mean_charge(pool)
