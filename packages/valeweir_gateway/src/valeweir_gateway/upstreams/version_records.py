"""Records of the software versions at which streams of a service may have begun.

The store keeps one record a service. They outlive the gateways, whose knowledge of the
streams that they began ends with them.
"""

from typing import NamedTuple

import msgspec


class VersionRecord(msgspec.Struct, frozen=True):
    """The versions at which streams may have begun that can still be taken up.

    Streams begin at the versions ``serving`` only. The versions ``left`` have no
    upstreams any more. ``era`` is the era of the store since whose begin the record has
    all versions: the copy that a store is restored from may lack some.
    """

    serving: list[str]
    left: list[str] = []
    era: int = 0

    @property
    def versions(self):
        """Return all versions of the record."""
        return frozenset(self.serving) | frozenset(self.left)


class StoredVersions(NamedTuple):
    """The `VersionRecord` of each service as listed by the store.

    ``offsets`` has the offset of each record, ``end`` and ``era`` are as for
    `topics.Listing`.
    """

    records: dict[str, VersionRecord]
    offsets: dict[str, int]
    end: int
    era: int

    def find_only_version(self, service):
        """Return the version of all streams of a service, None if it is not certain."""
        record = self.records.get(service)
        if record is None or record.era != self.era or len(record.versions) != 1:
            return None
        (version,) = record.versions
        return version


_decoder = msgspec.json.Decoder(VersionRecord)


def encode_record(record):
    """Return the bytes of a `VersionRecord`."""
    return msgspec.json.encode(record)


def decode_listing(listing):
    """Return the `StoredVersions` in a `topics.Listing`; raises `ValueError`."""
    rows = [entry for entry in listing.entries if entry.value is not None]
    records = {entry.key: _decoder.decode(entry.value) for entry in rows}
    offsets = {entry.key: entry.offset for entry in rows}
    return StoredVersions(records, offsets, listing.end, listing.era)


def merge_records(record, other):
    """Return a record with the versions of two, of which one or both may be None."""
    if record is None or other is None:
        return record or other
    serving = {*record.serving, *other.serving}
    return VersionRecord(
        sorted(serving),
        sorted((record.versions | other.versions) - serving),
        max(record.era, other.era),
    )


def add_serving(record, versions):
    """Return a record in which these versions are serving."""
    serving = {*record.serving, *versions}
    return msgspec.structs.replace(
        record, serving=sorted(serving), left=sorted(set(record.left) - serving)
    )


def mark_left(record, versions):
    """Return a record in which these versions have left."""
    serving = set(record.serving) - set(versions)
    return msgspec.structs.replace(
        record, serving=sorted(serving), left=sorted(record.versions - serving)
    )


def drop_left(record):
    """Return a record without the versions that have left."""
    return msgspec.structs.replace(record, left=[])
