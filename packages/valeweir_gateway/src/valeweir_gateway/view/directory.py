"""Announced upstream instances, by service."""

import threading
from typing import NamedTuple

from ..digests import get_digest

# Incarnations that are stored as leaving; the oldest are discarded first.
_MAX_LEAVING_COUNT = 1_000


class Instance(NamedTuple):
    """One incarnation of an upstream: its process from start to end.

    ``id`` is unique to the incarnation. The state of its caches, load and health, its
    connections and its place in reports are keyed by it, so that a new incarnation
    inherits nothing. ``announced_as`` is the id in its records, which a later
    incarnation may share; it is empty if both ids are the same. ``warming`` is the
    remaining warm-up time in seconds as of its record. ``sequence`` increases with each
    record that an incarnation writes. ``started_at`` is its start time in milliseconds
    since the epoch, None if it is unknown. ``version`` is that of its software; streams
    of different versions do not fit together.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    ready: bool
    warming: float = 0.0
    announced_as: str = ""
    sequence: int = 0
    started_at: int | None = None
    version: str = ""

    @property
    def announced_id(self):
        """Return the id that the upstream itself uses."""
        return self.announced_as or self.id


def make_incarnation_id(announced_id, started_at):
    """Return the id of an incarnation; ``started_at`` is None if it is unknown."""
    return announced_id if started_at is None else f"{announced_id}@{started_at}"


def is_stale_record(instance, known):
    """Return whether a ready record is older than a known leaving record.

    A write whose answer was lost may take effect late, after a newer record.
    """
    is_same_incarnation = instance.id == known.id
    returns = instance.ready and not known.ready
    return is_same_incarnation and returns and instance.sequence < known.sequence


def started_earlier(instance, known):
    """Return whether an incarnation is known to have started before another one."""
    starts = (instance.started_at, known.started_at)
    return None not in starts and starts[0] < starts[1]


class RecordPosition(NamedTuple):
    """Offset and arrival time (monotonic clock) of the last record of an instance."""

    offset: int
    at: float


class Directory:
    """All known instances, from their records and from signals in their responses."""

    def __init__(self):
        self.by_id = {}
        self._records = {}
        self._ready = {}
        self._by_digest = {}
        # Sources of the leaving signals that arrived outside the records, by id. An
        # incarnation that leaves never becomes ready again, even if its record still
        # contains the ready state.
        self._leaving_sources = {}
        # Those of them whose record is still ready; None if it must be recomputed.
        self._unrecorded_leaving = None
        # Increases with each leaving incarnation that has to be reported to peers.
        self.leaving_version = 0
        # Records are applied by the threads that read the store, signals by the event
        # loop.
        self._lock = threading.Lock()

    def put(self, instance, record=None, replaced_id=None):
        """Add or replace an instance; ``record`` is where its record was read.

        The instance with the id ``replaced_id``, if any, is removed in the same step,
        so that readers on other threads see one of the two at any time.
        """
        with self._lock:
            self._unrecorded_leaving = None
            removed = [self._pop(replaced_id), self.by_id.get(instance.id)]
            self._records[instance.id] = record
            self.by_id[instance.id] = instance
            self._by_digest[get_digest(instance.id)] = instance.id
            services = {row.service for row in removed if row is not None}
            for service in services | {instance.service}:
                self._update_ready_index(service)

    def remove(self, instance_id):
        """Remove an instance; return it, or None if it was not present."""
        with self._lock:
            self._unrecorded_leaving = None
            old = self._pop(instance_id)
            if old is not None:
                self._update_ready_index(old.service)
        return old

    def _pop(self, instance_id):
        """Remove an instance from all tables but the index of the ready ones."""
        self._records.pop(instance_id, None)
        old = self.by_id.pop(instance_id, None)
        if old is not None:
            self._by_digest.pop(get_digest(instance_id), None)
        return old

    def mark_leaving(self, instance_id, source):
        """Mark an incarnation as leaving; return whether it was not known to leave."""
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

    def get_unrecorded_leaving(self):
        """Return the sources, by id, of leaving incarnations with a ready record."""
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
        """Return the number of instances whose record is in the leaving state."""
        return sum(not row.ready for row in list(self.by_id.values()))

    def get_record_position(self, instance_id):
        """Return the `RecordPosition` of the last record of an instance, or None."""
        return self._records.get(instance_id)

    def get_id(self, digest):
        """Return the id of the instance with this digest, or None."""
        return self._by_digest.get(digest)

    def get_ready(self, service):
        """Return the instances of a service that accept new requests."""
        return self._ready.get(service, ())

    def get_all_ready(self):
        """Return the instances of all services that accept new requests."""
        return [row for rows in list(self._ready.values()) for row in rows]

    def is_ready(self, instance_id):
        """Return whether the instance is known and accepts new requests."""
        instance = self.by_id.get(instance_id)
        return instance is not None and self._accepts_requests(instance)

    def is_leaving(self, instance_id):
        """Return whether the instance leaves, by its record or by another signal."""
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
