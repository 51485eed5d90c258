"""Upstream instances as they announce themselves, by service."""

from typing import NamedTuple

from .reports import get_digest


class Instance(NamedTuple):
    """One life of an upstream, from a start of its process to its end.

    ``id`` is its own: what is believed of caches, load and condition, its connections
    and its place in reports go by it, and so end with the life. ``announced_as`` is the
    id in its records, which a later life may have too; empty where both are the same.
    ``warming`` is how much longer it warms up, in seconds, as of its record.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    warming: float = 0.0
    announced_as: str = ""

    @property
    def announced_id(self):
        """Return the id that it answers to."""
        return self.announced_as or self.id


def make_life_id(announced_id, born):
    """Return the id of the life that began at ``born``, None where that is not said."""
    return announced_id if born is None else f"{announced_id}@{born}"


class Noted(NamedTuple):
    """The record that an instance is known by, and when it came (steady clock)."""

    offset: int
    at: float


class Directory:
    """All instances known. Readers use `ready`; one thread writes."""

    def __init__(self):
        self.by_id = {}
        self._noted = {}
        self._ready = {}
        self._by_digest = {}

    def put(self, instance, noted=None):
        """Add or replace an instance, ``noted`` by a record."""
        self._noted[instance.id] = noted
        old = self.by_id.get(instance.id)
        self.by_id[instance.id] = instance
        self._by_digest[get_digest(instance.id)] = instance.id
        self._index(instance.service)
        if old is not None and old.service != instance.service:
            self._index(old.service)

    def remove(self, instance_id):
        """Forget an instance; return it, or None if it was not known."""
        self._noted.pop(instance_id, None)
        old = self.by_id.pop(instance_id, None)
        if old is not None:
            self._by_digest.pop(get_digest(instance_id), None)
            self._index(old.service)
        return old

    def get_noted(self, instance_id):
        """Return by which record an instance is known, or None."""
        return self._noted.get(instance_id)

    def get_id(self, digest):
        """Return the id of the instance that a digest stands for, or None."""
        return self._by_digest.get(digest)

    def get_ready(self, service):
        """Return the instances of a service that take new requests."""
        return self._ready.get(service, ())

    def get_all_ready(self):
        """Return the instances of every service that take new requests."""
        return [row for rows in list(self._ready.values()) for row in rows]

    def is_ready(self, instance_id):
        """Return whether the instance is known and takes new requests."""
        instance = self.by_id.get(instance_id)
        return instance is not None and instance.ready

    def _index(self, service):
        rows = [i for i in self.by_id.values() if i.service == service and i.ready]
        self._ready[service] = tuple(sorted(rows, key=lambda row: row.id))
