"""Setting upstreams aside after errors, and their slow return."""

_ERRORS_TO_EJECT = 3
_FIRST_PAUSE = 2.0
_MAX_PAUSE = 60.0


class Condition:
    """How one upstream has done lately, seen from this router."""

    __slots__ = ("errors", "pause", "probing", "until")

    def __init__(self):
        self.errors = 0
        self.pause = _FIRST_PAUSE
        self.until = 0.0
        self.probing = False


class Health:
    """Conditions of all upstreams.

    An upstream is ejected after consecutive errors, for a pause that doubles
    and is spread by a random part, so that routers do not return together.
    After the pause one request probes it; success ends the ejection.
    """

    def __init__(self, rng):
        self._rng = rng
        self._conditions = {}

    def note_success(self, upstream):
        """Take in a whole answer; return whether it ended an ejection."""
        cond = self._conditions.get(upstream)
        if cond is None:
            return False
        ended = cond.until > 0
        del self._conditions[upstream]
        return ended

    def note_error(self, upstream, now):
        """Take in a failure; return the pause in seconds if it ejects, or None."""
        cond = self._conditions.setdefault(upstream, Condition())
        cond.errors += 1
        if cond.errors < _ERRORS_TO_EJECT and not cond.probing:
            return None
        if now < cond.until:
            return None
        pause = cond.pause * self._rng.uniform(0.75, 1.25)
        cond.until = now + pause
        cond.pause = min(cond.pause * 2, _MAX_PAUSE)
        cond.probing = False
        return pause

    def is_usable(self, upstream, now):
        """Return whether a request may go there now."""
        cond = self._conditions.get(upstream)
        if cond is None or cond.until == 0:
            return True
        return now >= cond.until and not cond.probing

    def is_ejected(self, upstream, now):
        """Return whether the upstream is within its pause."""
        cond = self._conditions.get(upstream)
        return cond is not None and now < cond.until

    def note_dispatch(self, upstream):
        """Note a request sent; the first one after a pause is the probe."""
        cond = self._conditions.get(upstream)
        if cond is not None and cond.until > 0:
            cond.probing = True

    def note_released(self, upstream):
        """Note a probe that ended without telling anything."""
        cond = self._conditions.get(upstream)
        if cond is not None:
            cond.probing = False
