"""Requests that were lost or late, by what the gateways' logs say of them."""

import collections
import math
from typing import NamedTuple

LATE = "late"
# Bins of a picture, about one for each of its pixels across.
_MAX_BIN_COUNT = 900


class Loss(NamedTuple):
    """A request that earned less than it could.

    ``second`` counts from the first line of the logs; ``first_sent_ms`` is the
    time in milliseconds until it was first sent to an upstream, None where it
    never was.
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
    """Losses that share a value; times in milliseconds, None without any."""

    value: str
    count: int
    share: float
    first_sent_p50: float | None
    first_sent_p99: float | None


GROUPS = ("reason", "route", "account", "domain", "host", "second")


def find_losses(lines):
    """Return the `Loss` of each line that ends a request badly or late."""
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
    """Return a `Row` for each value of a field, the most first; seconds in order."""
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

    However long the logs are, there are few bins; the greatest reason is first.
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
    if line.event == "request served" and _is_late(fields):
        return LATE
    return None


def _is_late(fields):
    latency_target = fields.get("latency_target_ms")
    sent, first = fields.get("first_sent_ms"), fields.get("first_ms")
    if not latency_target or sent is None or first is None:
        return False
    return sent + first > latency_target


def _get_quantiles(times):
    sorted_times = sorted(time for time in times if time is not None)
    if not sorted_times:
        return None, None
    return _get_quantile(sorted_times, 0.5), _get_quantile(sorted_times, 0.99)


def _get_quantile(values, fraction):
    return values[min(len(values) - 1, int(fraction * len(values)))]
