"""Runs a scenario on a local fleet and computes its results."""

import threading
import time
from typing import NamedTuple

from urllib3.exceptions import HTTPError

from .loads import Load
from .measurements import compute_fairness_gap, compute_utilisation, count_breaches
from .rigs import Rig
from .scenarios import get_scenario

_SAMPLE_INTERVAL_S = 0.2
_WARM_UP_S = 3.0


class Setup(NamedTuple):
    """Parameters of an experiment."""

    scenario: str
    deployment: object
    sharing: str
    seconds: float
    seed: int
    overrides: dict
    token_time: float = 0.01


class Sampler:
    """Samples the engines' busy time and the number of open requests."""

    def __init__(self, rig, load, names):
        self._rig = rig
        self._load = load
        self._names = names
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._last_busy_s = {}
        self._total_busy_s = {}
        self.samples = []

    def start(self):
        """Start sampling in a thread."""
        self._thread.start()

    def stop(self):
        """Stop sampling and wait for the thread to end."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(_SAMPLE_INTERVAL_S):
            now = time.monotonic()
            for name in self._names:
                self._add_busy_time(name, now)
            busy = sum(self._total_busy_s.values())
            self.samples.append((now, busy, self._load.outstanding))

    def _add_busy_time(self, name, now):
        """Add the growth of an engine's busy time since the previous sample.

        An engine that is unreachable or was restarted adds nothing.
        """
        try:
            stats = self._rig.get_json(self._rig.upstreams[name].address, "/stats")
        except (HTTPError, ValueError):
            self._last_busy_s.pop(name, None)
            return
        # An engine reports its busy time up to its own clock reading ``at``;
        # extrapolate it to this sample's time.
        busy = stats["busy_time"] - stats["busy"] * (stats["at"] - now)
        increase = busy - self._last_busy_s.get(name, busy)
        self._total_busy_s[name] = self._total_busy_s.get(name, 0.0) + max(
            0.0, increase
        )
        self._last_busy_s[name] = busy


def run_experiment(setup, on_progress=lambda done: None):
    """Run a scenario and return its results as a dict that can be encoded as JSON."""
    scenario = get_scenario(setup.scenario)
    deployment = setup.deployment
    with Rig(
        deployment,
        setup.sharing,
        setup.overrides,
        setup.token_time,
        scenario.relays,
    ) as rig:
        workers = scenario.make_workers(rig, setup)
        router_addresses = [process.address for process in rig.routers.values()]
        load = Load(deployment.model, deployment.service, workers, router_addresses)
        engines = [u for u in deployment.upstreams if u.kind == "engine"]
        sampler = Sampler(rig, load, [u.name for u in engines])
        load.start()
        begin = load.started + _WARM_UP_S
        until = begin + setup.seconds
        _wait_until(begin, load.started, until, on_progress)
        before = _read_router_metrics(rig)
        sampler.start()
        disturbance = threading.Thread(
            target=scenario.disturb, args=(rig, begin, until, setup.seed), daemon=True
        )
        disturbance.start()
        _wait_until(until, load.started, until, on_progress)
        after = _read_router_metrics(rig)
        sampler.stop()
        disturbance.join(60.0)
        load.stop()
        result = _make_result(
            setup, rig, load, sampler.samples, (begin, until), (before, after)
        )
    return result


def _make_result(setup, rig, load, samples, window, control):
    begin, until = window
    deployment = setup.deployment
    slots = sum(u.slots for u in deployment.upstreams if u.kind == "engine")
    scenario = get_scenario(setup.scenario)
    weights = {
        a.name: a.weight for a in deployment.accounts if scenario.is_backlogged(a)
    }
    gap_begin = begin + scenario.measured_from_ratio * setup.seconds
    gap = compute_fairness_gap(load.results, weights, gap_begin, until)
    doubled, run_keys = _read_run_keys(rig, deployment)
    promises = count_breaches(load.results, doubled, run_keys)
    promises["starved"] = sum(1 for share in gap.shares.values() if share <= 0)
    before, after = control
    hosts = sorted(set(before) & set(after))
    span = setup.seconds * max(1, len(hosts))
    sent = _sum_increase(before, after, hosts, 'control_bytes_total{direction="out"}')
    received = _sum_increase(
        before, after, hosts, 'control_bytes_total{direction="in"}'
    )
    cpu = _sum_increase(before, after, hosts, "control_cpu_seconds_total")
    kinds = {
        kind: _sum_increase(
            before, after, hosts, f'control_messages_total{{kind="{kind}"}}'
        )
        for kind in ("Digest", "Ask", "Offer")
    }
    messages = sum(kinds.values())
    done = [e for e in load.results if begin <= e.ended < until and e.cost > 0]
    return {
        "fairness_gap_mean_requests": round(gap.largest, 2),
        "utilisation_while_waiting": round(
            compute_utilisation(samples, slots, begin, until), 4
        ),
        "control_bytes_per_second_per_router": round(sent / span, 1),
        "control_cpu_share": round(cpu / span, 5),
        "promises": promises,
        "fairness_gap_mean_over_time": round(gap.mean, 2),
        "control_bytes_received_per_second_per_router": round(received / span, 1),
        "control_messages_per_second_per_router": round(messages / span, 2),
        "messages_per_second_per_router_by_kind": {
            kind: round(count / span, 2) for kind, count in kinds.items()
        },
        "messages_per_request": round(messages / max(1, len(done)), 3),
        "requests_per_second": round(len(done) / setup.seconds, 1),
        "outcomes": _count_by_outcome(load.results),
        "latency": _compute_latency(load.results, begin, until),
        "service_per_share": {n: round(v, 1) for n, v in gap.shares.items()},
        "thirds": _compute_thirds(load.results, samples, slots, window),
        "findings": rig.findings,
        "cuts_expected": scenario.may_cut_responses,
        "scenario": setup.scenario,
        "deployment": deployment.name,
        "sharing": setup.sharing,
        "routers": len(rig.routers),
        "seconds": setup.seconds,
        "seed": setup.seed,
        "curve": _compute_service_curve(load.results, weights, load.started),
    }


def _wait_until(moment, started, until, on_progress):
    while True:
        left = moment - time.monotonic()
        on_progress((time.monotonic() - started) / (until - started))
        if left <= 0:
            return
        time.sleep(min(left, 0.5))


def _read_router_metrics(rig):
    metrics_by_host = {}
    for host, process in rig.routers.items():
        if process.popen.poll() is None:
            try:
                metrics_by_host[host] = rig.get_metrics(host)
            except HTTPError:
                # A suspended or recently killed router does not respond.
                continue
    return metrics_by_host


def _sum_increase(before, after, hosts, name):
    key = f"valeweir_{name}"
    deltas = (after[h].get(key, 0.0) - before[h].get(key, 0.0) for h in hosts)
    return sum(max(0.0, d) for d in deltas)


def _read_run_keys(rig, deployment):
    doubled = 0
    keys = set()
    run_counts = {}
    for upstream in deployment.upstreams:
        if upstream.kind != "service":
            continue
        runs = rig.get_json(rig.upstreams[upstream.name].address, "/runs")
        for key, count in runs.items():
            run_counts[key] = run_counts.get(key, 0) + count
    for key, count in run_counts.items():
        keys.add(key)
        doubled += count > 1
    return doubled, keys


def _count_by_outcome(results):
    counts = {}
    for row in results:
        name = f"{row.work_class}/{row.outcome}"
        counts[name] = counts.get(name, 0) + 1
    return dict(sorted(counts.items()))


def _compute_latency(results, begin, until):
    rows = {}
    for row in results:
        if row.outcome == "complete" and begin <= row.ended < until:
            rows.setdefault(row.work_class, []).append(row.ended - row.sent)
    result = {}
    for name, times in sorted(rows.items()):
        times.sort()
        result[name] = {
            "p50": round(times[len(times) // 2], 3),
            "p99": round(times[int(len(times) * 0.99)], 3),
        }
    return result


def _compute_thirds(results, samples, slots, window):
    """Return the rate and utilisation before, during and after a disturbance."""
    begin, until = window
    rows = []
    for number in range(3):
        start = begin + (until - begin) * number / 3
        stop = begin + (until - begin) * (number + 1) / 3
        done = sum(1 for e in results if e.cost > 0 and start <= e.ended < stop)
        rows.append(
            {
                "requests_per_second": round(done / (stop - start), 1),
                "utilisation": round(
                    compute_utilisation(samples, slots, start, stop), 3
                ),
            }
        )
    return rows


def _compute_service_curve(results, weights, started, step=1.0):
    """Return each account's cumulative service per weight, one value per second."""
    if not results:
        return {}
    last = max(e.ended for e in results) - started
    curve = {}
    for account, weight in weights.items():
        bins = [0.0] * (int(last / step) + 1)
        for row in results:
            if row.account == account:
                bins[int((row.ended - started) / step)] += row.cost / weight
        total = 0.0
        curve[account] = [round(total := total + b, 1) for b in bins]
    return curve
