"""Limits on the requests and connections of clients."""

from typing import NamedTuple


class ClientLimits(NamedTuple):
    """Maximum sizes in bytes and maximum times in seconds."""

    header_bytes: int = 32 << 10
    body_bytes: int = 8 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 15.0
