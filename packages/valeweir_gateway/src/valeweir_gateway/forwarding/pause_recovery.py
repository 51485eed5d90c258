"""Recovery from a pause of the process: requests wait until the view is fresh again.

After a pause, the view of upstreams, evacuations and the configuration is as old as the
pause was long, and requests buffered in the kernel meanwhile are read before any
changes.
"""

from ..view.store_read_policy import get_max_view_age

# If no change arrives within this time, the store is unavailable, and an old view is
# better than none.
_MAX_WAIT_S = 1.0
# For a gateway that reads the store itself. The kernel buffers only the first change;
# the others come with the next call, 0.2 s later, plus a slow response.
_READER_WINDOW_S = 0.5
_POLL_S = 0.02


def is_view_stale(state, now):
    """Return whether the view is too old because the process was paused.

    A view that is too old even without the pause, as in an outage of the store, does
    not count: a busy gateway has short pauses all the time, and requests would wait at
    each.
    """
    age = state.freshness.get_age(now)
    max_age = get_max_view_age(state.cfg)
    if age is None or age <= max_age:
        return False
    if state.members.is_mesh:
        # A gateway that reads the store receives changes at once, except in a pause.
        return state.pause_detector.get_recent_total(_READER_WINDOW_S) > max_age
    return age - state.pause_detector.get_recent_total(_MAX_WAIT_S) <= max_age


async def wait_for_view(state):
    """Wait until the view is no longer stale, for at most `_MAX_WAIT_S`."""
    started = state.clock()
    if not is_view_stale(state, started):
        return
    waited = 0.0
    while waited < _MAX_WAIT_S and is_view_stale(state, started + waited):
        await state.sleep(_POLL_S)
        waited = state.clock() - started
    state.metrics.view_wait_seconds.observe(waited)
