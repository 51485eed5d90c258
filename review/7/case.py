"""Idle client connections keep the bodies of their last requests in memory.

Two gateways have 46 clients each. A client keeps its connection and sends a long
request now and then. With the disruption, one gateway is killed for 2 s and its clients
go on at the other one. The platform ends a process over its memory limit, and what runs
there is lost.
"""

import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import standins as s  # noqa: E402

GATEWAY_COUNT = 2
CLIENTS_PER_GATEWAY = 46
KILLED_COUNT = 1
BODY_BYTES = 4_000_000
MEMORY_MB = 300
# The larger meaning of a megabyte.
LIMIT_BYTES = MEMORY_MB << 20
# A client rests on its kept connection for four fifths of the idle time-out at most.
IDLE_TIMEOUT_S = 15.0
REST_S = (3.0, 5.0)
WORK_S = 4.0
KILL_AT_S = 14.0
# How long the killed gateway is down.
DOWN_S = 2.0
END_AT_S = 27.0
CHECK_S = 0.05
MAX_LOST_COUNT = 3


def play(record, folder, gateways):
    """Return whether no gateway lost more than three requests by ending itself."""
    store = s.Store()
    running = {}
    lock = threading.Lock()

    def serve(server, sock, request):
        record.note(server.name, f"runs {request.id}")
        with lock:
            running[request.id] = server.name
        time.sleep(WORK_S)
        sock.sendall(s.make_answer(200, request.id, b"ok"))
        return True

    for number in range(3):
        s.Server(store, record, f"i-{number}", "orders", serve)
    routes = [s.make_route("book", "unsafe", "orders")]
    limits = {"maxBodyBytes": 4 << 20, "idleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)}
    services = [{"name": "orders", "maxConns": 110}]
    store.put("keyed.op", "config", s.make_config(routes, services, **limits))
    ports = s.pick_ports(GATEWAY_COUNT)
    for number in range(GATEWAY_COUNT):
        gateway = s.Gateway(
            folder,
            store,
            number,
            memory_mb=MEMORY_MB,
            ip=s.make_ip(number),
            ports=ports,
        )
        gateways.append(gateway)
        gateway.start()
    if not all(gateway.wait_ready() for gateway in gateways):
        return None

    started = time.monotonic()
    stopped = threading.Event()
    # Gateways that the script killed as its disruption.
    killed = set()
    # Gateways that went over their limit, with the largest size seen of each.
    ended = set()
    peaks = dict.fromkeys(range(GATEWAY_COUNT), 0)
    lost = []

    def watch():
        while not stopped.wait(CHECK_S):
            for number, gateway in enumerate(gateways):
                if number in killed or number in ended:
                    continue
                size = gateway.resident_bytes()
                peaks[number] = max(peaks[number], size)
                if size > LIMIT_BYTES:
                    ended.add(number)
                    gateway.stop()
                    text = f"ends front-{number}: {size / 1e6:.0f} MB"
                    record.note("platform", f"{text}, limit {MEMORY_MB} MB")

    def call(name, number):
        rng = random.Random(name)
        client = None
        count = 0
        sent_here = 0
        if stopped.wait(rng.uniform(0.0, REST_S[1])):
            return
        while not stopped.is_set():
            if number in killed | ended:
                live = set(range(GATEWAY_COUNT)) - killed - ended
                if not live:
                    return
                number = rng.choice(sorted(live))
            count += 1
            request_id = f"c{name}-{count}"
            answer = None
            try:
                if client is None:
                    client = s.Client(gateways[number].clients)
                    sent_here = 0
                client.send("POST", "book", request_id, b"b" * BODY_BYTES)
                sent_here += 1
                answer = client.read()
            except OSError as exc:
                record.note("client", f"{request_id} at front-{number}: {exc}")
            if answer is not None:
                text = f"{answer.status}, connection: {answer.end}"
                record.note("client", f"{request_id} at front-{number}: {text}")
            if answer is None or answer.end != "whole":
                was_run = request_id in running
                if number not in killed and was_run and sent_here > 1:
                    # On a kept connection, passed on to a sound server.
                    lost.append(request_id)
                if client is not None:
                    client.close()
                    client = None
                # The platform's entry stops sending clients to a machine that ended.
                stopped.wait(0.1)
                continue
            if answer.headers.get("connection") == "close":
                client.close()
                client = None
            stopped.wait(rng.uniform(*REST_S))

    threading.Thread(target=watch, daemon=True).start()
    threads = [
        threading.Thread(target=call, args=(name, name % GATEWAY_COUNT), daemon=True)
        for name in range(GATEWAY_COUNT * CLIENTS_PER_GATEWAY)
    ]
    for thread in threads:
        thread.start()
    time.sleep(KILL_AT_S)
    if s.is_trouble_on():
        for number in range(KILLED_COUNT):
            killed.add(number)
            gateways[number].stop()
            record.note("case", f"kills front-{number}")
        time.sleep(DOWN_S)
        for number in range(KILLED_COUNT):
            gateways[number].start()
            gateways[number].wait_ready()
            record.note("platform", f"has started front-{number} again")
            killed.discard(number)
    time.sleep(max(0.0, started + END_AT_S - time.monotonic()))
    stopped.set()
    time.sleep(0.2)
    sizes = ", ".join(f"{size / 1e6:.0f}" for size in peaks.values())
    record.note("case", f"largest sizes in MB: {sizes}")
    text = f"{len(ended)} gateways over their limit, {len(lost)} requests lost"
    record.note("case", text)
    return not ended or len(lost) <= MAX_LOST_COUNT


if __name__ == "__main__":
    s.run_case(FOLDER, play)
