"""Exclusion of upstreams at which connections of several peers were refused.

Without it, each gateway detects a crashed upstream by refused connections of its own.
The rows of peers arrive in their reports: for each instance, the number of gateways
that have ejected it because a connection was refused, and the number of gateways that
have had a response from it since. Only refused connections count: a gateway behind a
broken link gets time-outs, which are no evidence against the upstream.
"""

from typing import NamedTuple

# The report of a single gateway must not exclude an upstream from the others.
_MIN_GATEWAY_COUNT = 2
# A row ends this long after its ejection if no request has probed the instance, so that
# a gateway without requests does not keep it excluded from the others.
_PROBE_GRACE_S = 1.0
# Expected number of probes per ejection period by gateways that only follow their
# peers: this many, or this fraction of the gateways that were refused. If all probed,
# each gateway would meet a refused connection after all. With fewer, an upstream that
# refuses only some gateways would stay excluded from the others for long.
_MIN_PROBER_COUNT = 2
_PROBERS_PER_REFUSED = 0.25


class Changes(NamedTuple):
    """Rows by id of the instances that became excluded, and ids no longer excluded."""

    excluded: dict[str, tuple[int, int]]
    released: list[str]


def is_excluded(ejected, answered, is_observed_here):
    """Return whether the reports of peers exclude an instance from new work.

    Parameters
    ----------
    ejected, answered : int
        Numbers of peers that ejected it and that have had a response since.
    is_observed_here : bool
        Whether this gateway was refused or had a response itself, which takes
        precedence over the reports.
    """
    if is_observed_here:
        return False
    return ejected >= _MIN_GATEWAY_COUNT and ejected > answered


def compute_probe_ratio(ejected, gateways):
    """Return the probability that a gateway following its peers sends a probe.

    ``ejected`` of the ``gateways`` in the fleet were refused.
    """
    probers = max(_MIN_PROBER_COUNT, _PROBERS_PER_REFUSED * ejected)
    return min(1.0, probers / max(1, gateways))


class PeerFailures:
    """What peers report on failed upstreams, and what this gateway reports.

    Parameters
    ----------
    loads : loads.Loads
        Holds the ejections.
    rng : random.Random
        Decides whether this gateway probes an instance that only peers have ejected.
    """

    def __init__(self, loads, rng):
        self._loads = loads
        self._rng = rng
        # Time of the last refused connection, by instance id.
        self._refused_at = {}
        # When the ejections that peers report became known here, by instance id.
        self._reported_at = {}
        # Whether this gateway probes after the ejection, by id of excluded instance.
        self._probes = {}
        # End of the last ejection made here, by id of excluded instance.
        self._ejected_until = {}

    def __len__(self):
        """Return the number of instances that are excluded because of peers."""
        return len(self._probes)

    def record_refusal(self, instance_id, now):
        """Record that a connection to an ejected instance was refused."""
        self._refused_at[instance_id] = now

    def get_rows(self, now):
        """Return this gateway's own rows, by instance id: (ejected, answered)."""
        for instance_id, at in list(self._refused_at.items()):
            end = self._loads.get(instance_id, now).ejected_until
            if self._has_answered(instance_id, at, now) or now >= end + _PROBE_GRACE_S:
                self._refused_at.pop(instance_id, None)
        rows = {
            instance_id: (0, 1)
            for instance_id, at in list(self._reported_at.items())
            if self._has_answered(instance_id, at, now)
        }
        return rows | dict.fromkeys(self._refused_at, (1, 0))

    def apply(self, rows, gateways, now):
        """Apply the sums of the rows of all peers, by instance id.

        ``gateways`` is the number of gateways in the fleet. Return the `Changes`.
        """
        reported = {name: row for name, row in rows.items() if row[0] > 0}
        for name in self._reported_at.keys() - reported.keys():
            self._reported_at.pop(name, None)
        excluded = {}
        for name, row in reported.items():
            since = self._reported_at.setdefault(name, now)
            is_observed = name in self._refused_at
            is_observed = is_observed or self._has_answered(name, since, now)
            if is_excluded(*row, is_observed):
                excluded[name] = row
        released = [name for name in list(self._probes) if name not in excluded]
        for name in released:
            self._probes.pop(name, None)
            self._release(name, now)
            self._ejected_until.pop(name, None)
        added = {k: row for k, row in excluded.items() if k not in self._probes}
        for name, (ejected, _) in excluded.items():
            self._extend_ejection(name, compute_probe_ratio(ejected, gateways), now)
        return Changes(added, released)

    def forget(self, instance_id):
        """Remove an instance that no longer exists."""
        for table in (
            self._refused_at,
            self._reported_at,
            self._probes,
            self._ejected_until,
        ):
            table.pop(instance_id, None)

    def _extend_ejection(self, instance_id, probe_ratio, now):
        """Eject an instance again at the end of an ejection unless a probe is due."""
        load = self._loads.get(instance_id, now)
        is_probe_due = load.ejected_until and self._probes.get(instance_id, False)
        if now < load.ejected_until or load.probing or is_probe_due:
            self._probes.setdefault(instance_id, False)
            return
        self._loads.eject(instance_id, now)
        self._ejected_until[instance_id] = load.ejected_until
        self._probes[instance_id] = self._rng.random() < probe_ratio

    def _release(self, instance_id, now):
        """End an ejection made here of an instance that peers no longer exclude."""
        if not self._is_ejected_here(instance_id, now):
            return
        since = self._reported_at.get(instance_id, now)
        if self._has_answered(instance_id, since, now):
            # If the answer to the probe is a stream, its end may be far off.
            self._loads.clear_ejection(instance_id, now)
        elif instance_id not in self._refused_at:
            self._loads.end_ejection(instance_id, now)

    def _is_ejected_here(self, instance_id, now):
        """Return whether the ejection in force follows from the reports of peers.

        One because of time-outs or a replaced instance ends by its own rules.
        """
        end = self._loads.get(instance_id, now).ejected_until
        return end > 0.0 and end == self._ejected_until.get(instance_id)

    def _has_answered(self, instance_id, since, now):
        """Return whether a response head has arrived here since a time."""
        at = self._loads.get(instance_id, now).responded_at
        return at is not None and at >= since
