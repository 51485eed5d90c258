"""Reads structured logs of gateways from files or standard input."""

import re
import sys
from typing import NamedTuple

import msgspec

# A log collector may prepend the time in seconds and the name of the process.
_LINE_PATTERN = re.compile(r"^\s*(?:(-?\d+(?:\.\d+)?)\s+)?(?:\S+\s+)?(\{.*\})\s*$")


class LogLine(NamedTuple):
    """A parsed log line.

    ``timestamp`` is in seconds, and ``fields`` holds all fields of the line.
    ``has_collector_time`` is True if the timestamp is that of a log collector, and
    False if it is from the gateway's clock.
    """

    timestamp: float
    event: str
    host: str
    fields: dict
    has_collector_time: bool

    @property
    def request_id(self):
        """Return the id of the request of this line, "" if it has none."""
        return self.fields.get("id") or ""


class LogReading(NamedTuple):
    """The result of reading logs.

    ``lines`` is ordered by time. ``passed_over`` counts the lines that were skipped, as
    they are not log lines or are timed by another clock. ``left_out`` counts the lines
    that the gateways dropped.
    """

    lines: list[LogLine]
    passed_over: int
    left_out: int


def read_logs(paths):
    """Return the `LogReading` of files; "-" is standard input.

    Raises OSError if a file cannot be read.
    """
    lines = []
    passed_over = 0
    for path in paths:
        for text in _read_lines(path):
            line = parse_line(text)
            if line is None:
                passed_over += 1
            else:
                lines.append(line)
    kept = _keep_main_clock(lines)
    kept.sort(key=lambda line: line.timestamp)
    passed_over += len(lines) - len(kept)
    return LogReading(kept, passed_over, _count_left_out(kept))


def parse_line(text):
    """Parse a line of text; return a `LogLine`, or None if it is not a log line."""
    match = _LINE_PATTERN.match(text)
    if match is None:
        return None
    try:
        fields = msgspec.json.decode(match.group(2))
    except msgspec.DecodeError:
        return None
    event, host = fields.get("event"), fields.get("host")
    if not isinstance(event, str) or not isinstance(host, str):
        return None
    has_collector_time = match.group(1) is not None
    timestamp = match.group(1) or fields.get("time", fields.get("t"))
    try:
        return LogLine(float(timestamp), event, host, fields, has_collector_time)
    except (TypeError, ValueError):
        return None


def _keep_main_clock(lines):
    """Return the lines timed by the clock that most lines use.

    Timestamps of two clocks cannot be ordered: those of a collector often start at 0,
    those of gateways count from 1970.
    """
    collected_count = sum(line.has_collector_time for line in lines)
    uses_collector_time = 2 * collected_count >= len(lines)
    return [line for line in lines if line.has_collector_time == uses_collector_time]


def _read_lines(path):
    if path == "-":
        yield from sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file


def _count_left_out(lines):
    """Return the total of the hosts' counters, which restart at 0 with the process."""
    total = 0
    last_counts = {}
    for line in lines:
        count = line.fields.get("left_out")
        if not isinstance(count, int):
            continue
        previous = last_counts.get(line.host, 0)
        total += count - previous if count >= previous else count
        last_counts[line.host] = count
    return total
