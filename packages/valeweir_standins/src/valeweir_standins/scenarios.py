"""Scenarios: a table of loads and disturbances.

``make_workers(rig, setup)`` returns the load; ``disturb(rig, begin, until,
seed)`` brings about the faults while it runs.
"""

import random
from typing import Any, NamedTuple

from valeweir.models import WorkClass

from . import disturbances
from .loads import Mix, Worker

MEAN_TOKENS = 50.0
_SIGMA = 0.7
_READ = Mix(WorkClass.READING, MEAN_TOKENS, _SIGMA)
_CHAT = Mix(WorkClass.CHAT, MEAN_TOKENS / 2, 0.4, True)
_BOOK = Mix(WorkClass.BOOKING, 1.0, 0.1)


def _everyone(account):
    return True


class Scenario(NamedTuple):
    """One row of the table.

    ``crash`` marks scenarios in which killed processes may visibly cut
    answers; ``relays`` those that cut links. ``measured_from`` is the part of
    the window, 0 to 1, after which every account that ``is_backlogged`` names
    has requests waiting.
    """

    name: str
    text: str
    make_workers: Any
    disturb: Any
    is_backlogged: Any = _everyone
    measured_from: float = 0.0
    crash: bool = False
    relays: bool = False


def do_nothing(rig, begin, until, seed):
    """Disturb nothing."""


def _spread(rig, count, rng):
    """Return ``count`` routers' addresses, chosen at random."""
    addresses = [p.address for p in rig.routers.values()]
    return rng.sample(addresses, min(count, len(addresses)))


def _count_workers(setup, account):
    deployment = setup.deployment
    slots = sum(u.slots for u in deployment.upstreams if u.kind == "engine")
    weights = sum(a.weight for a in deployment.accounts)
    return max(4, round(account.demand * slots * account.weight / weights))


def _make_even(rig, setup):
    return _make_reading(rig, setup, lambda rng: 9)


def _make_skew(rig, setup):
    return _make_reading(rig, setup, lambda rng: rng.randint(1, 3))


def _make_reading(rig, setup, choose_count):
    """Return workers of heavy reading, each account through some routers."""
    rng = random.Random(setup.seed)
    workers = []
    for account in setup.deployment.accounts:
        entries = _spread(rig, choose_count(rng), rng)
        for number in range(_count_workers(setup, account)):
            address = entries[number % len(entries)]
            seed = rng.randrange(1 << 30)
            workers.append(Worker(account.name, address, _READ, seed))
    return workers


def _make_flood(rig, setup, through_all):
    """Return the skewed load with one account at twenty times its share."""
    rng = random.Random(setup.seed)
    workers = _make_skew(rig, setup)
    flooder = setup.deployment.accounts[-1]
    entries = _spread(rig, 99 if through_all else 1, rng)
    count = _count_workers(setup, flooder._replace(demand=20.0))
    for number in range(count):
        address = entries[number % len(entries)]
        workers.append(Worker(flooder.name, address, _READ, rng.randrange(1 << 30)))
    return workers


def _make_burst(rig, setup):
    """Return the skewed load, half of the accounts idle for the first half."""
    late = {a.name for a in setup.deployment.accounts[1::2]}
    half = 3.0 + setup.seconds / 2
    return [
        w._replace(starts=half if w.account in late else 0.0)
        for w in _make_skew(rig, setup)
    ]


def _make_mixed(rig, setup):
    """Return heavy reading, quick chat and booking calls together."""
    rng = random.Random(setup.seed)
    workers = _make_skew(rig, setup)
    for account in setup.deployment.accounts:
        for address in _spread(rig, 2, rng):
            seed = rng.randrange(1 << 30)
            workers.append(Worker(account.name, address, _CHAT, seed, think=0.5))
            seed = rng.randrange(1 << 30)
            workers.append(Worker(account.name, address, _BOOK, seed, think=0.2))
    return workers


def _row(name, text, make_workers, disturb=do_nothing, **more):
    return Scenario(name, text, make_workers, disturb, **more)


SCENARIOS = {
    row.name: row
    for row in (
        _row("steady", "every account through every router", _make_even),
        _row("skew", "each account through one to three routers", _make_skew),
        _row(
            "flood-one",
            "one account at 20 times its share through one router",
            lambda rig, setup: _make_flood(rig, setup, False),
        ),
        _row(
            "flood-all",
            "one account at 20 times its share through all routers",
            lambda rig, setup: _make_flood(rig, setup, True),
        ),
        _row(
            "idle-then-burst",
            "half of the accounts join half-way",
            _make_burst,
            measured_from=0.5,
        ),
        _row("mixed", "reading, chat and booking calls together", _make_mixed),
        _row(
            "owner-kill",
            "the router that owns most is killed and restarted",
            _make_mixed,
            disturbances.kill_owner,
            crash=True,
        ),
        _row(
            "owner-pause",
            "the router that owns most is frozen past its lease",
            _make_mixed,
            disturbances.pause_owner,
        ),
        _row(
            "cut-domain",
            "a domain's routers are cut off from the others",
            _make_mixed,
            disturbances.cut_domain,
            relays=True,
        ),
        _row(
            "one-way-cut",
            "a domain's routers hear the others but are not heard",
            _make_mixed,
            disturbances.cut_one_way,
            relays=True,
        ),
        _row(
            "rolling-restart",
            "every router is stopped as planned and started again",
            _make_mixed,
            disturbances.restart_rolling,
        ),
        _row(
            "restart-all",
            "all routers are killed at once and started empty",
            _make_mixed,
            disturbances.restart_all,
            crash=True,
        ),
        _row(
            "log-outage",
            "log and membership list are down for the whole run",
            _make_mixed,
            disturbances.stop_platform,
        ),
        _row(
            "lost-append",
            "the log loses answers while operators change weights",
            _make_mixed,
            disturbances.lose_appends,
        ),
        _row(
            "leaving-upstream",
            "an engine is marked as leaving",
            _make_mixed,
            disturbances.drain_upstream,
        ),
        _row(
            "upstream-flap",
            "an engine is killed and started several times",
            _make_mixed,
            disturbances.flap_upstream,
            crash=True,
        ),
        _row(
            "two-faults",
            "two faults at once, chosen by the seed",
            _make_mixed,
            disturbances.disturb_twice,
            crash=True,
            relays=True,
        ),
    )
}


def get_scenario(name):
    """Return a `Scenario` by name."""
    return SCENARIOS[name]
