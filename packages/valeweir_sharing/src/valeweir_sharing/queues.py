"""Queues of requests waiting for a slot, and the order of dispatch."""

import collections
from typing import NamedTuple

from valeweir.models import CLASS_PRIORITY

from valeweir_sharing.usage import ServiceKey


class OrderSettings(NamedTuple):
    """Weight of work classes against fair shares.

    ``class_bonus`` is the number of mean requests by which a request of the most
    urgent class may precede its account's turn; ``aging`` is the age in seconds
    from which any request has the full bonus.
    """

    class_bonus: float
    aging: float


class PoolQueue:
    """Tickets waiting for one pool, by client account and work class."""

    def __init__(self):
        self.accounts = {}
        self.size = 0

    def add(self, ticket):
        """Append a ticket to the queue of its account and class."""
        classes = self.accounts.setdefault(ticket.account, {})
        classes.setdefault(ticket.work_class, collections.deque()).append(ticket)
        self.size += 1

    def add_first(self, ticket):
        """Put a ticket that has been dispatched before first in its class."""
        classes = self.accounts.setdefault(ticket.account, {})
        classes.setdefault(ticket.work_class, collections.deque()).appendleft(ticket)
        self.size += 1

    def remove(self, ticket):
        """Remove a ticket; return False if it is not queued."""
        classes = self.accounts.get(ticket.account, {})
        queue = classes.get(ticket.work_class)
        if not queue or ticket not in queue:
            return False
        queue.remove(ticket)
        self._finish_removal(ticket, classes, queue)
        return True

    def _finish_removal(self, ticket, classes, queue):
        self.size -= 1
        if not queue:
            del classes[ticket.work_class]
        if not classes:
            del self.accounts[ticket.account]


def get_least_service(queue, ledger, pool):
    """Return the least virtual service of the accounts in ``queue``, or None."""
    if not queue.accounts:
        return None
    return min(ledger.get_virtual_service(ServiceKey(pool, a)) for a in queue.accounts)


def choose_ticket(queue, ledger, pool, now, order):
    """Return the ticket to dispatch next, or None; the ticket stays queued.

    The account with the least virtual service goes first. An urgent or aged
    request lowers this figure by up to ``order.class_bonus`` mean requests, so
    classes change the gap between accounts by a bounded amount only. Every
    request gets the full bonus with age, so none starves.
    """
    best = None
    best_score = None
    max_bonus = order.class_bonus * ledger.get_mean_charge(pool)
    for account, classes in queue.accounts.items():
        virtual = ledger.get_virtual_service(ServiceKey(pool, account))
        for work_class, tickets in classes.items():
            head = tickets[0]
            urgency = get_urgency(work_class, now - head.arrived, order.aging)
            score = (virtual - max_bonus * urgency, head.arrived)
            if best is None or score < best_score:
                best, best_score = head, score
    return best


def get_urgency(work_class, age, aging):
    """Return the fraction of the full bonus, 0 to 1, that a request gets."""
    max_priority = max(CLASS_PRIORITY.values())
    class_urgency = 1.0 - CLASS_PRIORITY[work_class] / max_priority
    return max(class_urgency, min(age / aging, 1.0))
