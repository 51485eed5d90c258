"""A late write of a server that has left makes it ready again.

A server leaves as planned without saying so: its entry goes, and it serves on. One of
its earlier writes lost its answer; with the disruption, the store does this write 6 s
after it was sent. The entry shows a lower sequence number than the last one before it
went, and goes again after three heartbeats of silence.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import standins as s  # noqa: E402

CLIENTS_PER_GATEWAY = 4
DRAIN_S = 2.0
CONTACT_S = 3.0
LATE_S = 6.0
LAPSE_S = 3 * s.BEAT_S
WORK_S = 0.02
# Calm time after the start of the gateways.
CALM_S = 5.0
# Time between the write without an answer and the end of the entry.
LEAVES_AFTER_S = 3.3


def play(record, folder, gateways):
    """Return whether the server that has left got no requests."""
    store = s.Store()
    gone_at = None
    late_at = None
    late = []
    late_in_touch = []

    def serve(server, sock, request):
        now = time.monotonic()
        record.note(server.name, f"runs {request.id}")
        if server.name == "i-1" and gone_at is not None and now > gone_at + DRAIN_S:
            late.append(request.id)
            if late_at is None or now > late_at + CONTACT_S:
                late_in_touch.append(request.id)
        time.sleep(WORK_S)
        sock.sendall(s.make_answer(200, request.id, b"ok"))
        return True

    leaving = s.Server(store, record, "i-1", "orders", serve, slots=6)
    s.Server(store, record, "i-2", "orders", serve, slots=6)
    routes = [s.make_route("book", "unsafe", "orders")]
    config = s.make_config(routes, [{"name": "orders", "maxConns": 110}])
    store.put("keyed.op", "config", config)
    for number in range(2):
        gateway = s.Gateway(folder, store, number)
        gateways.append(gateway)
        gateway.start()
    if not all(gateway.wait_ready() for gateway in gateways):
        return None
    stopped = threading.Event()

    def call(number, gateway, name):
        client = s.Client(gateway.clients)
        count = 0
        while not stopped.wait(0.05):
            count += 1
            request_id = f"g{number}c{name}-{count}"
            client.send("POST", "book", request_id, b"b")
            answer = client.read()
            record.note("client", f"{request_id}: {answer.status}, {answer.end}")
            if answer.end != "whole" or answer.headers.get("connection") == "close":
                client.close()
                client = s.Client(gateway.clients)

    for number, gateway in enumerate(gateways):
        for name in range(CLIENTS_PER_GATEWAY):
            args = (number, gateway, name)
            threading.Thread(target=call, args=args, daemon=True).start()
    time.sleep(CALM_S)
    lost = leaving.make_entry()
    lost_at = time.monotonic()
    record.note("store", f"gives no answer to a write of i-1, seq {lost['seq']}")
    # The server writes on until it leaves.
    time.sleep(LEAVES_AFTER_S)
    leaving.stop_beats()
    gone_at = time.monotonic()
    store.put("keyed.servers", "i-1", None)
    record.note("store", f"entry of i-1 gone, its last seq was {leaving.seq}")
    time.sleep(lost_at + LATE_S - time.monotonic())
    if s.is_trouble_on():
        late_at = time.monotonic()
        store.put("keyed.servers", "i-1", lost)
        record.note("store", f"does the write of i-1 with seq {lost['seq']}")
    time.sleep(LAPSE_S)
    store.put("keyed.servers", "i-1", None)
    record.note("store", "entry of i-1 gone after three heartbeats")
    stopped.set()
    time.sleep(0.3)
    text = f"i-1 got {len(late)} requests over {DRAIN_S} s after it was gone"
    text += f", {len(late_in_touch)} of them {CONTACT_S} s after the late write"
    record.note("case", text)
    return not late_in_touch


if __name__ == "__main__":
    s.run_case(FOLDER, play)
