"""Faults that scenarios inject while the load runs.

Each function is a ``disturb(rig, begin, until, seed)``. Most of them act in the
middle third of the window, so that results before, during and after the fault can
be compared.
"""

import random
import signal
import threading
import time

_PAUSE_MARGIN_S = 3.0
_RESTART_INTERVAL_S = 0.5


def _sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def _get_third_start(begin, until, number):
    return begin + (until - begin) * number / 3


def _find_owner(rig):
    """Return the host that owns the most slots."""
    counts = {}
    host = next(iter(rig.routers))
    for row in rig.get_fleet(host)["upstreams"]:
        owner = row["owner"].partition("#")[0]
        if owner:
            counts[owner] = counts.get(owner, 0) + row["slots"]
    return max(sorted(counts), key=counts.get)


def kill_owner(rig, begin, until, seed):
    """Kill the router that owns the most slots, and restart it without state."""
    owner = _find_owner(rig)
    _sleep_until(_get_third_start(begin, until, 1))
    rig.routers[owner].send_signal(signal.SIGKILL)
    rig.routers[owner].popen.wait()
    _sleep_until(_get_third_start(begin, until, 2))
    rig.start_router(owner)


def pause_owner(rig, begin, until, seed):
    """Suspend the router that owns the most slots for longer than a lease."""
    owner = _find_owner(rig)
    _sleep_until(_get_third_start(begin, until, 1))
    rig.routers[owner].send_signal(signal.SIGSTOP)
    time.sleep(rig.lease_s + _PAUSE_MARGIN_S)
    rig.routers[owner].send_signal(signal.SIGCONT)


def _partition_domain(rig, begin, until, seed, one_way):
    domains = sorted({r.domain for r in rig.deployment.routers})
    domain = random.Random(seed).choice(domains)
    _sleep_until(_get_third_start(begin, until, 1))
    rig.partition.isolate(domain, domains, one_way)
    _sleep_until(_get_third_start(begin, until, 2))
    rig.partition.heal()


def cut_domain(rig, begin, until, seed):
    """Cut the links of a domain's routers to the other domains in both directions."""
    _partition_domain(rig, begin, until, seed, one_way=False)


def cut_one_way(rig, begin, until, seed):
    """Cut the links from a domain's routers to the other domains, but not back."""
    _partition_domain(rig, begin, until, seed, one_way=True)


def restart_rolling(rig, begin, until, seed):
    """Stop each router with SIGTERM and restart it, one after the other."""
    _sleep_until(begin + 1.0)
    for host in list(rig.routers):
        rig.routers[host].send_signal(signal.SIGTERM)
        rig.record_exit_code(host, rig.routers[host].popen.wait())
        rig.start_router(host)
        rig.wait_ready([host])
        time.sleep(_RESTART_INTERVAL_S)


def restart_all(rig, begin, until, seed):
    """Kill all routers at once and restart them without state."""
    _sleep_until(_get_third_start(begin, until, 1))
    for process in rig.routers.values():
        process.send_signal(signal.SIGKILL)
    for host in list(rig.routers):
        rig.routers[host].popen.wait()
        rig.start_router(host)


def stop_platform(rig, begin, until, seed):
    """Make the log and the membership list unavailable for the whole window."""
    for process in (rig.log, rig.membership):
        rig.set_faults(process, outage=True)
    _sleep_until(until)
    for process in (rig.log, rig.membership):
        rig.set_faults(process)


def lose_appends(rig, begin, until, seed):
    """Change weights through the API while the log drops responses."""
    rng = random.Random(seed)
    hosts = list(rig.routers)
    while time.monotonic() < until - 2.0:
        rig.set_faults(rig.log, lose_answer=1)
        rig.change_weight(rng.choice(hosts), rng.choice(rig.deployment.accounts))
        time.sleep(0.5)


def drain_upstream(rig, begin, until, seed):
    """Mark an engine as leaving and count the requests it starts after 3 s."""
    engine = next(u for u in rig.deployment.upstreams if u.kind == "engine")
    _sleep_until(_get_third_start(begin, until, 1))
    rig.set_upstream_state(engine.name, "leaving")
    time.sleep(3.0)
    address = rig.upstreams[engine.name].address
    before = rig.get_json(address, "/stats")
    _sleep_until(until)
    after = rig.get_json(address, "/stats")
    started = after["done"] + after["busy"] - before["done"] - before["busy"]
    rig.findings["started_after_leaving"] = started


def flap_upstream(rig, begin, until, seed):
    """Kill and restart an engine several times."""
    engine = next(u for u in rig.deployment.upstreams if u.kind == "engine")
    _sleep_until(begin + 1.0)
    while time.monotonic() < until - 4.0:
        rig.upstreams[engine.name].send_signal(signal.SIGKILL)
        rig.upstreams[engine.name].popen.wait()
        time.sleep(1.0)
        rig.start_upstream(engine.name)
        time.sleep(2.0)


SINGLE_DISTURBANCES = (kill_owner, pause_owner, cut_domain, cut_one_way, stop_platform)


def combine_two_disturbances(rig, begin, until, seed):
    """Inject two simultaneous faults, chosen by the seed."""
    chosen = random.Random(seed).sample(SINGLE_DISTURBANCES, 2)
    rig.findings["faults"] = [f.__name__ for f in chosen]
    threads = [
        threading.Thread(target=f, args=(rig, begin, until, seed)) for f in chosen
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
