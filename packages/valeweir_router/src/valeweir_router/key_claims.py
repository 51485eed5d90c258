"""Claims of idempotency keys, made at the key's holders before a call is sent.

Holders are the routers that record a key. The caller of a function must hold the
state's lock, except for `claim_key` and `release_key`.
"""

import hashlib
import threading

from loguru import logger
from valeweir import metrics
from valeweir.models import Outcome, Refusal
from valeweir_fleet.messages import (
    KeyAnswer,
    KeyClaim,
    KeyQuery,
    KeyRelease,
    KeyRows,
)
from valeweir_sharing.idempotency_keys import ClaimAnswer, evaluate_claim, get_holders

_MAJORITY_TIMEOUT_S = 0.25
_ALL_HOLDERS_TIMEOUT_S = 1.0
_KEY_DIGEST_BYTES = 10
_REQUEST_NUMBER_BYTES = 7
_NO_PEERS_TIMEOUT_S = 3.0


class PendingClaim:
    """A claim in progress: the holders asked and their answers.

    ``decided`` is set when the claim is decided or all asked holders have answered.
    """

    def __init__(self, holders):
        self.holders = holders
        self.asked_hosts = set()
        self.answers = {}
        self.decided = threading.Event()

    def add_answer(self, host, answer):
        """Record a holder's answer."""
        if host in self.asked_hosts:
            self.answers[host] = answer
        all_answered = len(self.answers) == len(self.asked_hosts)
        if all_answered or self.evaluate() is not None:
            self.decided.set()

    def evaluate(self):
        """Return whether the call may be sent, or None while this is undecided."""
        return evaluate_claim(self.answers, len(self.holders))


def make_key(account, pool, text):
    """Return the digest that identifies a caller's key in the whole fleet."""
    data = f"{account}\0{pool}\0{text}".encode()
    return hashlib.blake2b(data, digest_size=_KEY_DIGEST_BYTES).digest()


def make_request_number(request_id):
    """Return the number that identifies a request in claims."""
    digest = hashlib.blake2b(
        request_id.encode(), digest_size=_REQUEST_NUMBER_BYTES
    ).digest()
    return int.from_bytes(digest, "big")


def claim_key(state, key, request):
    """Claim a key for a request; return None, or the `Refusal` to send.

    A majority of the holders is asked first, the others only if its answers do not
    decide the claim. Any two majorities have a common holder, whichever holders they
    consist of, so two claims of the same key cannot both succeed.
    """
    with state.lock:
        pending = PendingClaim(_rank_holders(state, key))
        state.key_claims[(key, request)] = pending
        majority = len(pending.holders) // 2 + 1
        _send_claim(state, pending, pending.holders[:majority], key, request)
    pending.decided.wait(_MAJORITY_TIMEOUT_S)
    with state.lock:
        if pending.evaluate() is None:
            pending.decided.clear()
            _send_claim(state, pending, pending.holders[majority:], key, request)
    if pending.evaluate() is None:
        pending.decided.wait(_ALL_HOLDERS_TIMEOUT_S)
    with state.lock:
        state.key_claims.pop((key, request), None)
        may_send = pending.evaluate()
    if may_send:
        return None
    release_key(state, key, request)
    if may_send is False:
        return Refusal(
            409,
            "key-already-sent",
            "a call with this Idempotency-Key has already been accepted",
            "check its outcome with the service; it is not sent twice",
            outcome=Outcome.UNKNOWN,
        )
    return Refusal(
        503,
        "key-holders-unreachable",
        "it cannot be determined now whether this Idempotency-Key was used before",
        "retry later with the same key: the call runs at most once",
        outcome=Outcome.UNKNOWN,
        retry_after=2,
    )


def release_key(state, key, request):
    """Release a key whose call was certainly not run."""
    with state.lock:
        for host in get_holders(key, _get_members(state)):
            if host == state.host:
                state.keys.release(key, request)
            else:
                _send(state, host, KeyRelease, key=key, request=request)


def handle_claim(state, peer, message):
    """Record another router's claim and send the answer."""
    answer = state.keys.claim(message.key, message.request, state.clock())
    _send(
        state,
        peer.host,
        KeyAnswer,
        key=message.key,
        request=message.request,
        answer=answer.value,
    )


def handle_answer(state, peer, message):
    """Record a holder's answer to a claim of this router."""
    pending = state.key_claims.get((message.key, message.request))
    if pending is None:
        return
    try:
        pending.add_answer(peer.host, ClaimAnswer(message.answer))
    except ValueError:
        metrics.control_dropped.labels("malformed").inc()


def handle_release(state, peer, message):
    """Delete a claim that another router releases."""
    state.keys.release(message.key, message.request)


def handle_query(state, peer, message):
    """Send the claims recorded here to a router that has just started."""
    rows = state.keys.get_rows(state.clock())
    _send(state, peer.host, KeyRows, rows=rows)


def handle_rows(state, peer, message):
    """Merge the claims that another holder has recorded."""
    state.keys.merge(message.rows, state.clock())
    state.key_row_sources.add(peer.host)


def update_keys(state):
    """Expire old claims; after a start, request the claims of the live peers.

    Called once per digest interval. The table is complete when all live peers have
    sent their claims, or when no live peer has been found in time.
    """
    state.keys.expire(state.clock())
    if state.keys.complete:
        return
    missing = [
        peer.host
        for peer in state.peers.get_live()
        if peer.host not in state.key_row_sources
    ]
    for host in missing:
        _send(state, host, KeyQuery)
    # Without a live peer within the timeout there are no claims to request.
    timeout_s = _NO_PEERS_TIMEOUT_S if _get_members(state) != {state.host} else 0.0
    timed_out = state.clock() - state.started_at > timeout_s
    if not missing and (state.key_row_sources or timed_out):
        state.keys.complete = True
        logger.bind(learned_from=len(state.key_row_sources)).info("keys known")


def _rank_holders(state, key):
    """Return the key's holders, ordered by how soon an answer is expected.

    This router comes first, then live peers, then the other hosts.
    """
    live = {peer.host for peer in state.peers.get_live()}
    holders = get_holders(key, _get_members(state))
    return sorted(holders, key=lambda h: (h != state.host, h not in live, h))


def _send_claim(state, pending, hosts, key, request):
    pending.asked_hosts.update(hosts)
    for host in hosts:
        if host == state.host:
            pending.add_answer(host, state.keys.claim(key, request, state.clock()))
        else:
            _send(state, host, KeyClaim, key=key, request=request)


def _get_members(state):
    """Return all hosts of the fleet, including unreachable ones."""
    return {state.host, *state.peers.members}


def _send(state, host, message_type, **fields):
    address = state.peers.find_address(host)
    if address:
        message = message_type(source=state.source, seq=state.next_seq(), **fields)
        state.links.send(address, message)
