"""Failure domains that operators have emptied: their upstreams get no new work.

An evacuation is in force from its record on the configuration topic until that
record is removed. Streams under way go on to their end.
"""


class Evacuations:
    """Domains under evacuation. Readers use `domains`; one thread writes."""

    def __init__(self):
        self.domains = frozenset()

    def begin(self, domain):
        """Put an evacuation in force; return False if it was in force already."""
        is_new = domain not in self.domains
        self.domains |= {domain}
        return is_new

    def end(self, domain):
        """End an evacuation."""
        self.domains -= {domain}
