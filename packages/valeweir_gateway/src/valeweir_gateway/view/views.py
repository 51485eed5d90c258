"""Application of the store's records to the state of the gateway."""

import contextlib
import threading

import xxhash

from ..adapters import BadRecord
from ..fleet.members import parse_member
from ..quarantine import crash_attribution
from ..quarantine.fingerprints import parse_fingerprint
from ..quarantine.records import decode_record
from .directory import RecordPosition, is_stale_record, started_earlier

# Bounds on the keys with bad records and on logged texts, as the topics are writable by
# any client.
_MAX_BAD_KEY_COUNT = 1_000
_MAX_TEXT_CHARS = 120
_MAX_VERSION_COUNT = 256
# Rank of a configuration that cannot be decoded.
_UNDECODABLE_RANK = -1


class ViewUpdater:
    """Applies records; undecodable ones are counted and do not change the view."""

    def __init__(self, state, adapter):
        self._state = state
        self._adapter = adapter
        # Bytes and `catalog.Catalog` of the last decoded configuration.
        self._last_decoded = (None, None)
        # Versions of configurations by the digest of their bytes.
        self._versions = {}
        # Keys whose newest record is invalid.
        self._bad_keys = set()
        # The id of the current incarnation by key of the instances topic.
        self._ids_by_key = {}
        # Records come from the store and from peers; timers end retentions.
        self._lock = threading.Lock()

    def apply_catalog(self, entry):
        """Apply a record of the configuration topic."""
        domain = self._adapter.find_evacuated_domain(entry.key)
        if domain is not None:
            self._apply_evacuation(domain, entry)
        if entry.key != self._adapter.catalog_key or entry.value is None:
            return
        try:
            catalog = self._decode_catalog(entry.value)
        except BadRecord as exc:
            self._count_bad_record("configuration", entry.offset, exc)
            return
        self._mark_valid("configuration")
        in_force = self._state.catalog
        if not self._state.put_catalog(catalog):
            self._state.log.note(
                "configuration not newer",
                version=catalog.version,
                in_force=in_force.version,
                offset=entry.offset,
            )
            return
        self._state.log.note(
            "configuration in force",
            version=catalog.version,
            replaced=in_force.version if in_force else None,
            offset=entry.offset,
            view_age_s=self._state.freshness.get_rounded_age(self._state.clock()),
            routes=len(catalog.routes),
            accounts=len(catalog.accounts),
        )

    def rank_catalog(self, entry):
        """Return the version of a configuration as its rank, None for other keys.

        An undecodable configuration ranks below all others.
        """
        if entry.key != self._adapter.catalog_key:
            return None
        if entry.value is None:
            return _UNDECODABLE_RANK
        # Known records are ranked again for each new one, and decoding takes
        # milliseconds.
        digest = xxhash.xxh64_intdigest(entry.value)
        if digest not in self._versions:
            self._versions[digest] = self._read_version(entry.value)
            while len(self._versions) > _MAX_VERSION_COUNT:
                del self._versions[next(iter(self._versions))]
        return self._versions[digest]

    def _read_version(self, value):
        try:
            return self._decode_catalog(value).version
        except BadRecord:
            return _UNDECODABLE_RANK

    def _decode_catalog(self, value):
        """Decode a configuration; the last one is cached for repeated use."""
        known, catalog = self._last_decoded
        if known != value:
            catalog = self._adapter.decode_catalog(value)
            self._last_decoded = (value, catalog)
        return catalog

    def record_catalog_position(self, position):
        """Record the `Position` up to which the configuration topic is known."""
        self._state.catalog_position = position
        self._state.catalog_known = True
        self._state.on_view_changed()

    def _apply_evacuation(self, domain, entry):
        state = self._state
        if entry.value is not None:
            if state.evacuations.begin(domain):
                state.log.note(
                    "evacuation in force", evacuated=domain, offset=entry.offset
                )
            return
        if domain in state.evacuations.domains:
            # Before the end, as its instances get requests again from then on.
            self._warm_up_domain(domain)
            state.evacuations.end(domain)
            state.log.note("evacuation over", evacuated=domain, offset=entry.offset)

    def _warm_up_domain(self, domain):
        """Start a warm-up of every instance of a domain until its next record.

        The instances got no requests for a while, and all gateways resume at once.
        """
        state = self._state
        now = state.clock()
        with self._lock:
            for row in state.directory.get_all_ready():
                if row.domain == domain:
                    self._start_warm_up(
                        row, self._get_warm_time(row), "evacuation", now
                    )

    def _get_warm_time(self, instance):
        catalog = self._state.catalog
        service = catalog.services.get(instance.service) if catalog else None
        return service.warm_time if service else 0.0

    def _start_warm_up(self, instance, seconds, source, now):
        state = self._state
        if seconds <= 0.0:
            return
        state.timers.subscribe("warm-up", None, self.end_warm_ups, seconds)
        if state.slow_start.mark_warming(instance.id, now + seconds, now):
            state.metrics.warm_ups.labels(source).inc()
            state.log.note(
                "upstream warming",
                upstream=instance.id,
                upstream_domain=instance.domain,
                source=source,
                seconds=round(seconds, 3),
            )

    def end_warm_ups(self):
        """End and log the warm-ups whose time is over."""
        with self._lock:
            for instance_id in self._state.slow_start.take_ended(self._state.clock()):
                self._state.log.note("upstream warm", upstream=instance_id)

    def apply_instance(self, entry):
        """Apply a record of the instances topic."""
        with self._lock:
            if entry.value is None:
                self._remove(entry)
            else:
                self._put(entry)

    def remove_expired(self):
        """Remove instances whose records were not renewed in time."""
        with self._lock:
            for instance_id in self._state.lapsed_records.pop_expired(
                self._state.clock()
            ):
                old = self._state.directory.remove(instance_id)
                if old is not None:
                    self._discard_state(
                        old, self._state.directory_position.offset, "upstream gone"
                    )

    def _remove(self, entry):
        state = self._state
        now = state.clock()
        self._mark_valid(entry.key)
        known = self._find_instance(entry.key)
        if known is None:
            return
        until = state.lapsed_records.retain(known, now)
        if until is None:
            self._remove_instance(known, entry.offset, "upstream gone")
            return
        state.timers.subscribe("lapse", None, self.remove_expired, until - now)
        state.log.note(
            "upstream lapsed",
            upstream=known.id,
            offset=entry.offset,
            store_back_s=round(state.lapsed_records.get_recovery_age(now), 3),
            used_for_s=round(until - now, 3),
        )

    def _put(self, entry):
        state = self._state
        try:
            instance = self._adapter.decode_instance(entry.key, entry.value)
        except BadRecord as exc:
            self._count_bad_record(entry.key, entry.offset, exc)
            self._remove_invalid(entry)
            return
        self._mark_valid(entry.key)
        earlier = self._find_instance(entry.key)
        if earlier is not None and is_stale_record(instance, earlier):
            state.log.note(
                "older record ignored",
                upstream=instance.id,
                offset=entry.offset,
                sequence=instance.sequence,
                known_sequence=earlier.sequence,
            )
            return
        replaced = None
        if earlier is not None and earlier.id != instance.id:
            replaced = earlier
            state.lapsed_records.stop_retaining(earlier.id)
        old = state.directory.by_id.get(instance.id)
        was_retained = state.lapsed_records.stop_retaining(instance.id)
        if _is_unchanged(old, instance) and not was_retained and replaced is None:
            self._ids_by_key[entry.key] = instance.id
            return
        # Before the instance is in the directory and can get requests.
        now = state.clock()
        if instance.warming > 0.0:
            self._start_warm_up(instance, instance.warming, "record", now)
        elif state.slow_start.forget(instance.id):
            state.log.note("upstream warm", upstream=instance.id, offset=entry.offset)
        position = RecordPosition(entry.offset, now)
        # In one step: removing the earlier incarnation first would leave its service
        # without an upstream for a moment.
        state.directory.put(instance, position, replaced.id if replaced else None)
        if replaced is not None:
            # The new incarnation has no caches or requests of the earlier one.
            self._discard_state(replaced, entry.offset, "upstream restarted")
        self._ids_by_key[entry.key] = instance.id
        if was_retained or old is None or old.ready != instance.ready:
            state.log.note(
                "upstream ready" if instance.ready else "upstream leaving",
                upstream=instance.id,
                source="record",
                service=instance.service,
                address=instance.address,
                offset=entry.offset,
                lapsed=was_retained,
            )

    def _remove_invalid(self, entry):
        """Remove an instance whose record was replaced by an invalid one.

        Its active requests continue to their end. A valid record adds it again.
        """
        known = self._find_instance(entry.key)
        if known is not None:
            self._state.lapsed_records.stop_retaining(known.id)
            self._remove_instance(known, entry.offset, "upstream record spoilt")

    def apply_member(self, entry):
        """Apply a record of the members topic, which has the address of a gateway."""
        if entry.key == self._state.cfg.host:
            self._state.member_record = entry.value
        if entry.value is None:
            return
        try:
            member = parse_member(entry.key, entry.value)
        except ValueError as exc:
            self._count_bad_record(entry.key, entry.offset, exc)
            return
        self._mark_valid(entry.key)
        self._state.members.add(member)

    def apply_quarantine(self, entry):
        """Apply a record of the quarantine topic, or its removal."""
        try:
            fingerprint = parse_fingerprint(entry.key)
            record = None if entry.value is None else decode_record(entry.value)
        except ValueError as exc:
            self._count_bad_record(entry.key, entry.offset, exc)
            return
        crash_attribution.apply_record(
            self._state, fingerprint, record, self._state.clock()
        )

    def restore_quarantines(self, unconfirmed, withheld):
        """Write again the quarantines, and their removals, that the store has lost."""
        missing, returned = map(_parse_fingerprints, (unconfirmed, withheld))
        crash_attribution.restore_records(self._state, missing, returned)

    def record_quarantine_position(self, position):
        """Record the `Position` up to which quarantines are known."""
        self._state.quarantine_known = True
        self._state.quarantine_position = position

    def record_directory_position(self, position):
        """Record the `Position` up to which instances are known."""
        self._state.directory_known = True
        self._state.directory_position = position
        self._state.on_view_changed()

    def mark_members_known(self, position):
        """Mark all gateways in the store's list as known."""
        self._state.members_known = True

    def withholds_instance(self, entry, known):
        """Return whether a restored store has an upstream again that has left.

        ``known`` is the entry of the same key before the restore.
        """
        instance = self._find_instance(entry.key)
        if instance is None:
            return known.value is None
        try:
            listed = self._adapter.decode_instance(entry.key, entry.value)
        except BadRecord:
            return False
        return started_earlier(listed, instance)

    def _find_instance(self, key):
        """Return the current instance of a key of the instances topic, or None."""
        instance_id = self._ids_by_key.get(key)
        return self._state.directory.by_id.get(instance_id)

    def _remove_instance(self, instance, offset, event):
        self._state.directory.remove(instance.id)
        self._discard_state(instance, offset, event)

    def _discard_state(self, instance, offset, event):
        state = self._state
        self._ids_by_key.pop(instance.announced_id, None)
        state.connections.drop(instance.id)
        state.loads.forget(instance.id)
        state.peer_failures.forget(instance.id)
        state.slow_start.forget(instance.id)
        state.backoffs.forget(instance.id)
        state.log.note(event, upstream=instance.id, offset=offset)

    def _count_bad_record(self, record_key, offset, exc):
        """Count an invalid record; log only the first until the key is valid again."""
        self._state.bad_records += 1
        if record_key in self._bad_keys or len(self._bad_keys) >= _MAX_BAD_KEY_COUNT:
            return
        self._bad_keys.add(record_key)
        self._state.bad_keys = len(self._bad_keys)
        self._state.log.note(
            "bad record",
            failed=True,
            key=record_key[:_MAX_TEXT_CHARS],
            offset=offset,
            why=str(exc)[:_MAX_TEXT_CHARS],
        )

    def _mark_valid(self, record_key):
        if record_key in self._bad_keys:
            self._bad_keys.discard(record_key)
            self._state.bad_keys = len(self._bad_keys)


def _parse_fingerprints(entries):
    """Return the fingerprints in the keys of entries, without malformed ones."""
    fingerprints = []
    for entry in entries:
        # A malformed key was logged when its record was applied.
        with contextlib.suppress(ValueError):
            fingerprints.append(parse_fingerprint(entry.key))
    return fingerprints


def _is_unchanged(old, instance):
    """Return whether a record differs from the known one only in its sequence."""
    return old is not None and old._replace(sequence=instance.sequence) == instance
