"""Reads the `version_records` of the store for streams that are taken up."""

import asyncio
from typing import NamedTuple

from valeweir.exceptions import PlatformUnavailable

from ..digests import get_digest
from .stream_origins import StreamOrigin
from .version_records import StoredVersions, decode_listing

# How long a stream that is taken up waits for the store, and the time between calls.
_READ_TIMEOUT_S = 0.4
_READ_INTERVAL_S = 0.05


class _Reading(NamedTuple):
    """What the store answered to a call that started at a time; None for no answer."""

    started_at: float
    stored: StoredVersions | None


class VersionReader:
    """The last answer of the store; concurrent requests share its calls.

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
        self._reading = _Reading(-1.0, None)
        self._call = None

    async def find_only_origin(self, service, since):
        """Return the `StreamOrigin` of all streams that a service may have begun.

        Parameters
        ----------
        since : float
            Only an answer to a call of the store that starts later is used.

        Returns
        -------
        StreamOrigin or None
            None if there are several versions, or the store does not tell in time.
        """
        until = since + _READ_TIMEOUT_S
        while self._reading.started_at < since:
            left_s = until - self._state.clock()
            if left_s <= 0.0:
                return None
            if self._call is None:
                self._call = asyncio.ensure_future(self._read())
            await asyncio.wait([self._call], timeout=left_s)
        stored = self._reading.stored
        version = None if stored is None else stored.find_only_version(service)
        if version is None:
            return None
        return StreamOrigin(get_digest(service), get_digest(version))

    def describe(self, service):
        """Return log fields on the last answer of the store about a service."""
        stored = self._reading.stored
        record = None if stored is None else stored.records.get(service)
        if record is None:
            return {"recorded_versions": None}
        return {
            "recorded_versions": sorted(record.versions),
            "record_era": record.era,
            "store_era": stored.era,
        }

    async def _read(self):
        try:
            wait = self._reading.started_at + _READ_INTERVAL_S - self._state.clock()
            if wait > 0.0:
                await self._state.sleep(wait)
            started_at = self._state.clock()
            loop = asyncio.get_running_loop()
            stored = await loop.run_in_executor(None, self._list_stored)
            self._reading = _Reading(started_at, stored)
        finally:
            self._call = None

    def _list_stored(self):
        """Return the `StoredVersions`, None if the store does not tell."""
        try:
            return decode_listing(self._store.list_newest(self._topic))
        except (PlatformUnavailable, ValueError) as exc:
            self._state.log.note("stream versions unknown", failed=True, why=str(exc))
            return None
