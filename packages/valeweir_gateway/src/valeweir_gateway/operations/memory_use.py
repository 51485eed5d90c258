"""Compares the resident memory of this process with what its buffers account for.

What is in use and not accounted for is outside of every bound on memory.
"""

import os
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Ratios of the memory limit at which the use becomes high, and is no longer so.
_HIGH_RATIO = 0.75
_NORMAL_RATIO = 0.6
_BYTES_PER_MB = 1e6


def read_resident_bytes():
    """Return the resident memory of this process in bytes, 0 if it is not known."""
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class MemoryMonitor:
    """Logs when the memory in use nears its limit, and when it no longer does.

    Parameters
    ----------
    read_bytes : callable
        Returns the resident memory in bytes.
    """

    def __init__(self, state, count_connections, read_bytes=read_resident_bytes):
        self._state = state
        self._count_connections = count_connections
        self._read_bytes = read_bytes
        self._is_high = False

    def check(self):
        """Log a change since the last check."""
        resident_bytes = self._read_bytes()
        limit_mb = self._state.cfg.memory.limit_mb
        ratio = _NORMAL_RATIO if self._is_high else _HIGH_RATIO
        is_high = resident_bytes > ratio * limit_mb * _BYTES_PER_MB
        if is_high == self._is_high:
            return
        self._is_high = is_high
        event = "memory use high" if is_high else "memory use normal"
        self._state.log.note(event, failed=is_high, **self._describe(resident_bytes))

    def _describe(self, resident_bytes):
        """Return log fields of the memory in use, in megabytes."""
        state = self._state
        return {
            "resident_mb": _to_megabytes(resident_bytes),
            "limit_mb": state.cfg.memory.limit_mb,
            "request_body_mb": _to_megabytes(state.request_memory.total),
            "response_body_mb": _to_megabytes(state.read_limits.bodies.total),
            "unsent_mb": _to_megabytes(state.write_buffers.total),
            "inflight": state.inflight,
            "connections": self._count_connections(),
        }


def _to_megabytes(size):
    return round(size / _BYTES_PER_MB, 1)
