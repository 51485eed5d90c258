"""Which instance serves a request."""

from typing import NamedTuple

import xxhash

_REREAD_WEIGHT = 3.5
_RANK_WAIT = 0.005
_REMOTE_ZONE_WAIT = 0.002


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


def rank_instances(key, instances):
    """Return the instances in rendezvous order for ``key``, best first."""
    return sorted(
        instances,
        key=lambda row: xxhash.xxh64_intdigest(f"{key}|{row.id}".encode()),
        reverse=True,
    )


def choose_engine(prompt, instances, loads, now):
    """Return the `Choice` with the least wait and reading, or None.

    A shared part is taken as read where the instance, this gateway or a peer
    has said so, and where nothing is known yet at the instance that rendezvous
    hashing names, since all gateways prefer that one. Reading it anew costs
    capacity that others wait for, so it weighs more than the time it takes.
    """
    best = None
    for rank, instance in enumerate(rank_instances(prompt.home, instances)):
        uncached = count_uncached(prompt, instance, rank == 0, loads, now)
        wait = loads.estimate_wait(instance.id, uncached, now)
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        reread = max(0, uncached - own)
        score = wait + _REREAD_WEIGHT * reread / loads.rate + _RANK_WAIT * rank
        if best is None or score < best[0]:
            reason = "home" if rank == 0 else "spill"
            alone = loads.estimate_alone(instance.id, uncached, now)
            best = (score, Choice(instance, uncached, wait, alone, reason))
    return best[1] if best else None


def count_uncached(prompt, instance, is_home, loads, now):
    """Return the prompt tokens that the instance probably has to read."""
    if not prompt.parts:
        return prompt.tokens
    assumed = is_home and not loads.is_listed(instance.id)
    left = prompt.tokens
    for part in prompt.parts[:-1]:
        if not assumed and not loads.is_cached(part.id, instance.id, now):
            break
        left -= part.tokens
    return max(1, left)


def choose_instance(instances, loads, zone, now, rng):
    """Return the `Choice` among instances of a plain service, or None.

    The least loaded for its slots goes first; equal ones by zone, then by
    chance, so that gateways do not all pick the same.
    """
    best = None
    for instance in instances:
        load = loads.get(instance.id, now)
        busy = (load.active + load.remote_active) / max(1, instance.slots)
        remote = _REMOTE_ZONE_WAIT if instance.zone != zone else 0.0
        score = (busy * load.slowness + remote, rng.random())
        if best is None or score < best[0]:
            best = (score, instance)
    if best is None:
        return None
    return Choice(best[1], 0, 0.0, 0.0, "least loaded")
