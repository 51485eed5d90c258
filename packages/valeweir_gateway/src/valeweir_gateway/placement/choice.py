"""Which instance serves a request."""

import functools
from typing import NamedTuple

import xxhash

from .cold_caches import Spread, choose_spread

# Weight of a second of reading a cached prompt anew, against a second of waiting.
_REREAD_WEIGHT = 3.5
# Seconds for each place in the order: among idle instances the first one wins.
_RANK_WAIT = 0.005
# Instances weighed at first, and more at a time. Two would spread load nearly as
# well as all with news that were never old; four leave room for slow ones.
_WIDTH = 4
# Weight of a second of moving cached parts.
_MOVE_WEIGHT = 16.0
# Seconds that a move takes besides its bytes.
_MOVE_BASE = 0.005
# Tokens; what is less is read sooner than moved.
_MIN_MOVE = 500
_MAX_HOLDERS = 4
# Seconds for a plain call to another domain and back: two ways of 0.5 to 1.4 ms.
_REMOTE_ZONE_WAIT = 0.002
# Multiplicative hashing: 2 ** 64 divided by the golden ratio, and odd.
_MIXER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1
_SEEDS = 8_192


class Choice(NamedTuple):
    """An instance chosen, and what is expected there.

    ``tokens`` are those it has to read; ``wait`` is the time to the first
    event and ``alone`` what that would be with nothing ahead, in seconds.
    """

    instance: object
    tokens: int
    wait: float
    alone: float
    reason: str
    source: object = None


@functools.lru_cache(_SEEDS)
def _get_seed(name):
    return xxhash.xxh64_intdigest(name.encode())


def rank_instances(key, instances):
    """Return the instances in rendezvous order for ``key``, best first."""
    seed = _get_seed(key)
    return sorted(
        instances,
        key=lambda row: (seed ^ _get_seed(row.id)) * _MIXER & _MASK,
        reverse=True,
    )


def choose_engine(
    prompt, instances, loads, now, engine=None, patience=0.0, target=None
):
    """Return the `Choice` with the least wait and price, or None.

    A shared part is taken as read where the instance, this gateway or a peer
    has said so, and where nothing is known yet at the instance that rendezvous
    hashing names, since all gateways prefer that one. Reading it anew costs
    capacity that others wait for, so it weighs more than the time it takes;
    taking it from an instance that holds it costs less.

    What is known of the instances' work is some tens of milliseconds old, and
    the same at every gateway. If each took the best of all, they would all send
    to the same one until the next reports. So only a few are weighed, which
    differ from prompt to prompt: the first in rendezvous order and those that
    hold most of it. More are weighed only while the wait for others is longer
    than ``patience``, in seconds.

    ``target`` is the route's latency target in seconds, from which and the engines'
    backlog follows how far prompts are spread; see `cold_caches`.
    """
    ranked = rank_instances(prompt.home or prompt.own_id, instances)
    held = loads.count_held(prompt.shared, now)
    holders = find_holders(held, ranked, engine)
    spread = Spread()
    if target is not None:
        spread = choose_spread(loads.estimate_backlog(instances, now), target)
    missing = prompt.tokens - prompt.own - max(held.values(), default=0)
    weigh = functools.partial(
        _weigh,
        prompt,
        held=held,
        holders=holders,
        loads=loads,
        now=now,
        engine=engine,
        home_discount=spread.home_discount * missing,
    )
    options = [weigh(rank, row) for rank, row in enumerate(ranked[:_WIDTH])]
    options += [weigh(_WIDTH, row) for row, _ in holders if row not in ranked[:_WIDTH]]
    weighed = _WIDTH
    while weighed < len(ranked) and _get_least_queue(options) > patience:
        more = ranked[weighed : weighed + _WIDTH]
        options += [weigh(weighed + place, row) for place, row in enumerate(more)]
        weighed += _WIDTH
    if not options:
        return None
    in_time = [option for option in options if option.wait <= spread.max_wait]
    best = min(in_time or options, key=lambda option: option.score)
    return Choice(
        best.instance, best.unread, best.wait, best.alone, best.reason, best.source
    )


def _get_least_queue(options):
    """Return the least time that a request waits for others, in seconds."""
    return min(option.wait - option.alone for option in options)


class _Option(NamedTuple):
    """An instance weighed; times in seconds, ``source`` to take parts from."""

    instance: object
    unread: int
    wait: float
    alone: float
    score: float
    reason: str
    source: object


def _weigh(prompt, rank, instance, held, holders, loads, now, engine, home_discount):
    cached = held.get(instance.id, 0)
    if rank == 0 and not loads.is_listed(instance.id):
        cached = prompt.tokens - prompt.own
    source = pick_source(instance, cached, holders) if holders else None
    reason = "home" if rank == 0 else "spill"
    move = 0.0
    if source is not None:
        reason = "fetch"
        remote = source[0].zone != instance.zone
        move = estimate_move(source[1] - cached, remote, engine)
        cached = source[1]
    unread = max(1, prompt.tokens - cached)
    load = loads.get(instance.id, now)
    wait = loads.estimate_wait(load, unread) + move
    alone = loads.estimate_alone(load, unread) + move
    reread = max(0, unread - prompt.own)
    if rank == 0:
        # What no engine holds has to be read once, and all gateways look for it here.
        reread = max(0, reread - home_discount)
    price = _REREAD_WEIGHT * reread / loads.rate + _MOVE_WEIGHT * move
    score = wait + price + _RANK_WAIT * rank
    found = source[0] if source else None
    return _Option(instance, unread, wait, alone, score, reason, found)


def find_holders(held, instances, engine):
    """Return (instance, tokens held), the most first, where parts can be moved.

    Nothing is assumed here: what is taken from an instance must be known.
    """
    if not held or engine is None or engine.link_rate <= 0.0:
        return []
    rows = [(row, held[row.id]) for row in instances if row.id in held]
    return sorted(rows, key=lambda row: row[1], reverse=True)[:_MAX_HOLDERS]


def pick_source(instance, cached, holders):
    """Return the (instance, tokens) to take parts from, or None to read them.

    Of those that hold most, one in the same failure domain goes first.
    """
    better = [row for row in holders if row[1] > cached + _MIN_MOVE]
    if not better:
        return None
    most = better[0][1]
    return max(better, key=lambda row: (row[1] == most, row[0].zone == instance.zone))


def estimate_move(tokens, remote, engine):
    """Return seconds to take cached tokens over, twice as long between domains."""
    seconds = tokens * engine.token_bytes / engine.link_rate
    return _MOVE_BASE + seconds * (2.0 if remote else 1.0)


def choose_instance(instances, loads, zone, now, rng):
    """Return the `Choice` among instances of a plain service, or None.

    The one expected to answer first goes first, among those with free places the
    least loaded; equal ones by chance, so that gateways do not all pick the same.
    """
    best = None
    for instance in instances:
        load = loads.get(instance.id, now)
        busy = (load.active + load.remote_active) / max(1, instance.slots)
        remote = _REMOTE_ZONE_WAIT if instance.zone != zone else 0.0
        wait = loads.estimate_call(load, instance.slots) + remote
        # Some become slower when nearly full.
        score = (wait + busy * loads.call_time, rng.random())
        if best is None or score < best[0]:
            best = (score, instance, wait)
    if best is None:
        return None
    _, instance, wait = best
    return Choice(instance, 0, wait, loads.call_time, "least loaded")
