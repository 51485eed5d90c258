"""What a router adds to a call: latency, rate, memory of waiting callers."""

import statistics
import threading
import time

import numpy as np
import urllib3

from .deployments import AccountPlace, Deployment, RouterPlace, UpstreamPlace
from .loads import Load, Mix, WorkClass, Worker, connect
from .procfs import get_cpu_seconds, get_memory_kb
from .rigs import Rig

_PAIRS = 400
_RATE_SECONDS = 5.0
_RATE_WORKERS = 16
_STREAM_WORKERS = 4
_STREAM_TOKENS = 400
_WAITING = 2000


def measure_path():
    """Return the figures of one router before one engine, as a dict."""
    with Rig(_make_deployment(slots=64), token_time=0.0) as rig:
        result = _measure_latency(rig)
        unary = _measure_rate(rig, Mix(WorkClass.CHAT, 2, 0.1))
        result["unary_per_second"] = unary["wall"]
        result["unary_per_cpu_second"] = unary["cpu"]
        stream = Mix(WorkClass.CHAT, _STREAM_TOKENS, 0.01, True)
        events = _measure_rate(rig, stream, _STREAM_WORKERS)
        result["events_per_second"] = round(events["wall"] * _STREAM_TOKENS)
        result["events_per_cpu_second"] = round(events["cpu"] * _STREAM_TOKENS)
    with Rig(_make_deployment(slots=1), token_time=30.0) as rig:
        result |= _measure_waiting(rig)
    return result


def _make_deployment(slots):
    return Deployment(
        "path",
        "p",
        [RouterPlace("path-1", "d")],
        [UpstreamPlace("llm-1", "llm", "engine", "d", slots)],
        [AccountPlace("a", 1.0, 1.0)],
    )


def _measure_latency(rig):
    """Time the same call directly and through the router, in turn."""
    load = Load("llm", "", [], [])
    mix = Mix(WorkClass.CHAT, 2, 0.1)
    times = {}
    conns = {}
    targets = {
        "direct": rig.upstreams["llm-1"].address,
        "routed": rig.routers["path-1"].address,
    }
    rng = np.random.default_rng(1)
    for number in range(_PAIRS):
        for name, address in targets.items():
            worker = Worker("a", address, mix, 1)
            call = load.prepare(worker, rng, number)
            end, conns[name] = load.send(
                worker, call, conns.get(name) or connect(address)
            )
            times.setdefault(name, []).append(end.ended - end.sent)
    result = {}
    for name, rows in times.items():
        rows.sort()
        result[f"{name}_p50_ms"] = round(statistics.median(rows) * 1000, 2)
        result[f"{name}_p99_ms"] = round(rows[int(len(rows) * 0.99)] * 1000, 2)
    return result


def _measure_rate(rig, mix, count=_RATE_WORKERS):
    process = rig.routers["path-1"]
    workers = [Worker("a", process.address, mix, n) for n in range(count)]
    load = Load("llm", "", workers, [process.address])
    before = get_cpu_seconds(process.popen.pid)
    load.start()
    time.sleep(_RATE_SECONDS)
    load.halt()
    load.stop()
    cpu = get_cpu_seconds(process.popen.pid) - before
    done = sum(1 for e in load.ends if e.cost > 0)
    span = time.monotonic() - load.started
    return {"wall": round(done / span), "cpu": round(done / max(cpu, 0.01))}


def _measure_waiting(rig):
    """Return KiB of the router's memory per caller that waits."""
    process = rig.routers["path-1"]
    before = get_memory_kb(process.popen.pid)
    pool = urllib3.HTTPConnectionPool(
        process.address.split(":")[0],
        int(process.address.split(":")[1]),
        maxsize=_WAITING,
        retries=False,
        timeout=60.0,
    )
    mix = Mix(WorkClass.BOOKING, 1, 0.1)
    load = Load("llm", "", [], [])
    rng = np.random.default_rng(1)

    def wait(number):
        call = load.prepare(Worker("a", "", mix, number), rng, number)
        try:
            pool.request("POST", call.path, body=call.body, headers=call.headers)
        except (OSError, urllib3.exceptions.HTTPError):
            return

    threads = [
        threading.Thread(target=wait, args=(n,), daemon=True) for n in range(_WAITING)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.001)
    deadline = time.monotonic() + 20.0
    waiting = 0.0
    while time.monotonic() < deadline and waiting < _WAITING * 0.95:
        time.sleep(0.5)
        samples = rig.get_metrics("path-1")
        waiting = samples.get('valeweir_waiting_requests{pool="llm"}', 0.0)
    return {
        "waiting_callers": int(waiting),
        "kb_per_waiting_caller": round(
            (get_memory_kb(process.popen.pid) - before) / max(1.0, waiting), 1
        ),
    }
