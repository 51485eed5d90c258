"""Assignment of an owner's free slots to routers."""

from typing import NamedTuple

from valeweir_sharing.usage import ServiceKey


class SlotDemand(NamedTuple):
    """The number of an account's requests that wait at one holder."""

    holder: str
    account: str
    count: int


class SlotAssignment(NamedTuple):
    """One slot of ``upstream`` for ``holder``.

    ``account`` is the account whose demand it meets, or None for an idle slot
    that is assigned without demand.
    """

    holder: str
    upstream: str
    account: str | None


def assign_slots(pool, free, demands, ledger, select_upstream, rng, starved=()):
    """Assign free slots, one at a time, to the least-served waiting accounts.

    Parameters
    ----------
    free : dict of upstream to int
        Free slots; changed in place.
    demands : list of SlotDemand
    ledger : Ledger
    select_upstream : callable
        ``select_upstream(holder, upstreams)`` returns the upstream for the next
        slot, or None if the holder can use none of them.
    rng : random.Random
        Chooses among the routers where an account waits, in proportion to its
        requests there, so that a router with few of them is not starved.
    starved : collection of str
        Holders that get one slot first. Fair shares bound the wait of an account
        as a whole, but not that of its requests at one router while its other
        requests are served elsewhere.

    Returns
    -------
    list of SlotAssignment
        The ledger counts each as pending service at its holder.
    """
    holders_by_account = {}
    for demand in demands:
        holders_by_account.setdefault(demand.account, {})[demand.holder] = demand.count
    assignments = []
    mean_charge = ledger.get_mean_charge(pool)
    starved = [demand for demand in demands if demand.holder in starved]
    while holders_by_account:
        free_upstreams = [u for u, count in free.items() if count > 0]
        if not free_upstreams:
            break
        eligible_accounts = [demand.account for demand in starved] or holders_by_account
        account = min(
            eligible_accounts,
            key=lambda a: (ledger.get_virtual_service(ServiceKey(pool, a)), a),
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
        ledger.add_pending(holder, ServiceKey(pool, account), mean_charge)
        holders[holder] -= 1
        if holders[holder] <= 0:
            _drop(holders_by_account, account, holder)
    return assignments


def assign_idle_slots(free, held, limit):
    """Assign idle slots to the holders with the fewest, up to ``limit`` each.

    Parameters
    ----------
    free : dict of upstream to int
        Free slots; changed in place.
    held : dict of holder to int
        Free slots that each holder has over all upstreams of the pool; changed
        in place.
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
    """Return whether a freed slot should be returned to its owner.

    This is so if a less-served account waits at another router.

    Parameters
    ----------
    local_least, elsewhere_least : float or None
        Virtual service of the least-served account that waits at this router
        and at other routers; None if none waits there.
    slack : float
        Difference, in cost per weight, up to which the slot is kept.
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
