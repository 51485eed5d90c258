"""Measures a router's overhead: latency, request rate and memory of waiting callers."""

import statistics
import threading
import time

import numpy as np
import urllib3

from .deployments import AccountSpec, Deployment, RouterSpec, UpstreamSpec
from .loads import Load, RequestMix, WorkClass, Worker, connect
from .procfs import get_cpu_seconds, get_memory_kb
from .rigs import Rig

_PAIR_COUNT = 400
_RATE_DURATION_S = 5.0
_RATE_WORKER_COUNT = 16
_STREAM_WORKER_COUNT = 4
_STREAM_TOKENS = 400
_WAITING_CALLER_COUNT = 2000


def measure_path():
    """Return the overhead of one router in front of one engine, as a dict."""
    with Rig(_make_deployment(slots=64), token_time=0.0) as rig:
        result = _measure_latency(rig)
        unary = _measure_rate(rig, RequestMix(WorkClass.CHAT, 2, 0.1))
        result["unary_per_second"] = unary["wall"]
        result["unary_per_cpu_second"] = unary["cpu"]
        stream = RequestMix(WorkClass.CHAT, _STREAM_TOKENS, 0.01, True)
        events = _measure_rate(rig, stream, _STREAM_WORKER_COUNT)
        result["events_per_second"] = round(events["wall"] * _STREAM_TOKENS)
        result["events_per_cpu_second"] = round(events["cpu"] * _STREAM_TOKENS)
    with Rig(_make_deployment(slots=1), token_time=30.0) as rig:
        result |= _measure_waiting(rig)
    return result


def _make_deployment(slots):
    return Deployment(
        "path",
        "p",
        [RouterSpec("path-1", "d")],
        [UpstreamSpec("llm-1", "llm", "engine", "d", slots)],
        [AccountSpec("a", 1.0, 1.0)],
    )


def _measure_latency(rig):
    """Measure latency by turns directly and through the router."""
    load = Load("llm", "", [], [])
    mix = RequestMix(WorkClass.CHAT, 2, 0.1)
    times = {}
    conns = {}
    targets = {
        "direct": rig.upstreams["llm-1"].address,
        "routed": rig.routers["path-1"].address,
    }
    rng = np.random.default_rng(1)
    for number in range(_PAIR_COUNT):
        for name, address in targets.items():
            worker = Worker("a", address, mix, 1)
            req = load.prepare_request(worker, rng, number)
            row, conns[name] = load.send(
                worker, req, conns.get(name) or connect(address)
            )
            times.setdefault(name, []).append(row.ended - row.sent)
    result = {}
    for name, rows in times.items():
        rows.sort()
        result[f"{name}_p50_ms"] = round(statistics.median(rows) * 1000, 2)
        result[f"{name}_p99_ms"] = round(rows[int(len(rows) * 0.99)] * 1000, 2)
    return result


def _measure_rate(rig, mix, count=_RATE_WORKER_COUNT):
    process = rig.routers["path-1"]
    workers = [Worker("a", process.address, mix, n) for n in range(count)]
    load = Load("llm", "", workers, [process.address])
    before = get_cpu_seconds(process.popen.pid)
    load.start()
    time.sleep(_RATE_DURATION_S)
    load.request_stop()
    load.stop()
    cpu = get_cpu_seconds(process.popen.pid) - before
    done = sum(1 for e in load.results if e.cost > 0)
    span = time.monotonic() - load.started
    return {"wall": round(done / span), "cpu": round(done / max(cpu, 0.01))}


def _measure_waiting(rig):
    """Return the number of waiting callers and the router's KiB for each."""
    process = rig.routers["path-1"]
    before = get_memory_kb(process.popen.pid)
    pool = urllib3.HTTPConnectionPool(
        process.address.split(":")[0],
        int(process.address.split(":")[1]),
        maxsize=_WAITING_CALLER_COUNT,
        retries=False,
        timeout=60.0,
    )
    mix = RequestMix(WorkClass.BOOKING, 1, 0.1)
    load = Load("llm", "", [], [])
    rng = np.random.default_rng(1)

    def wait(number):
        req = load.prepare_request(Worker("a", "", mix, number), rng, number)
        try:
            pool.request("POST", req.path, body=req.body, headers=req.headers)
        except (OSError, urllib3.exceptions.HTTPError):
            return

    threads = [
        threading.Thread(target=wait, args=(n,), daemon=True)
        for n in range(_WAITING_CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.001)
    deadline = time.monotonic() + 20.0
    waiting = 0.0
    while time.monotonic() < deadline and waiting < _WAITING_CALLER_COUNT * 0.95:
        time.sleep(0.5)
        samples = rig.get_metrics("path-1")
        waiting = samples.get('valeweir_waiting_requests{pool="llm"}', 0.0)
    return {
        "waiting_callers": int(waiting),
        "kb_per_waiting_caller": round(
            (get_memory_kb(process.popen.pid) - before) / max(1.0, waiting), 1
        ),
    }
