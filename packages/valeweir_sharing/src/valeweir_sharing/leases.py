"""Leases of an upstream's slots, for the holders and for the owner.

A lease is identified by (upstream, epoch, lease number) and has two totals that
only grow: slots granted by the owner and slots returned by the holder. Messages
carry the totals themselves, so lost, repeated and reordered messages are
harmless, and the owner never counts fewer outstanding slots than the holder may
use.
"""

from typing import NamedTuple

LEASE_MARGIN_S = 0.2


class Claim(NamedTuple):
    """A holder's report to the owner on its slots of one upstream.

    A new owner rebuilds its table from ``held`` and ``used``; ``refused`` is
    true while this holder cannot reach the upstream.
    """

    upstream: str
    epoch: int
    lease: int
    returned: int
    held: int
    used: int
    refused: bool = False


class Grant(NamedTuple):
    """The owner's report to a holder on the total granted on its lease."""

    upstream: str
    epoch: int
    lease: int
    granted: int


class HeldSlots:
    """The slots of one upstream that this router holds."""

    __slots__ = ("epoch", "granted", "lease", "owner", "returned", "used")

    def __init__(self):
        self.owner = None
        self.epoch = 0
        self.lease = 0
        self.granted = 0
        self.returned = 0
        self.used = 0

    @property
    def slots(self):
        """Number of slots on the lease, used or free."""
        return self.granted - self.returned

    @property
    def free(self):
        """Number of slots on the lease without a running request."""
        return max(0, self.slots - self.used)


class LeaseHolder:
    """All slots that one router holds.

    Attributes
    ----------
    held : dict of upstream to HeldSlots
    echoed_at : dict of owner to float
        The latest send time of this router that the owner has echoed. The
        owner's leases lapse ``lease_time`` after it.
    lapses : int
        Number of leases that have lapsed.
    """

    def __init__(self, lease_time):
        self.lease_time = lease_time
        self.held = {}
        self.echoed_at = {}
        self.lapses = 0

    def renew_leases(self, owner, sent_at):
        """Extend the leases of ``owner``, which has echoed send time ``sent_at``."""
        self.echoed_at[owner] = max(self.echoed_at.get(owner, 0.0), sent_at)

    def merge_grant(self, owner, grant):
        """Apply a grant; return the number of slots gained."""
        held = self.held.setdefault(grant.upstream, HeldSlots())
        current = (held.epoch, held.lease)
        offered = (grant.epoch, grant.lease)
        if offered < current:
            return 0
        before = held.slots
        if offered > current:
            held.owner = owner
            held.epoch, held.lease = offered
            held.granted = grant.granted
            held.returned = 0
        elif held.owner == owner:
            held.granted = max(held.granted, grant.granted)
        return held.slots - before

    def is_valid(self, upstream, now):
        """Return whether the lease of ``upstream`` has not lapsed at ``now``."""
        held = self.held.get(upstream)
        if held is None or held.owner is None:
            return False
        return now < self.echoed_at.get(held.owner, 0.0) + self.lease_time

    def take(self, upstream, now):
        """Use a free slot for a request; return False if none may be used."""
        held = self.held.get(upstream)
        if held is None or held.free <= 0 or not self.is_valid(upstream, now):
            return False
        held.used += 1
        return True

    def finish(self, upstream):
        """Free the slot of a request that has ended."""
        self.held[upstream].used -= 1

    def return_slots(self, upstream, count):
        """Mark up to ``count`` free slots as returned; return their number."""
        held = self.held.get(upstream)
        if held is None:
            return 0
        count = min(count, held.free)
        held.returned += count
        return count

    def drop_lapsed(self, now):
        """Mark all slots of lapsed leases as returned; return their upstreams."""
        dropped = []
        for upstream, held in self.held.items():
            if held.slots > 0 and not self.is_valid(upstream, now):
                held.returned = held.granted
                dropped.append(upstream)
        self.lapses += len(dropped)
        return dropped

    def get_claim(self, upstream, refused=False):
        """Return this router's `Claim` on ``upstream``."""
        held = self.held.get(upstream) or HeldSlots()
        return Claim(
            upstream,
            held.epoch,
            held.lease,
            held.returned,
            held.slots,
            held.used,
            refused,
        )


class TableEntry:
    """The owner's record of one holder of one upstream."""

    __slots__ = ("granted", "idle", "lease", "refused", "returned", "seen", "used")

    def __init__(self, lease, granted, seen):
        self.lease = lease
        self.granted = granted
        self.returned = 0
        self.used = 0
        self.idle = 0
        self.seen = seen
        self.refused = False

    @property
    def slots(self):
        """Number of slots that the holder may be using."""
        return self.granted - self.returned


class LeaseTable:
    """The owner's table of one upstream's slots during one ownership epoch.

    Parameters
    ----------
    capacity : int
        Number of slots that may be leased out at once.
    epoch : int
        Number of the epoch; higher than that of any earlier owner.
    recovery_ends_at : float
        End of recovery: the time from which all leases of earlier epochs have
        run out, so that slots not claimed by their holders are free.
    """

    def __init__(self, upstream, capacity, epoch, recovery_ends_at):
        self.upstream = upstream
        self.capacity = capacity
        self.epoch = epoch
        self.recovery_ends_at = recovery_ends_at
        self.entries = {}
        self._last_lease = 0
        self._returned_in_recovery = 0

    @property
    def outstanding(self):
        """Number of slots that holders may be using."""
        return sum(entry.slots for entry in self.entries.values())

    def get_free(self, now):
        """Return the number of slots that can be granted at ``now``.

        Until the leases of earlier epochs have run out, these are only the slots
        that holders with adopted claims have returned since.
        """
        unleased = max(0, self.capacity - self.outstanding)
        if now < self.recovery_ends_at:
            return min(self._returned_in_recovery, unleased)
        return unleased

    def merge_claim(self, holder, claim, now):
        """Apply a claim; return its epoch if that is above this table's, or None."""
        if claim.epoch > self.epoch:
            return claim.epoch
        entry = self.entries.get(holder)
        if claim.epoch < self.epoch:
            if entry is None:
                # A claim of an earlier epoch counts only while its lease may run.
                adopted = claim.held if now < self.recovery_ends_at else 0
                entry = self.add_holder(holder, adopted, now)
            entry.seen = now
        elif entry is not None and entry.lease == claim.lease:
            returned = max(entry.returned, min(claim.returned, entry.granted))
            self._returned_in_recovery += returned - entry.returned
            entry.returned = returned
            entry.used = claim.used
            # A claim sent before the last grant arrived does not show idle slots.
            up_to_date = claim.held == entry.slots
            entry.idle = max(0, claim.held - claim.used) if up_to_date else 0
            entry.seen = now
        elif entry is None:
            self.add_holder(holder, 0, now)
        else:
            entry.seen = now
        self.entries[holder].refused = claim.refused
        return None

    def add_holder(self, holder, granted, now):
        """Open a lease for ``holder``."""
        self._last_lease += 1
        entry = TableEntry(self._last_lease, granted, now)
        self.entries[holder] = entry
        return entry

    def grant(self, holder, count, now):
        """Grant ``count`` more slots; the caller must check `get_free` first."""
        entry = self.entries.get(holder)
        if entry is None:
            entry = self.add_holder(holder, 0, now)
        entry.granted += count
        entry.idle = 0
        self._returned_in_recovery = max(0, self._returned_in_recovery - count)

    def get_grant(self, holder):
        """Return the `Grant` with the total granted to ``holder``."""
        entry = self.entries[holder]
        return Grant(self.upstream, self.epoch, entry.lease, entry.granted)

    def take_over(self, epoch, holders, ready_at, now):
        """Adopt the previous owner's table; other slots are free at ``ready_at``.

        Parameters
        ----------
        epoch : int
            The previous owner's epoch; this table's is raised above it if needed.
        holders : dict of str to int
            Slots that holders may be using.
        """
        self.epoch = max(self.epoch, epoch + 1)
        for holder, slots in holders.items():
            if holder not in self.entries:
                self.add_holder(holder, slots, now)
        self.recovery_ends_at = min(self.recovery_ends_at, ready_at)

    def expire(self, now, lease_time):
        """Delete the leases of holders without a recent claim; return their names.

        The owner waits for `LEASE_MARGIN_S` longer than the holders do, so that a lease
        has lapsed at its holder before its slots are granted again.
        """
        cutoff = now - lease_time - LEASE_MARGIN_S
        expired = [h for h, entry in self.entries.items() if entry.seen < cutoff]
        for holder in expired:
            del self.entries[holder]
        return expired

    def renew(self, epoch, recovery_ends_at):
        """Start a new epoch, above that of another owner, with an empty table."""
        self.epoch = epoch
        self.recovery_ends_at = recovery_ends_at
        self.entries = {}
        self._returned_in_recovery = 0
