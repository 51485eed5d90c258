"""Service of past incarnations, which a starting router requests from its peers.

The caller of any function must hold the state's lock.
"""

from loguru import logger
from valeweir_fleet.messages import PastService
from valeweir_sharing.usage import History, ServiceKey

_RETIRE_AFTER_S = 600.0
_DROP_RETIRED_AFTER_S = 86_400.0


def encode_history(state):
    """Return the fields of a `History` message."""
    history = state.ledger.get_history()
    numbers = state.account_numbers
    keys = [k for k in set(history.base) | set(history.lifts) if k.account in numbers]
    past = [
        PastService(
            key.pool,
            numbers[key.account],
            int(history.base.get(key, 0.0)),
            int(history.lifts.get(key, 0.0)),
        )
        for key in keys
    ]
    silent = {
        source: [
            (key.pool, numbers[key.account], int(settled))
            for key, settled in rows.items()
            if key.account in numbers
        ]
        for source, rows in history.silent.items()
    }
    return {"past": past, "retired": history.retired, "silent": silent}


def decode_history(state, message):
    """Return the `valeweir_sharing.usage.History` in a message."""
    names = state.account_names
    rows = [
        (ServiceKey(p.pool, names[p.account]), p)
        for p in message.past
        if p.account in names
    ]
    silent = {
        source: {
            ServiceKey(pool, names[number]): float(settled)
            for pool, number, settled in entries
            if number in names
        }
        for source, entries in message.silent.items()
    }
    return History(
        {key: float(p.base) for key, p in rows},
        message.retired,
        {key: float(p.lift) for key, p in rows},
        silent,
    )


def update_history(state):
    """Update the completeness of the ledger and retire silent incarnations.

    Called once per digest interval. If no peer has sent a history within a lease
    time after the start, there is none in the fleet. The ledger is complete when
    every live peer has sent a whole digest.
    """
    now = state.clock()
    if not state.history_known and now - state.started_at > state.holder.lease_time:
        state.history_known = True
        logger.info("no router knew of earlier service")
    if state.history_known and not state.ledger.complete:
        live = {peer.source for peer in state.peers.get_live()}
        state.ledger.complete = live <= state.fully_reported
    for source in [
        s for s, since in state.silent_since.items() if since < now - _RETIRE_AFTER_S
    ]:
        state.ledger.retire(source, now)
        del state.silent_since[source]
    state.ledger.drop_retired(now - _DROP_RETIRED_AFTER_S)


def record_liveness(state, source, live):
    """Record the time from which an incarnation has been silent."""
    if live:
        state.silent_since.pop(source, None)
    else:
        state.silent_since[source] = state.clock()
