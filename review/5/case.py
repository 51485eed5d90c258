"""Answers without a length that are reset on the way, while the request is sent.

Both servers answer long requests before they have read them, without a length, then
read the rest and close. With the disruption, one of them cuts off 2 in 100 of its
answers: it resets the connection in the middle. A client must not get such an answer
as complete.
"""

import socket
import struct
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import standins as s  # noqa: E402

REQUEST_COUNT = 700
# Every fourth request is long.
LONG_EVERY = 4
LONG_BYTES = 4 << 20
PART = b"line of the answer\n" * 200
WHOLE = PART * 4
CUT_RATIO = 0.02


class Service:
    """What the servers do, and which of their answers were cut off."""

    def __init__(self, record):
        self._record = record
        self._lock = threading.Lock()
        self._answer_counts = {}
        # One of the two servers, the first that gets a long request.
        self._faulty = None
        self.cut_ids = set()

    def serve(self, server, sock, request):
        """Answer one request."""
        if request.length < LONG_BYTES:
            request.read_rest(sock)
            self._note(server, request, False)
            sock.sendall(s.make_answer(200, request.id, WHOLE))
            return True
        is_cut = self._choose_cut(server)
        self._note(server, request, is_cut)
        head = s.make_answer(200, request.id, b"", framed=False)
        if is_cut:
            self.cut_ids.add(request.id)
            sock.sendall(head + PART)
            reset(sock)
            return False
        sock.sendall(head + WHOLE)
        # The end of the answer, before the rest of the request is read.
        sock.shutdown(socket.SHUT_WR)
        request.read_rest(sock)
        return False

    def _choose_cut(self, server):
        with self._lock:
            count = self._answer_counts.get(server.name, 0)
            if self._faulty is None:
                self._faulty = server.name
            is_faulty = s.is_trouble_on() and server.name == self._faulty
            return is_faulty and len(self.cut_ids) + 1 <= CUT_RATIO * count

    def _note(self, server, request, is_cut):
        with self._lock:
            count = self._answer_counts.get(server.name, 0)
            self._answer_counts[server.name] = count + 1
        how = ", resets its answer after a part" if is_cut else ""
        self._record.note(server.name, f"runs {request.id}{how}")


def reset(sock):
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


def play(record, folder, gateways):
    """Return whether no client got a part of an answer as complete."""
    store = s.Store()
    service = Service(record)
    for name in ("i-1", "i-2"):
        s.Server(store, record, name, "orders", service.serve, reads_body=False)
    routes = [s.make_route("book", "unsafe", "orders")]
    config = s.make_config(routes, [{"name": "orders", "maxConns": 110}])
    store.put("keyed.op", "config", config)
    gateway = s.Gateway(folder, store)
    gateways.append(gateway)
    gateway.start()
    if not gateway.wait_ready():
        return None
    time.sleep(1.0)
    wrong = []

    client = None
    for number in range(REQUEST_COUNT):
        is_long = number % LONG_EVERY == 0
        request_id = f"r{number}"
        if client is None:
            client = s.Client(gateway.clients)
        client.send("POST", "book", request_id, b"b" * (LONG_BYTES if is_long else 100))
        answer = client.read()
        text = f"{request_id}: {answer.status}, {len(answer.body)} bytes"
        text += f", connection: {answer.end}"
        if answer.status == 200 and answer.is_complete and answer.body != WHOLE:
            wrong.append(request_id)
            text += ", taken as complete, but it is not the whole answer"
        record.note("client", text)
        if answer.headers.get("connection") == "close" or answer.end != "whole":
            client.close()
            client = None
    cut = len(service.cut_ids)
    record.note("case", f"{cut} answers were reset, {len(wrong)} passed as complete")
    if s.is_trouble_on() and not cut:
        return None
    return not wrong


if __name__ == "__main__":
    s.run_case(FOLDER, play)
