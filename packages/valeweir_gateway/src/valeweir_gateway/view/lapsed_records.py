"""Upstreams whose records expired during an outage of the store.

Upstreams renew their records and cannot do so while the store is unavailable. Records
may therefore expire although their upstreams are running, and running upstreams write
them again as soon as they reach the store. An upstream that did not announce its
leaving is therefore retained for a short time after the store has recovered, and is
removed if its record is still missing at the end of that time.
"""

# The platform guarantees that running upstreams renew their records within this time
# after the store has recovered.
_RENEWAL_S = 2.0
# Part of the time allowed for a leaving upstream that is left for a request in flight.
_SEND_MARGIN_S = 0.2


class LapsedRecords:
    """The time of the store's recovery, and the upstreams retained without a record.

    Parameters
    ----------
    leave_within : float
        Seconds after which a leaving upstream must get no new requests.
    """

    def __init__(self, leave_within):
        self._retention_s = min(_RENEWAL_S, leave_within - _SEND_MARGIN_S)
        self._recovered_at = None
        self._retained_until = {}

    def __len__(self):
        return len(self._retained_until)

    def mark_store_recovered(self, at):
        """Record when the store answered again after an outage.

        Topics are read again at different times. The first answer counts for all, as
        upstreams renew their records from then on.
        """
        if self._recovered_at is None or at > self._recovered_at + self._retention_s:
            self._recovered_at = at

    def get_recovery_age(self, now):
        """Return the seconds since the store recovered, negative if it never did."""
        return -1.0 if self._recovered_at is None else now - self._recovered_at

    def retain(self, instance, now):
        """Retain an upstream whose record was removed.

        Return the end of the retention, or None if the upstream is not retained.
        """
        if not instance.ready or self._recovered_at is None:
            return None
        until = self._recovered_at + self._retention_s
        if now >= until:
            return None
        self._retained_until[instance.id] = until
        return until

    def stop_retaining(self, instance_id):
        """End the retention of an upstream; return whether it was retained."""
        return self._retained_until.pop(instance_id, None) is not None

    def pop_expired(self, now):
        """Remove and return the ids of upstreams whose retention has ended."""
        expired = [name for name, until in self._retained_until.items() if now >= until]
        for name in expired:
            del self._retained_until[name]
        return expired
