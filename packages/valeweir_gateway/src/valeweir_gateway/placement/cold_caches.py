"""Where prompts go whose shared parts few engines hold yet.

After a start or an outage every request has to have its shared parts read. While
engines have time, a second copy of a part costs nobody anything, and spreading serves
most. Once they are backlogged, each copy takes the time of other requests, and all
gateways do better by sending a part to one engine only.
"""

import math
from typing import NamedTuple

# Shares of the latency target that the mean backlog of the engines takes: where copies
# count in full, and from where on a request waits for its home or is refused.
_FULL_COST_RATIO = 0.25
_BACKLOGGED_RATIO = 0.45
# Share of the target within which a first event is worth a copy.
_MAX_WAIT_RATIO = 0.65


class Spread(NamedTuple):
    """How far prompts are spread over engines.

    ``home_discount`` is the part, from 0 to 1, of the price of reading what no engine
    holds that the first engine in the order is spared. Engines with a wait beyond
    ``max_wait`` seconds are chosen only where all are.
    """

    home_discount: float = 0.0
    max_wait: float = math.inf


def choose_spread(backlog, latency_target):
    """Return the `Spread` for the engines' mean backlog and a latency target, in s."""
    if backlog >= _BACKLOGGED_RATIO * latency_target:
        return Spread(home_discount=1.0)
    discount = min(1.0, backlog / (_FULL_COST_RATIO * latency_target))
    return Spread(discount, _MAX_WAIT_RATIO * latency_target)
