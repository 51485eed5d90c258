"""Taking records of the store into the gateway's view of the world."""

import threading

from .adapters import BadRecord
from .members import Member


class ViewKeeper:
    """Applies records; what cannot be decoded is counted and changes nothing."""

    def __init__(self, state, adapter):
        self._state = state
        self._adapter = adapter
        self._bad = set()
        # Records come from the store's reader and from peers; timers end lapses.
        self._lock = threading.Lock()

    def apply_catalog(self, entry):
        """Take in a record of the configuration topic."""
        if entry.key != self._adapter.catalog_key or entry.value is None:
            return
        try:
            catalog = self._adapter.decode_catalog(entry.value)
        except BadRecord as exc:
            self._note_bad("configuration", entry.offset, exc)
            return
        if not self._state.put_catalog(catalog):
            return
        self._state.log.note(
            "configuration in force",
            version=catalog.version,
            offset=entry.offset,
            routes=len(catalog.routes),
            accounts=len(catalog.accounts),
        )

    def apply_instance(self, entry):
        """Take in a record of the instances topic."""
        with self._lock:
            if entry.value is None:
                self._remove(entry)
            else:
                self._put(entry)

    def end_lapses(self):
        """Drop instances whose records did not come back in time."""
        with self._lock:
            for instance_id in self._state.lapses.take_expired(self._state.clock()):
                old = self._state.directory.remove(instance_id)
                if old is not None:
                    self._drop(old, self._state.directory_offset)

    def _remove(self, entry):
        state = self._state
        now = state.clock()
        known = state.directory.by_id.get(entry.key)
        if known is None:
            return
        until = state.lapses.hold(known, now)
        if until is None:
            state.directory.remove(entry.key)
            self._drop(known, entry.offset)
            return
        state.log.note(
            "upstream lapsed",
            upstream=entry.key,
            offset=entry.offset,
            store_back_s=round(state.lapses.get_age(now), 3),
            used_for_s=round(until - now, 3),
        )

    def _put(self, entry):
        state = self._state
        try:
            instance = self._adapter.decode_instance(entry.key, entry.value)
        except BadRecord as exc:
            self._note_bad(entry.key, entry.offset, exc)
            return
        old = state.directory.by_id.get(instance.id)
        held = state.lapses.release(instance.id)
        if old == instance and not held:
            return
        state.directory.put(instance)
        if held or old is None or old.ready != instance.ready:
            state.log.note(
                "upstream ready" if instance.ready else "upstream leaving",
                upstream=instance.id,
                service=instance.service,
                address=instance.address,
                offset=entry.offset,
                lapsed=held,
            )

    def apply_member(self, entry):
        """Take in a record of the members topic: where a gateway listens."""
        if entry.value is None:
            return
        try:
            domain, address, capacity = entry.value.decode("latin-1").split(" ")
            member = Member(entry.key, domain, address, float(capacity))
        except ValueError as exc:
            self._note_bad(entry.key, entry.offset, exc)
            return
        self._state.members.add(member)

    def note_directory(self, offset):
        """Note that every instance known before ``offset`` has been taken in."""
        self._state.directory_known = True
        self._state.directory_offset = offset

    def note_members(self, offset):
        """Note that every gateway in the store's list is known."""
        self._state.members_known = True

    def _drop(self, instance, offset):
        state = self._state
        state.connections.drop(instance.id)
        state.loads.forget(instance.id)
        state.log.note("upstream gone", upstream=instance.id, offset=offset)

    def _note_bad(self, what, offset, exc):
        self._state.bad_records += 1
        if what not in self._bad:
            self._bad.add(what)
            self._state.log.note(
                "bad record", failed=True, key=what, offset=offset, why=str(exc)
            )
