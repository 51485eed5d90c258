"""Choice of the instance that serves a request."""

import functools
from typing import NamedTuple

import xxhash

from .cold_caches import Spread, choose_spread

# Weight of a second of reading cached prompt parts again, relative to a second of
# waiting.
_REREAD_WEIGHT = 3.5
# Added for each place in rendezvous order, so that the first of idle instances wins.
_RANK_WAIT_S = 0.005
# Number of instances evaluated at first, and in each further step. If reports were
# never stale, two would spread load nearly as well as all; four allow for slow ones.
_BATCH_INSTANCE_COUNT = 4
# Weight of a second of transferring cached parts, relative to a second of waiting.
_TRANSFER_WEIGHT = 16.0
# Fixed time of a transfer, in addition to the time for its bytes.
_TRANSFER_BASE_S = 0.005
# Fewer tokens are read faster than transferred.
_MIN_TRANSFER_TOKENS = 500
_MAX_HOLDERS = 4
# Round trip of a plain call to another domain: 0.5 to 1.4 ms in each direction.
_REMOTE_DOMAIN_WAIT_S = 0.002
# Multiplicative hashing: 2 ** 64 divided by the golden ratio, and odd.
_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << 64) - 1
_MAX_CACHED_HASHES = 8_192


class Choice(NamedTuple):
    """A chosen instance, with the estimates for the request there.

    ``tokens`` is the number of tokens that the instance has to read, ``wait`` the time
    until the first event and ``alone`` that time with an empty queue, in seconds.
    ``source`` is the instance to transfer cached parts from, or None.
    """

    instance: object
    tokens: int
    wait: float
    alone: float
    reason: str
    source: object = None


@functools.lru_cache(_MAX_CACHED_HASHES)
def _hash_name(name):
    return xxhash.xxh64_intdigest(name.encode())


def rank_instances(key, instances):
    """Return the instances in rendezvous order for ``key``, best first."""
    key_hash = _hash_name(key)
    return sorted(
        instances,
        key=lambda instance: (
            (key_hash ^ _hash_name(instance.id)) * _HASH_MULTIPLIER & _HASH_MASK
        ),
        reverse=True,
    )


def choose_engine(
    prompt, instances, loads, now, engine=None, max_queue_wait=0.0, latency_target=None
):
    """Return the `Choice` with the lowest sum of wait and cost, or None.

    A shared part is assumed to be cached if the instance, this gateway or a peer has
    reported it. It is also assumed to be cached at the home instance, the first in
    rendezvous order, while that instance's cache has not been listed, since all
    gateways prefer the home instance. Reading a part again uses capacity that other
    requests wait for, so it is weighted higher than its duration. Transferring the
    part from an instance that holds it costs less.

    The reported load of the instances is some tens of milliseconds old and the same at
    every gateway. If each gateway chose the best of all instances, all would send to
    the same one until the next reports. Therefore only a few instances are evaluated,
    which differ between prompts: the first in rendezvous order and those that hold the
    most tokens of the prompt. Further instances are evaluated only while the shortest
    queue wait is longer than ``max_queue_wait`` seconds.

    ``latency_target`` is the latency target of the route in seconds. Together with the
    backlog of the engines it determines how far prompts are spread; see `cold_caches`.
    """
    ranked = rank_instances(prompt.home or prompt.own_id, instances)
    cached_tokens = loads.count_cached_tokens(prompt.shared, now)
    holders = find_holders(cached_tokens, ranked, engine)
    spread = Spread()
    if latency_target is not None:
        spread = choose_spread(loads.estimate_backlog(instances, now), latency_target)
    uncached = prompt.tokens - prompt.own - max(cached_tokens.values(), default=0)
    evaluate = functools.partial(
        _evaluate,
        prompt,
        cached_tokens=cached_tokens,
        holders=holders,
        loads=loads,
        now=now,
        engine=engine,
        home_discount=spread.home_discount * uncached,
    )
    candidates = [
        evaluate(rank, instance)
        for rank, instance in enumerate(ranked[:_BATCH_INSTANCE_COUNT])
    ]
    candidates += [
        evaluate(_BATCH_INSTANCE_COUNT, instance)
        for instance, _ in holders
        if instance not in ranked[:_BATCH_INSTANCE_COUNT]
    ]
    evaluated_count = _BATCH_INSTANCE_COUNT
    while (
        evaluated_count < len(ranked)
        and _get_min_queue_wait(candidates) > max_queue_wait
    ):
        more = ranked[evaluated_count : evaluated_count + _BATCH_INSTANCE_COUNT]
        candidates += [
            evaluate(evaluated_count + offset, instance)
            for offset, instance in enumerate(more)
        ]
        evaluated_count += _BATCH_INSTANCE_COUNT
    if not candidates:
        return None
    in_time = [
        candidate for candidate in candidates if candidate.wait <= spread.max_wait
    ]
    best = min(in_time or candidates, key=lambda candidate: candidate.score)
    return Choice(
        best.instance, best.unread, best.wait, best.alone, best.reason, best.source
    )


def _get_min_queue_wait(candidates):
    """Return the shortest time in seconds that the request waits in a queue."""
    return min(candidate.wait - candidate.alone for candidate in candidates)


class _Candidate(NamedTuple):
    """An evaluated instance; times are in seconds.

    ``source`` is the instance to transfer cached parts from, or None.
    """

    instance: object
    unread: int
    wait: float
    alone: float
    score: float
    reason: str
    source: object


def _evaluate(
    prompt, rank, instance, cached_tokens, holders, loads, now, engine, home_discount
):
    cached = cached_tokens.get(instance.id, 0)
    if rank == 0 and not loads.is_listed(instance.id):
        cached = prompt.tokens - prompt.own
    source = pick_source(instance, cached, holders) if holders else None
    reason = "home" if rank == 0 else "spill"
    transfer = 0.0
    if source is not None:
        reason = "fetch"
        remote = source[0].domain != instance.domain
        transfer = estimate_transfer(source[1] - cached, remote, engine)
        cached = source[1]
    unread = max(1, prompt.tokens - cached)
    load = loads.get(instance.id, now)
    wait = loads.estimate_wait(load, unread) + transfer
    alone = loads.estimate_alone(load, unread) + transfer
    reread = max(0, unread - prompt.own)
    if rank == 0:
        # Parts that no engine holds have to be read once, and all gateways expect them
        # at this engine.
        reread = max(0, reread - home_discount)
    cost = _REREAD_WEIGHT * reread / loads.rate + _TRANSFER_WEIGHT * transfer
    score = wait + cost + _RANK_WAIT_S * rank
    source_instance = source[0] if source else None
    return _Candidate(instance, unread, wait, alone, score, reason, source_instance)


def find_holders(cached_tokens, instances, engine):
    """Return pairs (instance, tokens held), the most tokens first.

    The list is empty if engines cannot transfer parts. Only reported parts count, no
    assumed ones, since a transfer source has to hold the parts.
    """
    if not cached_tokens or engine is None or engine.link_rate <= 0.0:
        return []
    holders = [
        (instance, cached_tokens[instance.id])
        for instance in instances
        if instance.id in cached_tokens
    ]
    return sorted(holders, key=lambda holder: holder[1], reverse=True)[:_MAX_HOLDERS]


def pick_source(instance, cached, holders):
    """Return the (instance, tokens) to transfer parts from, or None to read them.

    Of the holders of the most tokens, one in the same failure domain is preferred.
    """
    better = [holder for holder in holders if holder[1] > cached + _MIN_TRANSFER_TOKENS]
    if not better:
        return None
    max_tokens = better[0][1]
    return max(
        better,
        key=lambda holder: (
            holder[1] == max_tokens,
            holder[0].domain == instance.domain,
        ),
    )


def estimate_transfer(tokens, remote, engine):
    """Return the seconds that a transfer of cached tokens takes.

    The bytes take twice as long between domains.
    """
    seconds = tokens * engine.token_bytes / engine.link_rate
    return _TRANSFER_BASE_S + seconds * (2.0 if remote else 1.0)


def choose_instance(instances, loads, domain, now, rng):
    """Return the `Choice` among instances of a plain service, or None.

    It is the instance that is expected to respond first, and among instances with free
    slots the least loaded one. Ties are broken at random, so that gateways do not all
    choose the same instance.
    """
    best = None
    for instance in instances:
        load = loads.get(instance.id, now)
        utilisation = (load.active + load.remote_active) / max(1, instance.slots)
        remote = _REMOTE_DOMAIN_WAIT_S if instance.domain != domain else 0.0
        wait = loads.estimate_call(load, instance.slots) + remote
        # Some instances become slower when nearly all their slots are in use.
        score = (wait + utilisation * loads.call_time, rng.random())
        if best is None or score < best[0]:
            best = (score, instance, wait)
    if best is None:
        return None
    _, instance, wait = best
    return Choice(instance, 0, wait, loads.call_time, "least loaded")
