"""Failure domains that operators have evacuated: their upstreams get no new requests.

An evacuation is in force while its record exists on the configuration topic. Active
streams continue until they end.
"""


class Evacuations:
    """The evacuated domains. Readers use `domains`; one thread writes."""

    def __init__(self):
        self.domains = frozenset()

    def begin(self, domain):
        """Start an evacuation; return False if it was already in force."""
        is_new = domain not in self.domains
        self.domains |= {domain}
        return is_new

    def end(self, domain):
        """End an evacuation."""
        self.domains -= {domain}
