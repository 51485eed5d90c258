"""Keeps the `version_records` of the store up to date.

A version is recorded before this gateway begins streams at it. So a record that is
complete has the version of every stream, whatever happened to the gateways since.
"""

import threading

import msgspec
from valeweir.exceptions import PlatformUnavailable

from ..digests import get_digest
from ..stores import Conflict
from .stream_origins import RETENTION_S
from .version_records import (
    StoredVersions,
    VersionRecord,
    add_serving,
    decode_listing,
    drop_left,
    encode_record,
    mark_left,
    merge_records,
)

# Spreads the calls of a fleet that sees a new version; the first gateway writes.
_DELAY_PER_GATEWAY_S = 0.01
_MAX_DELAY_S = 1.0
# Delay of what no stream waits for.
_CLEANUP_DELAY_S = (0.5, 2.0)
_RETRY_S = 0.5
_CONFLICT_RETRY_S = 0.05
_IDLE_WAIT_S = 5.0
# The record of an upstream may be missing for a moment, as after an outage.
_MIN_ABSENCE_S = 5.0
# Upstreams and operators write again within this time what a restored store has lost.
_SETTLE_S = 10.0
# An older view may lack a version.
_MAX_VIEW_AGE_S = 2.0
# How long a stream waits for the first record of its service, and its interval.
_FIRST_RECORD_WAIT_S = 0.3
_WAIT_STEP_S = 0.01


class VersionStore:
    """Writes which versions may begin streams, in a thread of its own.

    Parameters
    ----------
    store : stores.Store
    topic : str
        Topic of the records, keyed by service.
    """

    def __init__(self, state, store, topic):
        self._state = state
        self._store = store
        self._topic = topic
        self._started_at = state.clock()
        # Pairs of service and version at which this gateway may begin streams.
        self._recorded = frozenset()
        self._stored = StoredVersions({}, {}, 0, 0)
        # When the records of an earlier era, with what this gateway knows, have all
        # versions again; None before the first answer of the store.
        self._complete_at = None
        self._last_seen = {}
        # {service: (offset, time)}: since when a record with left versions is known.
        self._left_since = {}
        self._due = None
        self._has_failed = False
        self._changed = threading.Condition()
        self._catalog = None
        self._services = frozenset()

    def start(self, stopped):
        """Start the thread that writes records."""
        threading.Thread(
            target=self.run, args=(stopped,), name="versions", daemon=True
        ).start()

    def run(self, stopped):
        """Synchronize with the store whenever it is due, until ``stopped`` is set."""
        while not stopped.is_set():
            with self._changed:
                wait = _IDLE_WAIT_S
                if self._due is not None:
                    wait = self._due - self._state.clock()
                if wait > 0.0:
                    self._changed.wait(min(wait, _IDLE_WAIT_S))
                    continue
                self._due = None
            self.sync_guarded()

    def is_recorded(self, instance):
        """Return whether streams may begin at an instance."""
        return (instance.service, instance.version) in self._recorded

    async def wait_for_record(self, service):
        """Wait for the first record of a service, for a bounded time.

        A service without any record is served all the same: the store may not be
        available, and its upstreams must not idle.
        """
        if not self._is_awaited(service):
            return
        until = self._state.clock() + _FIRST_RECORD_WAIT_S
        while self._state.clock() < until and self._is_awaited(service):
            await self._state.sleep(_WAIT_STEP_S)

    def _is_awaited(self, service):
        if self._has_failed or not self._state.directory.get_ready(service):
            return False
        return all(recorded != service for recorded, _ in self._recorded)

    def observe(self):
        """Schedule what has to be recorded; called after changes of the view."""
        state = self._state
        if state.catalog is None or not state.directory_known:
            return
        now = state.clock()
        serving = self._find_serving()
        self._last_seen.update(dict.fromkeys(serving, now))
        with self._changed:
            if self._stored.era < state.directory_position.era:
                # The records may have been lost with the last seconds of the store.
                self._recorded = frozenset()
            self._recorded &= serving
        if serving - self._recorded:
            count = len(state.members.get_live(now))
            spread = min(_MAX_DELAY_S, _DELAY_PER_GATEWAY_S * count)
            self._schedule(now + state.rng.uniform(0.0, spread))
        elif state.reads_store and self._needs_cleanup(serving, now):
            self._schedule(now + state.rng.uniform(*_CLEANUP_DELAY_S))

    def _find_serving(self):
        """Return pairs of the services with resumable streams and their versions."""
        state = self._state
        if self._catalog is not state.catalog:
            self._catalog = state.catalog
            self._services = frozenset(
                target.service
                for route in self._catalog.routes
                if route.resumable
                for target in route.targets
            )
        rows = list(state.directory.by_id.values())
        return {
            (row.service, row.version) for row in rows if row.service in self._services
        }

    def _schedule(self, due):
        with self._changed:
            if self._due is None or due < self._due:
                self._due = due
                self._changed.notify()

    def sync_guarded(self):
        """Synchronize with the store; try again after a failure."""
        try:
            self.sync()
        except Conflict:
            # Another gateway has written a record at the same time.
            self._schedule(self._state.clock() + _CONFLICT_RETRY_S)
        except (PlatformUnavailable, ValueError) as exc:
            if not self._has_failed:
                self._state.log.note(
                    "stream versions not recorded", failed=True, why=str(exc)
                )
            self._has_failed = True
            self._schedule(self._state.clock() + _RETRY_S)

    def sync(self):
        """Read the records, and write those that have to be changed.

        Raises
        ------
        PlatformUnavailable, Conflict, ValueError
            If the store does not answer, was written meanwhile, or has a bad record.
        """
        state = self._state
        now = state.clock()
        stored = decode_listing(self._store.list_newest(self._topic))
        if stored.era < self._stored.era:
            raise PlatformUnavailable(f"a late answer of era {stored.era}")
        if stored.era > self._stored.era:
            self._begin_era(now)
        serving = self._find_serving()
        records = dict(stored.records)
        offsets = dict(stored.offsets)
        end = stored.end
        for service in sorted({*self._stored.records, *(name for name, _ in serving)}):
            versions = {version for name, version in serving if name == service}
            record = self._update_record(service, versions, stored, now)
            if record == stored.records.get(service):
                continue
            era = self._store.put(self._topic, service, encode_record(record), at=end)
            if era != stored.era:
                raise PlatformUnavailable("the store was restored meanwhile")
            records[service] = record
            offsets[service] = end
            end += 1
            self._log_record(service, record)
        with self._changed:
            self._stored = StoredVersions(records, offsets, end, stored.era)
            self._recorded = frozenset(
                (service, version)
                for service, record in records.items()
                for version in record.serving
            )
        self._state.stream_origins.mixed_services = frozenset(
            get_digest(service)
            for service, record in records.items()
            if len(record.versions) > 1
        )
        self._has_failed = False

    def _begin_era(self, now):
        """Determine from when on records of a new era of the store are complete.

        What this gateway knows itself is complete once upstreams have written again
        what the store has lost. One without records knows nothing of earlier streams.
        """
        known = self._stored.records.values()
        is_complete = all(record.era == self._stored.era for record in known)
        is_known = bool(known) and is_complete
        self._complete_at = now + (_SETTLE_S if is_known else RETENTION_S)

    def _update_record(self, service, versions, stored, now):
        """Return the record that a service should have, None for none."""
        current = stored.records.get(service)
        record = merge_records(current, self._get_lost_record(service, stored))
        if record is None:
            # Without a record no stream has begun.
            return VersionRecord(sorted(versions), era=stored.era) if versions else None
        record = add_serving(record, versions)
        if record.era < stored.era and self._is_complete(service, record, now):
            record = msgspec.structs.replace(record, era=stored.era)
        if not self._may_clean_up(now):
            return record
        record = mark_left(record, self._find_absent(service, record, now))
        if record == current and self._is_left_over(service, stored, now):
            return drop_left(record)
        return record

    def _get_lost_record(self, service, stored):
        """Return what this gateway knew of a service before the store was restored."""
        return (
            self._stored.records.get(service) if self._stored.era < stored.era else None
        )

    def _is_complete(self, service, record, now):
        """Return whether a record of an earlier era lacks no version any more."""
        if self._complete_at is None or now < self._complete_at:
            return False
        known = set(map(get_digest, record.versions))
        reported = self._state.stream_origins.find_versions(get_digest(service))
        return reported <= known

    def _may_clean_up(self, now):
        """Return whether versions without upstreams may be taken for left."""
        age = self._state.freshness.get_age(now)
        return self._state.reads_store and age is not None and age <= _MAX_VIEW_AGE_S

    def _find_absent(self, service, record, now):
        """Return the serving versions that have had no upstream for a while."""
        last_seen = self._last_seen
        return [
            version
            for version in record.serving
            if now - last_seen.get((service, version), self._started_at)
            > _MIN_ABSENCE_S
        ]

    def _is_left_over(self, service, stored, now):
        """Return whether no stream of the left versions can be taken up any more.

        Each change of the record begins the time anew: a version may have been back in
        between without being seen here.
        """
        offset = stored.offsets[service]
        since = self._left_since.get(service)
        if since is None or since[0] != offset:
            since = self._left_since[service] = (offset, now)
        return now - since[1] > RETENTION_S

    def _needs_cleanup(self, serving, now):
        """Return whether a record should be written though no version is missing."""
        for service, record in self._stored.records.items():
            if record.era < self._stored.era and now >= (self._complete_at or 0.0):
                return True
            if self._find_absent(service, record, now):
                return True
            if record.left and self._is_left_over(service, self._stored, now):
                return True
        return False

    def _log_record(self, service, record):
        self._state.log.note(
            "stream versions recorded",
            service=service,
            serving=record.serving,
            left=record.left,
            era=record.era,
        )
