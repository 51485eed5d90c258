"""Upstreams whose records went because the store was away.

Upstreams renew their records, and while the store is away they cannot. So
records may go although their upstreams live; these write them again as soon as
they reach the store. An upstream that said nothing of leaving is therefore used
on for a short while after the store came back, and is gone if its record is
still missing then.
"""

# Seconds in which live upstreams renew their records once the store is back; the
# platform's figure.
_RENEWAL_S = 2.0
# Seconds for the last send on its way, within the time allowed for a leaving
# upstream.
_SEND_MARGIN_S = 0.2


class Lapses:
    """When the store came back, and the upstreams used on without a record.

    Parameters
    ----------
    leave_within : float
        Seconds in which a leaving upstream must get no more new work.
    """

    def __init__(self, leave_within):
        self._retention_s = min(_RENEWAL_S, leave_within - _SEND_MARGIN_S)
        self._recovered_at = None
        self._retained_until = {}

    def __len__(self):
        return len(self._retained_until)

    def mark_store_recovered(self, at):
        """Note when the store, having been away, answered again."""
        if self._recovered_at is None or at > self._recovered_at:
            self._recovered_at = at

    def get_age(self, now):
        """Return seconds since the store came back, negative for never."""
        return -1.0 if self._recovered_at is None else now - self._recovered_at

    def retain(self, instance, now):
        """Keep an upstream whose record is gone; return until when, or None."""
        if not instance.ready or self._recovered_at is None:
            return None
        until = self._recovered_at + self._retention_s
        if now >= until:
            return None
        self._retained_until[instance.id] = until
        return until

    def stop_retaining(self, instance_id):
        """Note that the record is back; return whether the upstream was held."""
        return self._retained_until.pop(instance_id, None) is not None

    def pop_expired(self, now):
        """Return and forget the ids of upstreams whose records did not come back."""
        expired = [name for name, until in self._retained_until.items() if now >= until]
        for name in expired:
            del self._retained_until[name]
        return expired
