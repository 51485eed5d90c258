"""Upstreams whose records went because the store was away.

Upstreams renew their records, and while the store is away they cannot. So
records may go although their upstreams live; these write them again as soon as
they reach the store. An upstream that said nothing of leaving is therefore used
on for a short while after the store came back, and is gone if its record is
still missing then.
"""

# Seconds in which live upstreams renew their records once the store is back; the
# platform's figure.
_RENEWED_WITHIN = 2.0
# Seconds for the last send on its way, within the time allowed for a leaving
# upstream.
_SEND_MARGIN = 0.2


class Lapses:
    """When the store came back, and the upstreams used on without a record.

    Parameters
    ----------
    leave_within : float
        Seconds in which a leaving upstream must get no more new work.
    """

    def __init__(self, leave_within):
        self._hold = min(_RENEWED_WITHIN, leave_within - _SEND_MARGIN)
        self._regained = None
        self._until = {}

    def __len__(self):
        return len(self._until)

    def note_regained(self, at):
        """Note when the store, having been away, answered again."""
        if self._regained is None or at > self._regained:
            self._regained = at

    def get_age(self, now):
        """Return seconds since the store came back, negative for never."""
        return -1.0 if self._regained is None else now - self._regained

    def hold(self, instance, now):
        """Keep an upstream whose record is gone; return until when, or None."""
        if not instance.ready or self._regained is None:
            return None
        until = self._regained + self._hold
        if now >= until:
            return None
        self._until[instance.id] = until
        return until

    def release(self, instance_id):
        """Note that the record is back; return whether the upstream was held."""
        return self._until.pop(instance_id, None) is not None

    def take_expired(self, now):
        """Return and forget the ids of upstreams whose records did not come back."""
        expired = [name for name, until in self._until.items() if now >= until]
        for name in expired:
            del self._until[name]
        return expired
