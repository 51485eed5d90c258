"""Stand-ins for the platform: the append-only log and the membership list."""

import threading
import time

import msgspec
from valeweir.servers import create_server

from .faults import FaultSwitch


def create_log(address, keep=100_000, seed=0):
    """Return a server that behaves as the log service.

    ``POST /append`` returns ``{"offset": N}``. ``GET /records?from=N`` returns
    ``[first, next, [[offset, body], ...]]``. ``POST /expire`` with
    ``{"before": N}`` deletes older records.
    """
    records = []
    lock = threading.Lock()
    switch = FaultSwitch(seed)
    counts = {"appends": 0, "reads": 0}
    first_offset = [0]

    def handle(request, reply):
        if request.path == "/faults":
            switch.serve(request, reply)
            return
        if request.path == "/stats":
            reply.send_json(200, {**counts, "next": first_offset[0] + len(records)})
            return
        if request.path == "/expire":
            with lock:
                _expire(msgspec.json.decode(request.body)["before"])
            reply.send_json(200, {"first": first_offset[0]})
            return
        time.sleep(switch.faults.late)
        if switch.faults.outage:
            reply.send_json(503, {"error": "the log is not available"})
        elif request.path == "/append" and request.method == "POST":
            _append(request, reply)
        elif request.path == "/records":
            _read(request, reply)
        else:
            reply.send_json(
                404,
                {"error": "unknown path or method; use POST /append or GET /records"},
            )

    def _append(request, reply):
        body = msgspec.json.decode(request.body)
        with lock:
            counts["appends"] += 1
            records.append(body)
            offset = first_offset[0] + len(records) - 1
            _expire(first_offset[0] + len(records) - keep)
        if switch.faults.lose_answer > 0:
            switch.faults.lose_answer -= 1
            reply.drop()
            return
        reply.send_json(200, {"offset": offset})

    def _read(request, reply):
        start = int(request.query.get("from", "0"))
        with lock:
            counts["reads"] += 1
            begin = max(start - first_offset[0], 0)
            rows = [
                (first_offset[0] + begin + n, body)
                for n, body in enumerate(records[begin : begin + 500])
            ]
            end = first_offset[0] + len(records)
            oldest = first_offset[0]
        reply.send_json(200, (oldest, end, rows))

    def _expire(before):
        count = max(0, before - first_offset[0])
        del records[:count]
        first_offset[0] += count

    return create_server(address, handle, threads=64)


def create_membership(address, hosts, seed=0):
    """Return a server that behaves as the membership list.

    ``GET /hosts`` returns rows ``[host, domain, role, address, state]``. ``PUT
    /hosts`` replaces them; the new rows are visible after ``lag`` seconds.
    """
    switch = FaultSwitch(seed)
    membership_versions = [(0.0, list(hosts))]

    def handle(request, reply):
        if request.path == "/faults":
            switch.serve(request, reply)
            return
        if request.method == "PUT":
            membership_versions.append(
                (time.monotonic(), msgspec.json.decode(request.body))
            )
            reply.send_json(200, membership_versions[-1][1])
            return
        time.sleep(switch.faults.late)
        if switch.faults.outage:
            reply.send_json(503, {"error": "the membership list is not available"})
            return
        visible_at = time.monotonic() - switch.faults.lag
        visible = [rows for at, rows in membership_versions if at <= visible_at]
        reply.send_json(200, visible[-1] if visible else [])

    return create_server(address, handle, threads=32)
