"""Measures the control cost of one router by the size of the fleet.

One real router state is configured with the given numbers of peers, accounts,
pools and upstreams; its links only encode and count messages. The other routers
are simulated by generated digests, which are decoded and handled as if they had
been received. No process is started, so a fleet of any size is measured within a
few seconds.
"""

import random
import resource
import time
from typing import NamedTuple

from valeweir.resources import Change
from valeweir.settings import prepare_settings
from valeweir_fleet.messages import (
    Ask,
    Digest,
    Identity,
    PoolReport,
    decode_message,
    encode_message,
)
from valeweir_router import control_plane
from valeweir_router.router_state import RouterState
from valeweir_sharing.leases import Claim

_ROUND_COUNT = 20
_INSTANCE_ID = "a"


class Size(NamedTuple):
    """The size of a fleet from the view of one router.

    ``peers`` is the number of routers it exchanges digests with, ``reported`` the
    number of accounts in each peer's digest, and ``upstreams`` the number of
    upstreams in its failure domain.
    """

    peers: int
    domains: int
    accounts: int
    backlogged: int
    pools: int
    upstreams: int
    reported: int


class CountingLinks:
    """Links that encode and count messages without sending them."""

    def __init__(self):
        self.address = "127.0.0.1:1"
        self.sent_bytes = 0
        self.messages = 0

    def send(self, address, message):
        """Encode and count a message."""
        self.sent_bytes += len(encode_message(message))
        self.messages += 1

    def reset(self):
        """Reset the counts."""
        self.sent_bytes = self.messages = 0


class Clock:
    """A clock that the measurement advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


def measure(size, seed=1):
    """Return the control cost of one router at a `Size`, as a dict."""
    rng = random.Random(seed)
    clock = Clock()
    state = _make_state(size, clock, rng)
    before = _get_memory()
    streams = _make_streams(state, size, rng)
    _run_rounds(state, streams, clock, 1)
    links = state.links
    _run_rounds(state, streams, clock, 2)
    links.reset()
    cpu = _run_rounds(state, streams, clock, _ROUND_COUNT)
    received = sum(len(data) for stream in streams for data in stream)
    rounds_in_stream = len(streams[0])
    return {
        **size._asdict(),
        "sent_bytes_per_interval": round(links.sent_bytes / _ROUND_COUNT),
        "received_bytes_per_interval": round(received / rounds_in_stream),
        "messages_sent_per_interval": round(links.messages / _ROUND_COUNT, 1),
        "tick_cpu_ms": round(cpu["tick"] * 1000 / _ROUND_COUNT, 3),
        "handle_cpu_ms_per_digest": round(
            cpu["handle"] * 1000 / _ROUND_COUNT / max(1, size.peers), 4
        ),
        "ask_cpu_ms": round(_measure_ask_cpu(state, size, clock) * 1000, 4),
        "state_mb": round((_get_memory() - before) / 1024, 1),
        "process_mb": round(_get_memory() / 1024, 1),
    }


def _make_state(size, clock, rng):
    cfg = prepare_settings(
        {
            "host": "r0",
            "domain": "d0",
            "callers": {"address": "127.0.0.1:0"},
            "admin": {"address": "127.0.0.1:0"},
            "fleet": {"address": "127.0.0.1:0", "interval": 0.5, "lease": 30.0},
            "platform": {"log": "http://x", "membership": "http://x"},
        },
        {},
    )
    state = RouterState(cfg, f"r0#{_INSTANCE_ID}", clock, seed=1)
    state.links = CountingLinks()
    state.history_known = state.keys.complete = state.config_known = True
    offset = 0
    for number in range(size.accounts):
        spec = {"partner": "p", "key_hashes": [f"{number:064x}"]}
        offset = _apply_change(
            state, offset, "client-accounts", f"account-{number}", spec
        )
    for number in range(size.upstreams):
        spec = {"partner": "p", "pool": f"model-{number % size.pools}"}
        spec |= {"kind": "engine", "domain": "d0", "slots": 46}
        spec |= {"address": "127.0.0.1:9"}
        offset = _apply_change(state, offset, "upstreams", f"upstream-{number}", spec)
    control_plane.apply_configuration(state)
    state.seq = 0
    return state


def _apply_change(state, offset, kind, name, spec):
    change = Change(id=f"{kind}/{name}", kind=kind, name=name, base=0, spec=spec)
    state.configuration.apply_change(offset, change)
    return offset + 1


def _make_streams(state, size, rng):
    """Return the encoded digests of each peer, one for each interval."""
    numbers = list(state.account_names)
    streams = []
    for peer in range(1, size.peers + 1):
        served = {}
        stream = []
        reported_accounts = rng.sample(numbers, min(size.reported, len(numbers)))
        for seq in range(1, _ROUND_COUNT + 5):
            pools = {}
            for account in reported_accounts:
                pool = f"model-{account % size.pools}"
                served[account] = served.get(account, 0) + rng.randint(50, 5000)
                waiting = rng.randint(0, 5) if account < size.backlogged else 0
                pools.setdefault(pool, {})[account] = (
                    served[account],
                    rng.randint(0, 500),
                    rng.randint(0, 5),
                    waiting,
                )
            digest = Digest(
                source=f"r{peer}#{_INSTANCE_ID}",
                seq=seq,
                sent_at=1000.0 + seq,
                echo=1000.0 + seq,
                leaving=False,
                config_offset=state.configuration.offset,
                identity=Identity("d0", f"10.0.0.{peer}:1") if seq == 1 else None,
                whole=seq == 1,
                pools=[PoolReport(p, 100, rows) for p, rows in pools.items()],
                claims=[],
                grants=[],
            )
            stream.append(encode_message(digest))
        streams.append(stream)
    state.stream_position = 0
    return streams


def _run_rounds(state, streams, clock, rounds):
    """Handle digests and run ticks; return the processor seconds of each."""
    cpu = {"tick": 0.0, "handle": 0.0}
    for _ in range(rounds):
        clock.now += 1.0
        position = state.stream_position
        state.stream_position += 1
        started = time.process_time()
        for stream in streams:
            if position < len(stream):
                message, _ = decode_message(stream[position])
                control_plane.handle(state, message)
        handled_at = time.process_time()
        _charge_requests(state)
        tick_started = time.process_time()
        control_plane.tick(state)
        cpu["handle"] += handled_at - started
        cpu["tick"] += time.process_time() - tick_started
    return cpu


def _charge_requests(state):
    """Charge the ledger for requests, as a router of the planned size does in 1 s."""
    keys = list(state.ledger.sources.values())[:1]
    rows = list(keys[0].reports)[:40] if keys else []
    for key in rows:
        state.ledger.charge(key, 240.0)
        state.ledger.settle(key, 240.0, 250.0)


def _measure_ask_cpu(state, size, clock):
    """Return the processor seconds to handle a slot's return and grant it again."""
    if not state.tables or size.peers < 1:
        return 0.0
    count = 200
    names = sorted(state.tables)
    started = time.process_time()
    for number in range(count):
        name = names[number % len(names)]
        table = state.tables[name]
        ask = Ask(
            source=f"r1#{_INSTANCE_ID}",
            seq=100_000 + number,
            sent_at=clock.now,
            pool=state.upstreams[name].pool,
            waiting={1: 3, 2: 4},
            claims=[Claim(name, table.epoch, 1, number, 1, 0)],
        )
        message, _ = decode_message(encode_message(ask))
        control_plane.handle(state, message)
    return (time.process_time() - started) / count


def _get_memory():
    """Return the peak resident size in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
