"""Gaps between the events of one stream, as its client sees them."""


class StreamPace:
    """Times of the events of one stream, on the monotonic clock.

    ``longest_gap`` is the longest time in seconds between events that were forwarded
    one after the other, and ``event_count`` the number of events forwarded.
    """

    __slots__ = ("_last_event_at", "event_count", "longest_gap")

    def __init__(self):
        self._last_event_at = None
        self.event_count = 0
        self.longest_gap = 0.0

    def observe(self, count, now):
        """Record ``count`` events that are forwarded together."""
        if self._last_event_at is not None:
            self.longest_gap = max(self.longest_gap, now - self._last_event_at)
        self._last_event_at = now
        self.event_count += count
