"""Reading gateways' structured logs, as files or from standard input."""

import re
import sys
from typing import NamedTuple

import msgspec

# A collector may put the time, in seconds, and the name of the process first.
_LINE = re.compile(r"^\s*(?:(-?\d+(?:\.\d+)?)\s+)?(?:\S+\s+)?(\{.*\})\s*$")


class LogLine(NamedTuple):
    """One decision: ``at`` in seconds, ``fields`` all that the line says."""

    at: float
    event: str
    host: str
    fields: dict

    @property
    def request_id(self):
        """Return the id of the request that the line is about, "" for none."""
        return self.fields.get("id") or ""


class LogReading(NamedTuple):
    """What was read: lines in order of time, and how many were no log lines.

    ``left_out`` is how many lines the gateways themselves left out.
    """

    lines: list[LogLine]
    passed_over: int
    left_out: int


def read_logs(paths):
    """Return the `LogReading` of files, "-" for standard input.

    Raises OSError where a file cannot be read.
    """
    lines = []
    passed_over = 0
    for path in paths:
        for text in _read_texts(path):
            line = parse_line(text)
            if line is None:
                passed_over += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    return LogReading(lines, passed_over, _count_left_out(lines))


def parse_line(text):
    """Return the `LogLine` in a line of text, or None where it is none."""
    match = _LINE.match(text)
    if match is None:
        return None
    try:
        fields = msgspec.json.decode(match.group(2))
    except msgspec.DecodeError:
        return None
    event, host = fields.get("event"), fields.get("host")
    if not isinstance(event, str) or not isinstance(host, str):
        return None
    at = match.group(1) or fields.get("time", fields.get("t"))
    try:
        return LogLine(float(at), event, host, fields)
    except (TypeError, ValueError):
        return None


def _read_texts(path):
    if path == "-":
        yield from sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield from file


def _count_left_out(lines):
    """Add up the greatest count of each host; a restart begins at 0 again."""
    total = 0
    last = {}
    for line in lines:
        count = line.fields.get("left_out")
        if not isinstance(count, int):
            continue
        known = last.get(line.host, 0)
        total += count - known if count >= known else count
        last[line.host] = count
    return total
