"""The owner's decision: which router gets the free slots."""

from typing import NamedTuple

from .figures import Key


class Want(NamedTuple):
    """Demand at one holder: requests of one account waiting there."""

    holder: str
    account: str
    count: int


class Gift(NamedTuple):
    """One slot of ``upstream`` for ``holder``; ``account`` is None for a float."""

    holder: str
    upstream: str
    account: str | None


def plan_gifts(pool, free, wants, ledger, prefer, rng, dry=()):
    """Divide free slots, one at a time, to the least-served waiting accounts.

    Parameters
    ----------
    free : dict of upstream to int
        Slots to give; changed in place.
    wants : list of Want
    prefer : callable
        ``prefer(holder, upstreams)`` returns the upstream to give, or None
        where the holder can use none of them.
    rng : random.Random
        Chooses among the routers where an account waits, in proportion to the
        requests there: a router with few is not passed over for ever.
    dry : collection of str
        Holders that get one slot first. Shares bound what an account waits,
        not what its requests at one router wait, where it is served elsewhere.

    Returns
    -------
    list of Gift
        Each is charged to the ledger as pending at its holder.
    """
    demand = {}
    for want in wants:
        demand.setdefault(want.account, {})[want.holder] = want.count
    gifts = []
    unit = ledger.get_unit(pool)
    dry = [want for want in wants if want.holder in dry]
    while demand:
        open_upstreams = [u for u, count in free.items() if count > 0]
        if not open_upstreams:
            break
        among = [want.account for want in dry] or demand
        account = min(among, key=lambda a: (ledger.get_virtual(Key(pool, a)), a))
        holders = demand[account]
        waiting_dry = [w.holder for w in dry if w.account == account]
        names = sorted(waiting_dry or holders)
        (holder,) = rng.choices(names, [holders[name] for name in names])
        dry = [want for want in dry if want.holder != holder]
        upstream = prefer(holder, open_upstreams)
        if upstream is None:
            _drop(demand, account, holder)
            continue
        free[upstream] -= 1
        gifts.append(Gift(holder, upstream, account))
        ledger.add_pending(holder, Key(pool, account), unit)
        holders[holder] -= 1
        if holders[holder] <= 0:
            _drop(demand, account, holder)
    return gifts


def plan_floats(free, held, limit):
    """Give idle slots to the holders with the fewest, up to ``limit`` each.

    Parameters
    ----------
    free : dict of upstream to int
        Changed in place.
    held : dict of holder to int
        Slots each holder has free already, over all upstreams of the pool.
    """
    gifts = []
    for upstream in free:
        while free[upstream] > 0 and held:
            holder = min(held, key=lambda h: (held[h], h))
            if held[holder] >= limit:
                return gifts
            free[upstream] -= 1
            held[holder] += 1
            gifts.append(Gift(holder, upstream, None))
    return gifts


def should_hand_back(local_least, elsewhere_least, slack):
    """Return whether a freed slot serves the fleet better through its owner.

    Parameters
    ----------
    local_least, elsewhere_least : float or None
        Virtual service of the least-served account waiting here, elsewhere.
    slack : float
        Difference up to which the slot is kept, in cost per weight.
    """
    if elsewhere_least is None:
        return False
    if local_least is None:
        return True
    return local_least > elsewhere_least + slack


def _drop(demand, account, holder):
    del demand[account][holder]
    if not demand[account]:
        del demand[account]
