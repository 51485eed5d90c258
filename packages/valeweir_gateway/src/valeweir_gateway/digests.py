"""Short digests that stand for names on the wire between gateways."""

import functools

import xxhash

# Digests kept: of the parts, instances and accounts in use at a time.
_CACHE_ENTRY_COUNT = 32_768


@functools.lru_cache(_CACHE_ENTRY_COUNT)
def get_digest(name):
    """Return a 32-bit digest that stands for a name."""
    return xxhash.xxh32_intdigest(name.encode())
