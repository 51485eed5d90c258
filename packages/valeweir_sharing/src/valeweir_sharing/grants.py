"""The owner's decision: which router gets the free slots."""

from typing import NamedTuple

from .figures import Key


class Want(NamedTuple):
    """Demand at one holder: requests of one account waiting there."""

    holder: str
    account: str
    count: int


class SlotAssignment(NamedTuple):
    """One slot of ``upstream`` for ``holder``; ``account`` is None for a float."""

    holder: str
    upstream: str
    account: str | None


def plan_gifts(pool, free, demands, ledger, select_upstream, rng, starved=()):
    """Divide free slots, one at a time, to the least-served waiting accounts.

    Parameters
    ----------
    free : dict of upstream to int
        Slots to give; changed in place.
    wants : list of Want
    prefer : callable
        ``select_upstream(holder, upstreams)`` returns the upstream to give, or None
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
    holders_by_account = {}
    for demand in demands:
        holders_by_account.setdefault(demand.account, {})[demand.holder] = demand.count
    assignments = []
    mean_charge = ledger.get_unit(pool)
    starved = [demand for demand in demands if demand.holder in starved]
    while holders_by_account:
        free_upstreams = [u for u, count in free.items() if count > 0]
        if not free_upstreams:
            break
        eligible_accounts = [demand.account for demand in starved] or holders_by_account
        account = min(
            eligible_accounts, key=lambda a: (ledger.get_virtual(Key(pool, a)), a)
        )
        holders = holders_by_account[account]
        starved_holders = [w.holder for w in starved if w.account == account]
        names = sorted(starved_holders or holders)
        (holder,) = rng.choices(names, [holders[name] for name in names])
        starved = [demand for demand in starved if demand.holder != holder]
        upstream = select_upstream(holder, free_upstreams)
        if upstream is None:
            _drop(holders_by_account, account, holder)
            continue
        free[upstream] -= 1
        assignments.append(SlotAssignment(holder, upstream, account))
        ledger.add_pending(holder, Key(pool, account), mean_charge)
        holders[holder] -= 1
        if holders[holder] <= 0:
            _drop(holders_by_account, account, holder)
    return assignments


def plan_floats(free, held, limit):
    """Give idle slots to the holders with the fewest, up to ``limit`` each.

    Parameters
    ----------
    free : dict of upstream to int
        Changed in place.
    held : dict of holder to int
        Slots each holder has free already, over all upstreams of the pool.
    """
    assignments = []
    for upstream in free:
        while free[upstream] > 0 and held:
            holder = min(held, key=lambda h: (held[h], h))
            if held[holder] >= limit:
                return assignments
            free[upstream] -= 1
            held[holder] += 1
            assignments.append(SlotAssignment(holder, upstream, None))
    return assignments


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


def _drop(holders_by_account, account, holder):
    del holders_by_account[account][holder]
    if not holders_by_account[account]:
        del holders_by_account[account]
