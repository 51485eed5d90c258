"""Simulation of accounts that contend for engines, as discrete events on a fake clock.

The gateways use the real usage window, shares, loads, placement and admission. Engines
read prompts in order of arrival, and reports between gateways arrive with a delay.
"""

import heapq
import itertools
import random
from types import SimpleNamespace
from typing import NamedTuple

from valeweir_gateway.admission.latency_targets import RecentLatencyTargets
from valeweir_gateway.admission.policy import check_share, check_wait
from valeweir_gateway.admission.shares import Shares
from valeweir_gateway.admission.usage import UsageWindow
from valeweir_gateway.digests import get_digest
from valeweir_gateway.fleet.members import Member, Members
from valeweir_gateway.fleet.totals import Totals
from valeweir_gateway.operations.metrics import GatewayMetrics
from valeweir_gateway.placement.choice import choose_engine
from valeweir_gateway.placement.loads import Loads
from valeweir_gateway.placement.prompts import Part, Prompt
from valeweir_gateway.refusals import BUSY_RETRY_AFTER_S, Refusal
from valeweir_gateway.settings import Returns, Sharing
from valeweir_gateway.view.catalog import Account, Catalog, Engine, Limits, Service
from valeweir_gateway.view.directory import Directory, Instance
from valeweir_standins.fairness import Attempt

# Engines of current deployments: prompt rate, time to the first event without a prompt,
# and duration of the stream after it.
READ_TOKENS_PER_SECOND = 51_100.0
_BASE_LATENCY_S = 0.03
_STREAM_S = 0.3
_ENGINE = Engine(64, 600_000, 100_000.0, 1.25e9)
_TICK_INTERVAL_S = 0.02
_TOKENS_PER_SECOND = 145_000.0
# Number of shared prompt parts for each kind of request.
_SHARED_PART_COUNT = 24


class RequestKind(NamedTuple):
    """Prompt parts and output in tokens, times in seconds, and relative frequency."""

    shared: int
    own: int
    output: int
    latency_target: float
    deadline: float
    weight: float


KINDS = (
    RequestKind(13_300, 3_720, 120, 0.8, 12.0, 17.6),
    RequestKind(6_300, 2_890, 51, 0.8, 6.0, 7.5),
    RequestKind(350, 1_110, 171, 0.6, 15.0, 22.9),
)


class Demand(NamedTuple):
    """Load of an account's clients: new requests per second through ``gateways``.

    A refused request is retried up to ``max_retries`` times, after its Retry-After time
    or after ``retry_delay`` seconds if given. The load lasts from ``start`` to ``end``.
    """

    account: str
    rate: float
    gateways: tuple
    max_retries: int = 3
    retry_delay: float | None = None
    start: float = 0.0
    end: float = float("inf")


class Outcome(NamedTuple):
    """Last attempt of a request, at a time in seconds.

    ``first_event`` is in seconds after the first attempt, None if the last one was
    refused. A return was first refused at ``refused_at``.
    """

    kind: RequestKind
    at: float
    refused_at: float | None
    first_event: float | None
    seed: int = 0

    @property
    def is_return(self):
        return self.refused_at is not None


class Slowdown(NamedTuple):
    """Engines that read slower by ``factor`` from ``start`` to ``end``."""

    start: float
    end: float
    engines: tuple
    factor: float


class _Engine:
    def __init__(self):
        self.free_at = 0.0
        self.parts = set()
        self.busy = 0.0


class ContentionSimulation:
    """One simulation run.

    ``tries`` are the attempts and their results, ``outcomes`` the `Outcome` of each
    request that was served or given up.

    Parameters
    ----------
    demands : list of Demand
    report_delay : (float, float)
        Bounds in seconds of the delay of a report.
    outage : (float, float)
        Start and end of a time when no engine can be reached.
    """

    def __init__(
        self,
        demands,
        gateways=8,
        engines=5,
        slow=(),
        report_delay=(0.001, 0.02),
        outage=(0.0, 0.0),
        seed=1,
        kinds=KINDS,
        with_returns=False,
    ):
        self._rng = random.Random(seed)
        self._demands = demands
        self._slow = slow
        self._report_delay = report_delay
        self._outage = outage
        self._kinds = kinds
        self._cfg = SimpleNamespace(returns=Returns(with_returns))
        self._events = []
        self._sequence = itertools.count()
        self._engines = {f"e{n}": _Engine() for n in range(engines)}
        self._instances = [
            Instance(f"e{n}", "llm", f"127.0.0.1:{n}", "z", 64, True)
            for n in range(engines)
        ]
        self.catalog = Catalog(
            1,
            [],
            [Service("llm", 64, _ENGINE)],
            [Account(row.account, (), None) for row in demands],
            Limits(tokens_per_second=_TOKENS_PER_SECOND),
        )
        self._states = [self._make_state(n) for n in range(gateways)]
        self._reports = [{} for _ in range(gateways)]
        self.now = 0.0
        self.tries = []
        self.outcomes = []

    def run(self, seconds):
        """Run the simulation; return the tries."""
        for number in range(len(self._states)):
            self._schedule(self._rng.uniform(0, _TICK_INTERVAL_S), self._tick, number)
        for demand in self._demands:
            first = demand.start + self._rng.expovariate(demand.rate)
            self._schedule(first, self._start_request, demand)
        while self._events and self._events[0][0] < seconds:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        return self.tries

    def restart_gateways(self, when, numbers):
        """Let gateways lose their state at a time."""
        for number in numbers:
            self._schedule(when, self._restart, number)

    def get_utilisation(self, seconds):
        """Return the part of the time that engines spent on reading prompts."""
        busy = sum(engine.busy for engine in self._engines.values())
        return busy / (seconds * len(self._engines))

    def _schedule(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._sequence), action, args))

    def _make_state(self, number):
        usage = UsageWindow(Sharing().window)
        directory = Directory()
        for row in self._instances:
            directory.put(row)
        return SimpleNamespace(
            usage=usage,
            shares=Shares(usage, Sharing()),
            loads=Loads(),
            latency_targets=RecentLatencyTargets(),
            members=Members(Member(f"g{number}", "z", f"127.0.0.1:{number}")),
            directory=directory,
            rng=random.Random(number),
            cfg=self._cfg,
            metrics=GatewayMetrics(),
        )

    def _restart(self, number):
        self._states[number] = self._make_state(number)
        self._reports[number] = {}

    def _tick(self, number):
        state = self._states[number]
        remote = Totals()
        for totals in self._reports[number].values():
            remote.add(totals.loads, totals.usage, 1)
        state.shares.set_remote(remote.usage)
        by_id = {get_digest(row.id): row.id for row in self._instances}
        loads = {by_id[digest]: row for digest, row in remote.loads.items()}
        state.loads.set_remote(loads, self.now)
        own = Totals()
        rows = state.loads.get_report().items()
        own.add(
            {get_digest(name): row for name, row in rows},
            state.usage.get_token_usage(self.now),
            1,
        )
        for other in range(len(self._states)):
            if other != number:
                delay = self._rng.uniform(*self._report_delay)
                self._schedule(
                    self.now + delay, self._receive_report, other, number, own
                )
        self._schedule(self.now + _TICK_INTERVAL_S, self._tick, number)

    def _receive_report(self, number, sender, totals):
        self._reports[number][sender] = totals

    def _start_request(self, demand):
        if self.now >= demand.end:
            return
        kinds = self._kinds
        kind = self._rng.choices(kinds, [row.weight for row in kinds])[0]
        shared_part = self._rng.randrange(_SHARED_PART_COUNT)
        parts = (
            Part(f"{kind.shared}-{shared_part}", kind.shared),
            Part(f"own-{next(self._sequence)}", kind.own),
        )
        prompt = Prompt(kind.shared + kind.own, kind.output, parts)
        self._attempt(demand, kind, prompt, self.now + kind.deadline, 0)
        self._schedule(
            self.now + self._rng.expovariate(demand.rate), self._start_request, demand
        )

    def _attempt(self, demand, kind, prompt, deadline, retry_count, refused_at=None):
        number = self._rng.choice(demand.gateways)
        state = self._states[number]
        state.shares.count_asked_tokens(demand.account, prompt.cost, self.now)
        ctx = SimpleNamespace(
            route=SimpleNamespace(
                latency_target=kind.latency_target, timeout=kind.deadline
            ),
            catalog=self.catalog,
            service="llm",
            account=self.catalog.accounts[demand.account],
            prompt=prompt,
            allowed=deadline - self.now,
            deadline=deadline,
            spent=kind.deadline - (deadline - self.now),
        )
        choice = None
        refusal = check_share(state, ctx, self.now)
        if refusal is None:
            choice, refusal = self._place(state, ctx)
        if refusal is None:
            first = self._send(state, demand, kind, prompt, choice)
            first_event = self.now + first - (deadline - kind.deadline)
            self.outcomes.append(Outcome(kind, self.now, refused_at, first_event))
            return
        self.tries.append(Attempt(self.now, demand.account, prompt.cost, False, True))
        wait = demand.retry_delay or refusal.retry_after
        can_retry = wait is not None and self.now + wait < deadline
        if can_retry and retry_count < demand.max_retries:
            self._schedule(
                self.now + wait,
                self._attempt,
                demand,
                kind,
                prompt,
                deadline,
                retry_count + 1,
                self.now if refused_at is None else refused_at,
            )
            return
        self.outcomes.append(Outcome(kind, self.now, refused_at, None))

    def _place(self, state, ctx):
        """Return the choice and the refusal, which is None if the request passes."""
        start, end = self._outage
        if start <= self.now < end:
            return None, Refusal(503, "not-sent", retry_after=BUSY_RETRY_AFTER_S)
        usable = state.loads.pick_usable(self._instances, self.now)
        max_queue_wait = 0.15 * ctx.route.latency_target
        choice = choose_engine(
            ctx.prompt, usable, state.loads, self.now, _ENGINE, max_queue_wait
        )
        return choice, check_wait(state, ctx, choice, self.now)

    def _send(self, state, demand, kind, prompt, choice):
        engine = self._engines[choice.instance.id]
        state.shares.count_begun_tokens(demand.account, prompt.cost, self.now)
        work = state.loads.start(choice.instance.id, choice.tokens, self.now)
        for other_state in self._states:
            other_state.loads.record_parts(prompt.shared, choice.instance.id, self.now)
        unread = prompt.own
        if prompt.home not in engine.parts and choice.source is None:
            unread = prompt.tokens
        engine.parts.add(prompt.home)
        reading = (
            unread
            / READ_TOKENS_PER_SECOND
            * self._get_slowdown_factor(choice.instance.id)
        )
        start = max(self.now, engine.free_at)
        engine.free_at = start + reading
        engine.busy += reading
        first = engine.free_at + _BASE_LATENCY_S - self.now
        self._schedule(
            self.now + first, state.loads.record_progress, work, self.now + first
        )
        end = self.now + first + _STREAM_S
        self._schedule(end, state.loads.finish, work, end)
        is_late = first > kind.latency_target
        self.tries.append(Attempt(self.now, demand.account, prompt.cost, True, is_late))
        return first

    def _get_slowdown_factor(self, engine_id):
        for slowdown in self._slow:
            if (
                slowdown.start <= self.now < slowdown.end
                and engine_id in slowdown.engines
            ):
                return slowdown.factor
        return 1.0


def sum_tokens(tries, start, end):
    """Return {account: (asked, got)} in tokens of the tries between two times."""
    token_sums = {}
    for row in tries:
        if start <= row.at < end:
            asked, got = token_sums.get(row.account, (0, 0))
            token_sums[row.account] = (asked + row.cost, got + row.cost * row.begun)
    return token_sums
