"""Spreading of prompts whose shared parts few engines hold yet.

After a start or an outage, the shared parts of every request have to be read. While
engines are idle, a second copy of a part costs no other request anything, and spreading
serves the most requests. Once engines are backlogged, each further copy takes time from
other requests, and more requests are served if all gateways send a part to one engine
only.
"""

import math
from typing import NamedTuple

# Mean backlog of the engines relative to the latency target. The home discount grows
# to its full value at the first ratio. From the second ratio on, the wait is not
# limited: a request waits for its home engine or is refused.
_FULL_COST_RATIO = 0.25
_BACKLOGGED_RATIO = 0.45
# Wait for the first event, relative to the latency target, up to which an engine is
# preferred below that backlog.
_MAX_WAIT_RATIO = 0.65


class Spread(NamedTuple):
    """Parameters of how far prompts are spread over engines.

    ``home_discount`` is the ratio, from 0 to 1, of the cost of reading parts that no
    engine holds which is not charged to the first engine in rendezvous order. Engines
    with a wait of more than ``max_wait`` seconds are chosen only if all engines exceed
    it.
    """

    home_discount: float = 0.0
    max_wait: float = math.inf


def choose_spread(backlog, latency_target):
    """Return the `Spread` for a mean backlog and a latency target, both in seconds."""
    if backlog >= _BACKLOGGED_RATIO * latency_target:
        return Spread(home_discount=1.0)
    discount = min(1.0, backlog / (_FULL_COST_RATIO * latency_target))
    return Spread(discount, _MAX_WAIT_RATIO * latency_target)
