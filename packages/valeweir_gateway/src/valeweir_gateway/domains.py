"""Failure domains that are probably cut off from this gateway.

All gateways of a domain silent at once may mean that they are down, or that
the domain is cut off. A failed send to an instance there tells the two apart,
and one is enough: its other instances are then avoided while the silence lasts.
"""

import threading

_EVIDENCE_SECONDS = 3.0


class Domains:
    """Evidence of failed sends, by failure domain."""

    def __init__(self, own):
        self._own = own
        self._lock = threading.Lock()
        self._failed = {}

    def note_failure(self, domain, now):
        """Note that an instance of the domain could not be reached."""
        if domain != self._own:
            with self._lock:
                self._failed[domain] = now

    def note_success(self, domain):
        """Note an answer from an instance of the domain."""
        if domain in self._failed:
            with self._lock:
                self._failed.pop(domain, None)

    def get_cut(self, silent, now):
        """Return the domains among ``silent`` ones that are probably cut off."""
        if not self._failed or not silent:
            return frozenset()
        with self._lock:
            return frozenset(
                domain
                for domain, at in self._failed.items()
                if domain in silent and now - at < _EVIDENCE_SECONDS
            )
