"""Which service and software version began a stream.

A client that takes a stream up names the request that brought its first event, at any
gateway. Each gateway remembers the streams that it began for a while and reports them
to its peers, since the connection of a client often breaks with its gateway.
"""

import collections
from typing import NamedTuple

import xxhash

from ..digests import get_digest

# Longer than the deadline of a stream, within which its client may take it up.
RETENTION_S = 120.0
_MAX_COUNT = 32_768
_MAX_UNREPORTED = 2_000


class StreamOrigin(NamedTuple):
    """Digests of the service and the version of the upstream that began a stream."""

    service: int
    version: int

    def matches(self, instance):
        """Return whether an instance may go on with the stream."""
        return (
            get_digest(instance.service) == self.service
            and get_digest(instance.version) == self.version
        )


def make_origin(instance):
    """Return the `StreamOrigin` of the streams that an instance begins."""
    return StreamOrigin(get_digest(instance.service), get_digest(instance.version))


def get_stream_key(account, request_id):
    """Return the 64-bit digest of a request id of a client account.

    An account cannot name the streams of another one.
    """
    name = account.name if account else ""
    return xxhash.xxh64_intdigest(f"{len(name)}:{name}{request_id}".encode())


class _Entry(NamedTuple):
    origin: StreamOrigin | None
    at: float


class StreamOrigins:
    """The origins of recent streams, those of peers included; bounded in number.

    Two streams under one id with different origins leave the id without an origin.
    """

    def __init__(self):
        self._entries = {}
        # Digests of the services with streams of several versions.
        self.mixed_services = frozenset()
        # (key, origin) of streams begun here that are not yet queued for peers.
        self.unreported = collections.deque(maxlen=_MAX_UNREPORTED)

    def __len__(self):
        return len(self._entries)

    def begin(self, key, origin, now):
        """Record a stream that begins at this gateway and has to be reported."""
        self.add(key, origin, now)
        self.unreported.append((key, origin))

    def add(self, key, origin, now):
        """Record the origin of a stream; return whether it was unknown."""
        known = self._entries.pop(key, None)
        if known is not None and known.origin != origin:
            origin = None
        self._entries[key] = _Entry(origin, now)
        self._drop_oldest(now)
        return known is None

    def get(self, key):
        """Return the `StreamOrigin` of a stream, None if unknown or ambiguous."""
        entry = self._entries.get(key)
        return None if entry is None else entry.origin

    def is_ambiguous(self, key):
        """Return whether streams of different origins have this key."""
        entry = self._entries.get(key)
        return entry is not None and entry.origin is None

    def find_versions(self, service):
        """Return the digests of the versions that began streams of a service."""
        rows = [row.origin for row in list(self._entries.values()) if row.origin]
        return {origin.version for origin in rows if origin.service == service}

    def _drop_oldest(self, now):
        while self._entries:
            key = next(iter(self._entries))
            is_expired = now - self._entries[key].at > RETENTION_S
            if not is_expired and len(self._entries) <= _MAX_COUNT:
                return
            del self._entries[key]
