"""Short digests that replace names in messages between gateways."""

import functools

import xxhash

# Covers the prompt parts, instances and accounts that are in use at a time.
_CACHE_ENTRY_COUNT = 32_768


@functools.lru_cache(_CACHE_ENTRY_COUNT)
def get_digest(name):
    """Return the 32-bit digest of a name."""
    return xxhash.xxh32_intdigest(name.encode())
