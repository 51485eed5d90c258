"""Upstream instances as they announce themselves, by service."""

import threading
from typing import NamedTuple

from ..digests import get_digest

# Lives kept that said that they leave; the oldest go first.
_MAX_LEAVING_COUNT = 1_000


class Instance(NamedTuple):
    """One life of an upstream, from a start of its process to its end.

    ``id`` is its own: what is believed of caches, load and condition, its connections
    and its place in reports go by it, and so end with the life. ``announced_as`` is the
    id in its records, which a later life may have too; empty where both are the same.
    ``warming`` is how much longer it warms up, in seconds, as of its record.
    ``sequence`` rises with the records that a life writes.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    ready: bool
    warming: float = 0.0
    announced_as: str = ""
    sequence: int = 0

    @property
    def announced_id(self):
        """Return the id that it answers to."""
        return self.announced_as or self.id


def make_life_id(announced_id, started_at):
    """Return the id of the life that began at ``started_at``, None where that is not said."""
    return announced_id if started_at is None else f"{announced_id}@{started_at}"


def is_stale_record(instance, known):
    """Return whether a record that says ready is older than one that says leaving.

    A write whose answer was lost may take effect late, behind a newer record.
    """
    is_same_life = instance.id == known.id
    returns = instance.ready and not known.ready
    return is_same_life and returns and instance.sequence < known.sequence


class Noted(NamedTuple):
    """The record that an instance is known by, and when it came (steady clock)."""

    offset: int
    at: float


class Directory:
    """All instances known, by their records and by what they say in answers."""

    def __init__(self):
        self.by_id = {}
        self._records = {}
        self._ready = {}
        self._by_digest = {}
        # Lives that said outside their record that they leave, and from where it is
        # known. A life that leaves never comes back, whatever its record still says.
        self._leaving_sources = {}
        # Those of them whose record still says ready, None where it has to be found.
        self._unrecorded_leaving = None
        # Rises with each life that peers have to learn of.
        self.leaving_version = 0
        # Records come from the store's readers, answers on the event loop.
        self._lock = threading.Lock()

    def put(self, instance, record=None):
        """Add or replace an instance, ``record`` by a record."""
        with self._lock:
            self._unrecorded_leaving = None
            self._records[instance.id] = record
            old = self.by_id.get(instance.id)
            self.by_id[instance.id] = instance
            self._by_digest[get_digest(instance.id)] = instance.id
            self._update_ready_index(instance.service)
            if old is not None and old.service != instance.service:
                self._update_ready_index(old.service)

    def remove(self, instance_id):
        """Forget an instance; return it, or None if it was not known."""
        with self._lock:
            self._unrecorded_leaving = None
            self._records.pop(instance_id, None)
            old = self.by_id.pop(instance_id, None)
            if old is not None:
                self._by_digest.pop(get_digest(instance_id), None)
                self._update_ready_index(old.service)
        return old

    def mark_leaving(self, instance_id, source):
        """Note that a life leaves; return whether that is news."""
        with self._lock:
            if instance_id in self._leaving_sources:
                return False
            self._unrecorded_leaving = None
            self._leaving_sources[instance_id] = source
            self.leaving_version += 1
            while len(self._leaving_sources) > _MAX_LEAVING_COUNT:
                del self._leaving_sources[next(iter(self._leaving_sources))]
            instance = self.by_id.get(instance_id)
            if instance is not None:
                self._update_ready_index(instance.service)
            return instance is None or instance.ready

    def get_leaving(self):
        """Return the source by id of the lives whose record still says ready."""
        with self._lock:
            if self._unrecorded_leaving is None:
                self._unrecorded_leaving = self._find_unrecorded_leaving()
            return self._unrecorded_leaving

    def _find_unrecorded_leaving(self):
        rows = {name: self.by_id.get(name) for name in self._leaving_sources}
        return {
            name: self._leaving_sources[name]
            for name, row in rows.items()
            if row is not None and row.ready
        }

    def count_leaving(self):
        """Return how many instances leave by their record."""
        return sum(not row.ready for row in list(self.by_id.values()))

    def get_noted(self, instance_id):
        """Return by which record an instance is known, or None."""
        return self._records.get(instance_id)

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
        return instance is not None and self._accepts_requests(instance)

    def is_leaving(self, instance_id):
        """Return whether the instance has said that it leaves, in whatever way."""
        instance = self.by_id.get(instance_id)
        if instance is not None and not instance.ready:
            return True
        return instance_id in self._leaving_sources

    def _accepts_requests(self, instance):
        return instance.ready and instance.id not in self._leaving_sources

    def _update_ready_index(self, service):
        rows = [row for row in self.by_id.values() if row.service == service]
        rows = [row for row in rows if self._accepts_requests(row)]
        self._ready[service] = tuple(sorted(rows, key=lambda row: row.id))
