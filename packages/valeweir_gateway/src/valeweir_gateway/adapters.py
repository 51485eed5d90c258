"""What a platform's adapter hands to the gateway: names, formats and calls."""

from collections.abc import Callable
from typing import NamedTuple

from valeweir.exceptions import PlatformUnavailable

from .stores import Store
from .transport.headers import HeaderNames


class BadRecord(ValueError):
    """A record of the store that cannot be decoded."""


class ListRefused(PlatformUnavailable):
    """An engine does not list its cache now; ``retry_after`` is its header or None."""

    def __init__(self, address, status, retry_after):
        super().__init__(f"{address} answered {status}")
        self.status = status
        self.retry_after = retry_after


class Adapter(NamedTuple):
    """Translations between a platform and the gateway.

    ``decode_catalog`` takes the bytes of a configuration record and returns a
    `catalog.Catalog`; ``decode_instance`` takes a key and bytes and returns a
    `directory.Instance`. Both raise `BadRecord`. ``find_evacuated`` takes a key of
    the catalog topic and returns the failure domain whose evacuation that record
    asks for, or None. ``list_parts`` takes the address of an engine and returns the
    ids of the prompt parts it keeps; it raises `ListRefused`, or `PlatformUnavailable`.
    """

    names: HeaderNames
    ready_path: str
    store: Store
    catalog_topic: str
    catalog_key: str
    instance_topic: str
    member_topic: str
    quarantine_topic: str
    decode_catalog: Callable
    decode_instance: Callable
    find_evacuated: Callable
    list_parts: Callable
