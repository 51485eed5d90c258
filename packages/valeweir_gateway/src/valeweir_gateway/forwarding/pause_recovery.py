"""After a pause of the process, requests wait until the view may be current again.

What it knows of upstreams, evacuations and the configuration is as old as its
standstill, and the requests that waited in the kernel meanwhile are read before any
news.
"""

from ..view.store_readers import get_longest_age

# All in seconds.
# Where nothing is heard meanwhile the store is away, and an old view is better than
# none.
_MAX_WAIT = 1.0
# For a gateway that reads the store itself. What lies unread in the kernel is the first
# change only; the others come with its next call, 0.2 s later, and a slow answer.
_READING_WAIT = 0.5
_CHECK = 0.02


def is_behind(state, now):
    """Return whether the view is too old because the process was paused.

    One that is too old without that, as the store is away, is not waited for: a crowded
    gateway stands still for moments all the time.
    """
    age = state.freshness.get_age(now)
    longest = get_longest_age(state.cfg)
    if age is None or age <= longest:
        return False
    if state.members.is_mesh:
        # Who reads the store is told of changes at once, but while it stands still.
        return state.stalls.get_lately(_READING_WAIT) > longest
    return age - state.stalls.get_lately(_MAX_WAIT) <= longest


async def wait_for_view(state):
    """Return once the view may be believed, or after a second at most."""
    started = state.clock()
    if not is_behind(state, started):
        return
    waited = 0.0
    while waited < _MAX_WAIT and is_behind(state, started + waited):
        await state.pause(_CHECK)
        waited = state.clock() - started
    state.metrics.view_waits.observe(waited)
