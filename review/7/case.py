"""A zone is lost, and the streams that its gateways began can't be taken up.

18 gateways in three zones, more than the 16 up to which each reports to all others.
Clients have resumable streams at the gateways of zone a. With the disruption, these
gateways are killed; without it, each client's connection breaks. Clients take their
streams up at gateways of the other zones, which nothing has happened to.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import standins as s  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
GATEWAYS_PER_ZONE = 6
STREAM_COUNT = 24
NEW_STREAM_COUNT = 24
EVENT_COUNT = 60
EVENT_S = 0.1
# Time for the gateways to learn of each other.
SETTLE_S = 8.0
# When the connections break, since the first stream began.
BREAKS_AFTER_S = 2.5
MAX_TRY_COUNT = 8
TAKE_UP_S = 6.0
MIN_STREAM_COUNT = 12


def play(record, folder, gateways):
    """Return whether streams were taken up half as often as new ones began."""
    store = s.Store()

    def serve(server, sock, request):
        last = int(request.headers.get("last-event-id", "0"))
        record.note(server.name, f"runs {request.id} from event {last + 1}")
        more = ["Content-Type: text/event-stream"]
        sock.sendall(s.make_answer(200, request.id, b"", framed=False, more=more))
        for number in range(last + 1, EVENT_COUNT + 1):
            time.sleep(EVENT_S)
            sock.sendall(b"id: %d\ndata: %s\n\n" % (number, server.version.encode()))
        return False

    for number in range(12):
        zone = ZONES[number % 3]
        version = ("v1", "v2")[number % 2]
        s.Server(
            store, record, f"i-{number}", "model", serve, zone=zone, version=version
        )
    more = {"timeoutMs": 15000, "gapGoalMs": 400, "resumable": True}
    routes = [s.make_route("plan", "streaming", "model", **more)]
    services = [{"name": "model", "maxConns": 480}]
    store.put("keyed.op", "config", s.make_config(routes, services))
    count = GATEWAYS_PER_ZONE * len(ZONES)
    ports = s.pick_ports(count)
    for number in range(count):
        gateway = s.Gateway(
            folder,
            store,
            number,
            ip=s.make_ip(number),
            ports=ports,
            zone=ZONES[number % 3],
        )
        gateways.append(gateway)
        gateway.start()
    if not all(gateway.wait_ready() for gateway in gateways):
        return None
    time.sleep(SETTLE_S)
    lost_zone = [row for row in gateways if row.zone == "zone-a"]
    others = [row for row in gateways if row.zone != "zone-a"]
    broken = threading.Event()
    taken_up = []
    resumed = []
    begun = []

    def stream(number):
        first_id = f"s{number}"
        client = s.Client(lost_zone[number % len(lost_zone)].clients)
        client.send("POST", "plan", first_id, b"prompt", 15000)
        received = client.read_events(broken)
        client.close()
        record.note("client", f"{first_id} breaks after event {received}")
        if not 0 < received < EVENT_COUNT:
            return
        broken.wait()
        time.sleep(0.2)
        taken_up.append(first_id)
        until = time.monotonic() + TAKE_UP_S
        for attempt in range(MAX_TRY_COUNT):
            if time.monotonic() > until:
                return
            gateway = others[(number * 5 + attempt) % len(others)]
            request_id = f"{first_id}-again{attempt}"
            client = s.Client(gateway.clients)
            more = [f"Last-Event-Id: {received}", f"Resumes: {first_id}"]
            client.send("POST", "plan", request_id, b"prompt", 6000, more)
            answer = client.read()
            client.close()
            text = f"{answer.status} {answer.body[:40]!r}"
            record.note("client", f"{request_id} after event {received}: {text}")
            if answer.status == 200 and b"id: %d\n" % (received + 1) in answer.body:
                resumed.append(first_id)
                return
            time.sleep(float(answer.headers.get("retry-after", "0.2")))

    def begin(number):
        client = s.Client(others[number % len(others)].clients)
        client.send("POST", "plan", f"new{number}", b"prompt", 15000)
        answer = client.read()
        record.note("client", f"new{number}: {answer.status}, {len(answer.body)} bytes")
        client.close()
        if answer.status == 200 and b"id: 1\n" in answer.body:
            begun.append(number)

    threads = [
        threading.Thread(target=stream, args=(n,), daemon=True)
        for n in range(STREAM_COUNT)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(BREAKS_AFTER_S)
    if s.is_trouble_on():
        for gateway in lost_zone:
            gateway.process.kill()
        record.note("case", "kills the gateways of zone a")
    else:
        record.note("case", "breaks the connections of the clients")
    broken.set()
    time.sleep(0.5)
    new = [
        threading.Thread(target=begin, args=(n,), daemon=True)
        for n in range(NEW_STREAM_COUNT)
    ]
    for thread in new:
        thread.start()
        time.sleep(0.02)
    for thread in threads + new:
        thread.join(30.0)
    text = f"{len(resumed)} of {len(taken_up)} streams taken up went on"
    text += f", {len(begun)} of {NEW_STREAM_COUNT} new ones began"
    record.note("case", text)
    if len(taken_up) < MIN_STREAM_COUNT:
        return None
    share = len(resumed) / len(taken_up)
    return share >= 0.5 * len(begun) / NEW_STREAM_COUNT


if __name__ == "__main__":
    s.run_case(FOLDER, play)
