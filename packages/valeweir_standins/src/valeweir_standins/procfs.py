"""Reads the processor time and memory of another process from /proc."""

import os
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def get_cpu_seconds(pid):
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def get_memory_kb(pid):
    """Return the resident memory of a process in KiB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_KB


def get_peak_memory_kb(pid):
    """Return the largest resident memory that a process has had, in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0])
    raise ValueError(f"the peak memory of process {pid} is unknown")
