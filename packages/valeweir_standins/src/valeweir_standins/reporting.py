"""Measures a gateway's cost of exchanging reports by the size of the fleet."""

import random
import time
from typing import NamedTuple

from valeweir_gateway.view.directory import Instance

from .wires import TICK_S, Wire

_WARM_UP_S = 2.0
_REQUEST_TOKENS = 3_700


class ReportCosts(NamedTuple):
    """The costs of one gateway; bytes and processor milliseconds are per second.

    The bytes are those of sent datagrams; the processor time includes receiving.
    """

    gateways: int
    relays: int
    bytes_mean: float
    bytes_relay: float
    links_most: int
    processor_mean_ms: float


def measure_reports(gateways, domains, engines, accounts, seconds=2.0, seed=1):
    """Return the `ReportCosts` of a fleet in which every gateway has new loads.

    Parameters
    ----------
    engines, accounts : int
        Number in the whole fleet; each gateway uses eight of both at a time.
    """
    rng = random.Random(seed)
    wire = Wire(domains, gateways)
    wire.add_all_members()
    names = [f"engine-{number}" for number in range(engines)]
    for state in wire.states.values():
        for name in names:
            state.directory.put(Instance(name, "llm", f"{name}:1", "d0", 16, True))
    wire.run(_WARM_UP_S)
    for fleet in wire.fleets.values():
        fleet.sent_bytes = 0
    started = time.process_time()
    for _ in range(round(seconds / TICK_S)):
        _generate_load(wire, rng, names, accounts)
        wire.run(TICK_S)
    cpu_s = time.process_time() - started
    return _compute_costs(wire, seconds, cpu_s)


def _generate_load(wire, rng, names, accounts):
    for state in wire.states.values():
        work = state.loads.start(rng.choice(names), _REQUEST_TOKENS, wire.now)
        state.loads.record_progress(work, wire.now + rng.uniform(0.0, TICK_S))
        state.shares.count_asked_tokens(
            f"account-{rng.randrange(accounts)}", 10, wire.now
        )


def _compute_costs(wire, seconds, cpu_s):
    fleets = list(wire.fleets.values())
    relays = [fleet for fleet in fleets if fleet.plan.is_relay]
    rates = [fleet.sent_bytes / seconds for fleet in fleets]
    return ReportCosts(
        len(fleets),
        len(relays),
        sum(rates) / len(rates),
        max(fleet.sent_bytes / seconds for fleet in relays),
        max(fleet.count_links() for fleet in fleets),
        1000.0 * cpu_s / seconds / len(fleets),
    )
