"""Totals of gateways' reports; a table maps a digest to a pair of figures."""

_NO_ROWS = {}


def add_rows(total, rows):
    """Add the pairs of ``rows`` to a table in place."""
    if not total:
        # Fast path: most gateways receive reports from a single relay.
        total.update(rows)
        return
    for key, (first, second) in rows.items():
        old_first, old_second = total.get(key, (0, 0))
        total[key] = (old_first + first, old_second + second)


def subtract_rows(total, rows):
    """Return a copy of the table less ``rows``; figures do not go below zero."""
    remaining = dict(total)
    for key, (first, second) in rows.items():
        old_first, old_second = remaining.get(key, (0, 0))
        pair = (max(0, old_first - first), max(0, old_second - second))
        if any(pair):
            remaining[key] = pair
        else:
            remaining.pop(key, None)
    return remaining


class Totals:
    """Totals of loads, usage and failures, and the number of gateways included."""

    __slots__ = ("failures", "gateways", "loads", "usage")

    def __init__(self):
        self.loads = {}
        self.usage = {}
        self.failures = {}
        self.gateways = 0

    def add(self, loads, usage, gateways, failures=_NO_ROWS):
        """Add the figures of a gateway or a group."""
        add_rows(self.loads, loads)
        add_rows(self.usage, usage)
        add_rows(self.failures, failures)
        self.gateways += gateways

    def add_report(self, report):
        """Add the figures of a report."""
        self.add(report.loads, report.usage, report.gateways, report.failures)

    def joined(self, part):
        """Return the sum of these and other totals."""
        other = Totals()
        for totals in (self, part):
            other.add(totals.loads, totals.usage, totals.gateways, totals.failures)
        return other

    def without(self, part):
        """Return the totals less the figures of a report or of other totals."""
        other = Totals()
        other.loads = subtract_rows(self.loads, part.loads)
        other.usage = subtract_rows(self.usage, part.usage)
        other.failures = subtract_rows(self.failures, part.failures)
        other.gateways = max(0, self.gateways - part.gateways)
        return other
