"""After a pause of the process, requests wait until the view may be current again.

What it knows of upstreams, evacuations and the configuration is as old as its
standstill, and the requests that waited in the kernel meanwhile are read before any
news.
"""

from ..view.store_readers import get_longest_age

# All in seconds.
# Where nothing is heard meanwhile the store is away, and an old view is better than
# none.
_MAX_WAIT_S = 1.0
# For a gateway that reads the store itself. What lies unread in the kernel is the first
# change only; the others come with its next call, 0.2 s later, and a slow answer.
_READER_WINDOW_S = 0.5
_POLL_S = 0.02


def is_view_stale(state, now):
    """Return whether the view is too old because the process was paused.

    One that is too old without that, as the store is away, is not waited for: a crowded
    gateway stands still for moments all the time.
    """
    age = state.freshness.get_age(now)
    max_age = get_longest_age(state.cfg)
    if age is None or age <= max_age:
        return False
    if state.members.is_mesh:
        # Who reads the store is told of changes at once, but while it stands still.
        return state.stalls.get_lately(_READER_WINDOW_S) > max_age
    return age - state.stalls.get_lately(_MAX_WAIT_S) <= max_age


async def wait_for_view(state):
    """Return once the view may be believed, or after a second at most."""
    started = state.clock()
    if not is_view_stale(state, started):
        return
    waited = 0.0
    while waited < _MAX_WAIT_S and is_view_stale(state, started + waited):
        await state.pause(_POLL_S)
        waited = state.clock() - started
    state.metrics.view_waits.observe(waited)
