"""Interface between a platform and the gateway: names, formats and calls."""

from collections.abc import Callable
from typing import NamedTuple

from valeweir.exceptions import PlatformUnavailable

from .stores import Store
from .transport.headers import HeaderNames


class BadRecord(ValueError):
    """A record of the store cannot be decoded."""


class CacheListRefused(PlatformUnavailable):
    """An engine refused to list its cache.

    ``retry_after`` is the Retry-After header of its response or None.
    """

    def __init__(self, address, status, retry_after):
        super().__init__(f"{address} returned status {status}")
        self.status = status
        self.retry_after = retry_after


class Adapter(NamedTuple):
    """Names, formats and calls of one platform.

    ``decode_catalog`` takes the bytes of a configuration record and returns a
    `catalog.Catalog`; ``decode_instance`` takes a key and bytes and returns a
    `directory.Instance`. Both raise `BadRecord`. ``find_evacuated_domain`` takes a key
    of the catalog topic and returns the failure domain whose evacuation that record
    requests, or None. ``list_parts`` takes the address of an engine and returns the
    ids of the prompt parts in its cache; it raises `CacheListRefused` or
    `PlatformUnavailable`.
    """

    names: HeaderNames
    ready_path: str
    store: Store
    catalog_topic: str
    catalog_key: str
    instance_topic: str
    member_topic: str
    quarantine_topic: str
    version_topic: str
    decode_catalog: Callable
    decode_instance: Callable
    find_evacuated_domain: Callable
    list_parts: Callable
