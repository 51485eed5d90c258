"""Finds requests that were lost or late in the gateways' logs."""

import collections
import math
from typing import NamedTuple

LATE = "late"
LATE_PACE = "late-pace"
# About one bin for each horizontal pixel of the plot.
_MAX_BIN_COUNT = 900


class Loss(NamedTuple):
    """A log line of a request that failed, was refused or was served late.

    ``second`` is the time since the first line of the logs. ``first_sent_ms`` is the
    time until the request was first sent to an upstream, None if it was not sent.
    """

    request_id: str
    reason: str
    route: str
    account: str
    domain: str
    host: str
    second: int
    first_sent_ms: float | None


class Row(NamedTuple):
    """Losses with the same value of a field.

    Times are in milliseconds, None if no request was sent to an upstream.
    """

    value: str
    count: int
    share: float
    first_sent_p50: float | None
    first_sent_p99: float | None


GROUPS = ("reason", "route", "account", "domain", "host", "second")


def find_losses(lines):
    """Return a `Loss` for each line that reports a failed, refused or late request."""
    losses = []
    start = lines[0].timestamp if lines else 0.0
    for line in lines:
        reason = _get_loss_reason(line)
        if reason is None:
            continue
        get = line.fields.get
        losses.append(
            Loss(
                line.request_id,
                reason,
                get("route") or "-",
                get("account") or "-",
                get("domain") or "-",
                line.host,
                int(line.timestamp - start),
                get("first_sent_ms"),
            )
        )
    return losses


def tabulate(losses, group):
    """Return a `Row` for each value of a field.

    Rows are in descending order of their count, those of seconds in order of time.
    """
    members = collections.defaultdict(list)
    for loss in losses:
        members[str(getattr(loss, group))].append(loss.first_sent_ms)
    rows = [
        Row(value, len(times), len(times) / len(losses), *_get_quantiles(times))
        for value, times in members.items()
    ]
    if group == "second":
        return sorted(rows, key=lambda row: int(row.value))
    return sorted(rows, key=lambda row: (-row.count, row.value))


def count_by_time(losses):
    """Return the width of a bin in seconds and {reason: [count by bin]}.

    The number of bins is bounded for logs of any length. Reasons are in descending
    order of their total count.
    """
    if not losses:
        return 1, {}
    span = max(loss.second for loss in losses) + 1
    bin_width = math.ceil(span / _MAX_BIN_COUNT)
    bins = math.ceil(span / bin_width)
    table = collections.defaultdict(lambda: [0] * bins)
    for loss in losses:
        table[loss.reason][loss.second // bin_width] += 1
    return bin_width, dict(sorted(table.items(), key=lambda item: -sum(item[1])))


def _get_loss_reason(line):
    fields = line.fields
    if line.event == "request refused":
        return str(fields.get("why") or "refused")
    if line.event == "request failed":
        return "internal"
    if line.event == "request served":
        if _is_late(fields):
            return LATE
        if _has_long_gap(fields):
            return LATE_PACE
    return None


def _is_late(fields):
    latency_target = fields.get("latency_target_ms")
    sent, first = fields.get("first_sent_ms"), fields.get("first_ms")
    if not latency_target or sent is None or first is None:
        return False
    return sent + first > latency_target


def _has_long_gap(fields):
    """Return whether two events of a stream were further apart than permitted."""
    permitted = fields.get("gap_target_ms")
    gap = fields.get("longest_gap_ms")
    return bool(permitted) and gap is not None and gap > permitted


def _get_quantiles(times):
    sorted_times = sorted(time for time in times if time is not None)
    if not sorted_times:
        return None, None
    return _get_quantile(sorted_times, 0.5), _get_quantile(sorted_times, 0.99)


def _get_quantile(values, fraction):
    return values[min(len(values) - 1, int(fraction * len(values)))]
