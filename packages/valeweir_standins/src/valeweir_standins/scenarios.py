"""The scenarios: combinations of a load and a disturbance.

``make_workers(rig, setup)`` returns the load's workers; ``disturb(rig, begin,
until, seed)`` injects faults while the load runs.
"""

import random
from typing import Any, NamedTuple

from valeweir.models import WorkClass

from . import disturbances
from .loads import RequestMix, Worker

MEAN_TOKENS = 50.0
_TOKEN_SIGMA = 0.7
_READING = RequestMix(WorkClass.READING, MEAN_TOKENS, _TOKEN_SIGMA)
_CHAT = RequestMix(WorkClass.CHAT, MEAN_TOKENS / 2, 0.4, True)
_BOOKING = RequestMix(WorkClass.BOOKING, 1.0, 0.1)


def _is_any_account(account):
    return True


class Scenario(NamedTuple):
    """A load and a disturbance.

    ``may_cut_responses`` marks scenarios in which killed processes may cut off
    responses; ``relays`` marks those that cut links. ``measured_from_ratio`` is the
    part of the window, 0 to 1, after which every account for which
    ``is_backlogged`` is true has requests waiting.
    """

    name: str
    text: str
    make_workers: Any
    disturb: Any
    is_backlogged: Any = _is_any_account
    measured_from_ratio: float = 0.0
    may_cut_responses: bool = False
    relays: bool = False


def do_nothing(rig, begin, until, seed):
    """Inject no faults."""


def _choose_routers(rig, count, rng):
    """Return the addresses of ``count`` randomly chosen routers."""
    addresses = [p.address for p in rig.routers.values()]
    return rng.sample(addresses, min(count, len(addresses)))


def _count_workers(setup, account):
    deployment = setup.deployment
    slots = sum(u.slots for u in deployment.upstreams if u.kind == "engine")
    weights = sum(a.weight for a in deployment.accounts)
    return max(4, round(account.demand * slots * account.weight / weights))


def _make_even_workers(rig, setup):
    return _make_reading_workers(rig, setup, lambda rng: 9)


def _make_skewed_workers(rig, setup):
    return _make_reading_workers(rig, setup, lambda rng: rng.randint(1, 3))


def _make_reading_workers(rig, setup, choose_count):
    """Return reading workers; ``choose_count`` sets the routers of each account."""
    rng = random.Random(setup.seed)
    workers = []
    for account in setup.deployment.accounts:
        router_addresses = _choose_routers(rig, choose_count(rng), rng)
        for number in range(_count_workers(setup, account)):
            address = router_addresses[number % len(router_addresses)]
            seed = rng.randrange(1 << 30)
            workers.append(Worker(account.name, address, _READING, seed))
    return workers


def _make_flood_workers(rig, setup, through_all):
    """Return the skewed load with one account at 20 times its share."""
    rng = random.Random(setup.seed)
    workers = _make_skewed_workers(rig, setup)
    flooding_account = setup.deployment.accounts[-1]
    router_addresses = _choose_routers(rig, 99 if through_all else 1, rng)
    count = _count_workers(setup, flooding_account._replace(demand=20.0))
    for number in range(count):
        address = router_addresses[number % len(router_addresses)]
        workers.append(
            Worker(flooding_account.name, address, _READING, rng.randrange(1 << 30))
        )
    return workers


def _make_burst_workers(rig, setup):
    """Return the skewed load with half of the accounts idle in the first half."""
    late_accounts = {a.name for a in setup.deployment.accounts[1::2]}
    half_s = 3.0 + setup.seconds / 2
    return [
        w._replace(start_delay_s=half_s if w.account in late_accounts else 0.0)
        for w in _make_skewed_workers(rig, setup)
    ]


def _make_mixed_workers(rig, setup):
    """Return the skewed reading load together with chat and booking requests."""
    rng = random.Random(setup.seed)
    workers = _make_skewed_workers(rig, setup)
    for account in setup.deployment.accounts:
        for address in _choose_routers(rig, 2, rng):
            seed = rng.randrange(1 << 30)
            workers.append(Worker(account.name, address, _CHAT, seed, think_time_s=0.5))
            seed = rng.randrange(1 << 30)
            workers.append(
                Worker(account.name, address, _BOOKING, seed, think_time_s=0.2)
            )
    return workers


def _make_scenario(name, text, make_workers, disturb=do_nothing, **options):
    return Scenario(name, text, make_workers, disturb, **options)


SCENARIOS = {
    row.name: row
    for row in (
        _make_scenario(
            "steady", "every account through every router", _make_even_workers
        ),
        _make_scenario(
            "skew", "each account through one to three routers", _make_skewed_workers
        ),
        _make_scenario(
            "flood-one",
            "one account at 20 times its share through one router",
            lambda rig, setup: _make_flood_workers(rig, setup, False),
        ),
        _make_scenario(
            "flood-all",
            "one account at 20 times its share through all routers",
            lambda rig, setup: _make_flood_workers(rig, setup, True),
        ),
        _make_scenario(
            "idle-then-burst",
            "half of the accounts start after half of the run",
            _make_burst_workers,
            measured_from_ratio=0.5,
        ),
        _make_scenario(
            "mixed", "reading, chat and booking requests together", _make_mixed_workers
        ),
        _make_scenario(
            "owner-kill",
            "the router that owns the most slots is killed and restarted",
            _make_mixed_workers,
            disturbances.kill_owner,
            may_cut_responses=True,
        ),
        _make_scenario(
            "owner-pause",
            "the router that owns the most slots is suspended past its lease",
            _make_mixed_workers,
            disturbances.pause_owner,
        ),
        _make_scenario(
            "cut-domain",
            "a domain's routers are cut off from the others",
            _make_mixed_workers,
            disturbances.cut_domain,
            relays=True,
        ),
        _make_scenario(
            "one-way-cut",
            "a domain's routers receive from the others but cannot send to them",
            _make_mixed_workers,
            disturbances.cut_one_way,
            relays=True,
        ),
        _make_scenario(
            "rolling-restart",
            "every router is stopped with SIGTERM and restarted, one at a time",
            _make_mixed_workers,
            disturbances.restart_rolling,
        ),
        _make_scenario(
            "restart-all",
            "all routers are killed at once and restarted without state",
            _make_mixed_workers,
            disturbances.restart_all,
            may_cut_responses=True,
        ),
        _make_scenario(
            "log-outage",
            "the log and the membership list are unavailable for the whole run",
            _make_mixed_workers,
            disturbances.stop_platform,
        ),
        _make_scenario(
            "lost-append",
            "the log drops responses while operators change weights",
            _make_mixed_workers,
            disturbances.lose_appends,
        ),
        _make_scenario(
            "leaving-upstream",
            "an engine is marked as leaving",
            _make_mixed_workers,
            disturbances.drain_upstream,
        ),
        _make_scenario(
            "upstream-flap",
            "an engine is killed and restarted several times",
            _make_mixed_workers,
            disturbances.flap_upstream,
            may_cut_responses=True,
        ),
        _make_scenario(
            "two-faults",
            "two simultaneous faults, chosen by the seed",
            _make_mixed_workers,
            disturbances.combine_two_disturbances,
            may_cut_responses=True,
            relays=True,
        ),
    )
}


def get_scenario(name):
    """Return a `Scenario` by name."""
    return SCENARIOS[name]
