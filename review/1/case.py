"""Streams without a length break off and are resumed at servers that answer 500.

Servers send event streams that end with their connection. A server crashes while the
others fail some of their requests with 500. The client judges by the end of the
connection: an answer that is not reset is complete.
"""

import collections
import os
import re
import shutil
import sys
import tempfile
import threading
import time
import zlib
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import standins  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENT_COUNT = 17
EVENT_S = 0.03
STREAM_COUNT = 24
ROUND_COUNT = 8
THING_COUNT = 16
# An entry goes after three heartbeats of 1.2 s without a write.
ENTRY_S = 3.6


class Servers:
    """Runs streams; breaks some off and fails some if there is trouble."""

    def __init__(self, journal):
        self.journal = journal
        self.bodies = {}
        self.count = 0
        self.grey = set()
        self.running = collections.Counter()
        self.lock = threading.Lock()

    def run(self, server, conn, request):
        name = request.headers["request-id"]
        after = int(request.headers.get("last-event-id") or 0)
        with self.lock:
            self.count += 1
            fails = server.id in self.grey and self.count % 5 < 2
        if fails:
            self.journal.write(f"server {server.id} answers 500 to {name}")
            conn.sendall(
                standins.encode(
                    "HTTP/1.1 500 Internal Server Error",
                    server.make_headers(request),
                    b"failed",
                )
            )
            return True
        head = [
            *server.make_headers(request),
            ("Content-Type", "text/event-stream"),
            # The answer has no length, and ends with its connection.
            ("Connection", "close"),
        ]
        conn.sendall(standins.encode("HTTP/1.1 200 OK", head, has_length=False))
        self.running[server.id] += 1
        try:
            for number in range(after + 1, EVENT_COUNT + 1):
                time.sleep(EVENT_S)
                event = f"id: {number}\ndata: {name} {number}\n\n".encode()
                conn.sendall(event)
        finally:
            self.running[server.id] -= 1
        return False


def read_answer(sock):
    """Return (status, body, is_complete) of an answer.

    One without a length is complete if its connection ends without a reset.
    """
    reader = standins.Reader(sock)
    status, body = 0, b""
    try:
        head = reader.read_head()
        if head is None:
            return status, body, False
        status = int(head.words[1])
        if "chunked" in head.headers.get("transfer-encoding", ""):
            while size := int(reader.read_line(), 16):
                body += reader.read_exactly(size)
                reader.read_line()
            return status, body, True
        if "content-length" in head.headers:
            body = reader.read_exactly(int(head.headers["content-length"]))
            return status, body, True
        while reader.fill():
            pass
        return status, reader.data, True
    except (OSError, EOFError, ValueError):
        return status, body or reader.data, False


def call(gateway, journal, name, results):
    thing = zlib.crc32(name.encode()) % THING_COUNT
    head = [
        ("Model", "m"),
        ("Token-Counts", "6490,51"),
        (
            "Prompt-Prefix",
            f"{thing:02x}:2500,{64 + thing:02x}:3700,{name.encode().hex()}:290",
        ),
    ]
    data = standins.make_request(name, "/doc/x", body=b"x" * 900, more=head)
    with gateway.connect() as sock:
        journal.write(f"client sends {name}")
        sock.sendall(data)
        status, body, is_complete = read_answer(sock)
    ids = [int(row) for row in re.findall(rb"^id: (\d+)$", body, re.M)]
    end = "ended as complete" if is_complete else "broken off"
    journal.write(f"client got {name}: {status}, {len(ids)} events, {end}")
    if status == 200 and is_complete and len(ids) != EVENT_COUNT:
        journal.write(f"the end of that answer: {body[-160:]!r}")
    results[name] = (status, ids, is_complete)


def main():
    journal = standins.Journal(HERE / "record.txt")
    folder = tempfile.mkdtemp()
    gateways = []
    try:
        return play(journal, folder, gateways)
    finally:
        for gateway in gateways:
            gateway.end()
        shutil.rmtree(folder, ignore_errors=True)


def play(journal, folder, gateways):
    store = standins.Store()
    servers = Servers(journal)
    route = standins.make_route("doc", "streaming", "llm", 2, resumable=True)
    store.append("keyed.op", "config", standins.make_config(1, [route]))
    rows = [
        standins.Upstream(store, journal, f"i-{n}", "llm", servers.run)
        for n in range(5)
    ]
    gateway = standins.Gateway(folder, store)
    gateways.append(gateway)
    if not gateway.wait_ready():
        journal.write("the gateway was not ready")
        return 2
    results = {}
    for number in range(ROUND_COUNT):
        if HAS_TROUBLE:
            # Until the end of this round, which takes about 1.5 s.
            servers.grey = {row.id for row in rows}
        threads = [
            threading.Thread(
                target=call, args=(gateway, journal, f"r{number}-{n}", results)
            )
            for n in range(STREAM_COUNT)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.01)
        time.sleep(EVENT_S * EVENT_COUNT / 2)
        if HAS_TROUBLE:
            # One of five servers is lost for good, and a new one is started.
            busiest = max(rows, key=lambda row: servers.running[row.id])
            rows.remove(busiest)
            busiest.kill()
            threading.Timer(ENTRY_S, busiest.remove_entry).start()
            rows.append(
                standins.Upstream(
                    store, journal, f"i-{5 + number}", "llm", servers.run
                )
            )
        for thread in threads:
            thread.join(20.0)
        servers.grey = set()
        time.sleep(1.0)
    wrong = [
        name
        for name, (status, ids, is_complete) in results.items()
        if status == 200
        and (
            ids != list(range(1, len(ids) + 1))
            or (is_complete and len(ids) != EVENT_COUNT)
        )
    ]
    journal.write(
        f"{len(results)} answers, {len(wrong)} streams that ended as complete before "
        f"their last event or had events missing: {wrong}"
    )
    if len(results) != STREAM_COUNT * ROUND_COUNT:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(main))
