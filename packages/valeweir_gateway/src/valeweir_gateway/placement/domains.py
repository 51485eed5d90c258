"""Detection of failure domains that this gateway probably cannot reach.

If no gateway of a domain sends reports, either these gateways are down or the domain is
unreachable. One failed connection to an instance of the domain distinguishes the two
cases; the other instances are then avoided while the domain stays silent. A prober
connects as soon as a domain is silent, so that no request has to fail first.
"""

import threading

from ..transport.sockets import connect_blocking

PROBE_CHECK_S = 0.3
# Shorter than the lifetime of a failure, so that a failed probe counts until the next.
_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 0.2
_FAILURE_LIFETIME_S = 3.0


class DomainFailures:
    """Time of the last failed connection to each failure domain."""

    def __init__(self, own):
        self._own = own
        self._lock = threading.Lock()
        self._failed_at = {}

    def record_failure(self, domain, now):
        """Record that an instance of the domain could not be reached."""
        if domain != self._own:
            with self._lock:
                self._failed_at[domain] = now

    def record_success(self, domain):
        """Record a response from an instance of the domain."""
        if domain in self._failed_at:
            with self._lock:
                self._failed_at.pop(domain, None)

    def get_unreachable(self, silent, now):
        """Return those of the ``silent`` domains that are probably unreachable."""
        if not self._failed_at or not silent:
            return frozenset()
        with self._lock:
            return frozenset(
                domain
                for domain, at in self._failed_at.items()
                if domain in silent and now - at < _FAILURE_LIFETIME_S
            )


class DomainProber:
    """Connects to an instance of each silent domain."""

    def __init__(self, state, connect=connect_blocking):
        self._state = state
        self._connect = connect
        self._probed_at = {}

    def probe(self):
        """Probe each silent domain whose interval has passed; record the results."""
        state = self._state
        now = state.clock()
        silent = state.members.get_silent_domains(now)
        for domain in self._probed_at.keys() - silent:
            del self._probed_at[domain]
        for domain in silent - {state.cfg.domain}:
            if (
                now - self._probed_at.get(domain, -_PROBE_INTERVAL_S)
                < _PROBE_INTERVAL_S
            ):
                continue
            self._probed_at[domain] = now
            instance = self._choose_instance(domain)
            if instance is not None:
                self._record_result(domain, self._is_reachable(instance))

    def _choose_instance(self, domain):
        instances = [instance for instance in self._state.directory.get_all_ready()]
        instances = [instance for instance in instances if instance.domain == domain]
        return self._state.rng.choice(instances) if instances else None

    def _is_reachable(self, instance):
        try:
            self._connect(instance.address, _PROBE_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def _record_result(self, domain, reachable):
        state = self._state
        was_unreachable = domain in state.domains.get_unreachable(
            {domain}, state.clock()
        )
        if reachable:
            state.domains.record_success(domain)
        else:
            state.domains.record_failure(domain, state.clock())
        if was_unreachable == reachable:
            state.log.note("domain probed", probed=domain, reachable=reachable)
