"""Passive health checks: ejection of failing upstreams and their readmission."""

_EJECTION_ERROR_COUNT = 3
_MIN_PAUSE_S = 2.0
_MAX_PAUSE_S = 60.0


class EjectionState:
    """Consecutive errors and ejection of one upstream, as seen by this router."""

    __slots__ = ("ejected_until", "error_count", "next_pause_s", "probing")

    def __init__(self):
        self.error_count = 0
        self.next_pause_s = _MIN_PAUSE_S
        self.ejected_until = 0.0
        self.probing = False


class UpstreamHealth:
    """Ejection states of all upstreams.

    An upstream is ejected after consecutive errors, for a pause that doubles
    each time. The pause has random jitter, so that the routers do not all send
    to the upstream again at the same time. After the pause one request probes
    the upstream; a success ends the ejection.
    """

    def __init__(self, rng):
        self._rng = rng
        self._states = {}

    def record_success(self, upstream):
        """Record a complete response; return whether it ended an ejection."""
        state = self._states.get(upstream)
        if state is None:
            return False
        ended = state.ejected_until > 0
        del self._states[upstream]
        return ended

    def record_error(self, upstream, now):
        """Record a failure; return the pause in seconds if it ejects, or None."""
        state = self._states.setdefault(upstream, EjectionState())
        state.error_count += 1
        if state.error_count < _EJECTION_ERROR_COUNT and not state.probing:
            return None
        if now < state.ejected_until:
            return None
        pause = state.next_pause_s * self._rng.uniform(0.75, 1.25)
        state.ejected_until = now + pause
        state.next_pause_s = min(state.next_pause_s * 2, _MAX_PAUSE_S)
        state.probing = False
        return pause

    def is_usable(self, upstream, now):
        """Return whether a request may be sent to the upstream now."""
        state = self._states.get(upstream)
        if state is None or state.ejected_until == 0:
            return True
        return now >= state.ejected_until and not state.probing

    def is_ejected(self, upstream, now):
        """Return whether the upstream is ejected and its pause is not over."""
        state = self._states.get(upstream)
        return state is not None and now < state.ejected_until

    def record_dispatch(self, upstream):
        """Record a request sent; the first one after a pause is the probe."""
        state = self._states.get(upstream)
        if state is not None and state.ejected_until > 0:
            state.probing = True

    def end_probe(self, upstream):
        """Record that a probe ended with neither success nor failure."""
        state = self._states.get(upstream)
        if state is not None:
            state.probing = False
