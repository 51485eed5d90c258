"""Stand-ins for the scripts of this review, with the standard library only.

They hold the platform's store (its log), servers, clients and the start of gateways.
Everything listens on loopback addresses and free ports.
"""

import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BEAT_S = 1.2
READY_TIMEOUT_S = 20.0
# Below the ports that the kernel gives to outgoing connections.
PORT_RANGE = (20_000, 32_000)
PORTS_PER_BLOCK = 8
READ_BYTES = 65536

PASSED, FAILED, NOT_RUN = 0, 1, 2

# Sockets that hold the blocks of ports that `pick_ports` has returned.
_block_locks = []


def pick_ports(count=1):
    """Return free ports by name, free on each of the first ``count`` machines.

    They lie in a block of ports. Its first one is held while the script runs, so that
    scripts that run at the same time take different blocks.
    """
    names = ("front", "ready", "control", "reports", "metrics")
    while True:
        first = random.randrange(*PORT_RANGE, PORTS_PER_BLOCK)
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((HOST, first))
        except OSError:
            lock.close()
            continue
        ports = {name: first + number for number, name in enumerate(names, 1)}
        if all(
            is_free(make_ip(n), port, kind)
            for n in range(count)
            for port in ports.values()
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            _block_locks.append(lock)
            return ports
        lock.close()


def make_ip(number):
    """Return the loopback address of a machine."""
    return f"127.0.0.{1 + number}"


def is_free(ip, port, kind):
    """Return whether a port can be bound."""
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def note(self, who, text):
        """Write a line with the seconds since the start."""
        now = time.monotonic() - self._started
        with self._lock:
            self._file.write(f"{now:8.3f} {who}: {text}\n")
            self._file.flush()


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self._topics = {}
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                store.serve(self)

            def do_POST(self):
                store.serve(self)

        self._server = ThreadingHTTPServer((HOST, 0), Handler)
        self._server.daemon_threads = True
        # A process that ends closes its connections while the store answers.
        self._server.handle_error = lambda request, address: None
        self.address = f"{HOST}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Append a record; a value of None removes the key. Return its offset."""
        data = b"" if value is None else json.dumps(value).encode()
        return self._append(topic, [self._encode(key.encode(), data)])

    def serve(self, request):
        """Answer one call."""
        path, _, query = request.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        size = int(request.headers.get("Content-Length", "0"))
        body = request.rfile.read(size)
        topic = fields.get("topic", "")
        if path == "/v1/log-newest":
            status, data = 200, self._list_newest(topic, fields.get("sinceRev", ""))
        elif path == "/v1/log-read":
            status, data = 200, self._read(topic, fields)
        elif path == "/v1/log-append":
            status, data = self._append_call(topic, fields, body)
        else:
            status, data = 404, b""
        request.send_response(status)
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        request.wfile.write(data)

    @staticmethod
    def _encode(key, value):
        return bytes([len(key)]) + key + value

    def _append(self, topic, records):
        with self._changed:
            rows = self._topics.setdefault(topic, [])
            offset = len(rows)
            rows.extend(records)
            self._changed.notify_all()
        return offset

    def _append_call(self, topic, fields, body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        with self._changed:
            end = len(self._topics.setdefault(topic, []))
            if "at" in fields and int(fields["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            offset = self._append(topic, records)
        return 200, json.dumps(
            {"offset": offset, "end": offset + len(records)}
        ).encode()

    def _list_newest(self, topic, since):
        newest = {}
        with self._changed:
            rows = list(self._topics.setdefault(topic, []))
        for offset, row in enumerate(rows):
            key, value = row[1 : 1 + row[0]].decode(), row[1 + row[0] :]
            newest[key] = (value, offset)
        keys = sorted(k for k, (value, _) in newest.items() if value and k > since)
        items = [
            {
                "tlsKey": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        page = {"items": items, "more": len(keys) > 500, "end": len(rows)}
        return json.dumps(page).encode()

    def _read(self, topic, fields):
        start = int(fields["from"])
        until = time.monotonic() + int(fields.get("waitMs", "0")) / 1000.0
        with self._changed:
            rows = self._topics.setdefault(topic, [])
            while len(rows) <= start and time.monotonic() < until:
                self._changed.wait(until - time.monotonic())
            found = rows[start:]
            end = len(rows)
        data = end.to_bytes(8, "big") + (0).to_bytes(8, "big")
        return data + b"".join(len(r).to_bytes(4, "big") + r for r in found)


class Request:
    """One request that a server has read; the body may be incomplete."""

    def __init__(self, method, target, headers, body, length):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.length = length

    @property
    def id(self):
        """Return the Request-Id."""
        return self.headers.get("request-id", "")

    def read_rest(self, sock):
        """Read the rest of the body; raises OSError if it does not come."""
        while len(self.body) < self.length:
            data = sock.recv(min(READ_BYTES, self.length - len(self.body)))
            if not data:
                raise OSError("the connection ended inside the body")
            self.body += data


class Server:
    """One server: it keeps its entry in the store and serves each connection alone.

    ``serve(server, sock, request)`` answers one request and returns whether the
    connection stays open. It runs in a thread of the connection. With ``reads_body``
    off it is called as soon as the head is in.
    """

    def __init__(
        self,
        store,
        record,
        name,
        service,
        serve,
        slots=64,
        reads_body=True,
        zone="zone-a",
        version="v1",
    ):
        self.name = name
        self.service = service
        self._store = store
        self._record = record
        self._serve = serve
        self._slots = slots
        self._reads_body = reads_body
        self._zone = zone
        self.version = version
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._sock = socket.create_server((HOST, 0), backlog=512)
        self.address = f"{HOST}:{self._sock.getsockname()[1]}"
        self._beats = True
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def write_entry(self, state="ready"):
        """Write this server's entry to the store."""
        self._store.put("keyed.servers", self.name, self.make_entry(state))

    def make_entry(self, state="ready"):
        """Return the next entry of this server."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": self.version,
            "slots": self._slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born,
        }

    @property
    def seq(self):
        """Return the sequence number of the last entry."""
        return self._seq

    def stop_beats(self):
        """Write no more entries."""
        self._beats = False

    def _beat(self):
        while self._beats:
            self.write_entry()
            time.sleep(BEAT_S)

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        rest = b""
        try:
            while True:
                request, rest = read_request(sock, rest, self._reads_body)
                if request is None:
                    return
                expected = request.headers.get("expect-instance")
                if expected not in (None, self.name):
                    sock.sendall(make_answer(421, request.id, b"", signed=False))
                    continue
                if not self._serve(self, sock, request):
                    return
                # Its body is not kept while the connection is idle.
                request = None
        except OSError:
            return
        finally:
            sock.close()


def read_request(sock, rest=b"", reads_body=True):
    """Return the next `Request` and the bytes after it; None at the end."""
    while b"\r\n\r\n" not in rest:
        data = sock.recv(READ_BYTES)
        if not data:
            return None, b""
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body, rest = bytearray(rest[:length]), rest[length:]
    while reads_body and len(body) < length:
        data = sock.recv(min(READ_BYTES, length - len(body)))
        if not data:
            return None, b""
        body += data
    return Request(method, target, headers, body, length), rest


def make_answer(status, request_id, body, signed=True, framed=True, more=()):
    """Return the bytes of an answer of a server."""
    lines = [f"HTTP/1.1 {status} Answer", f"Request-Id: {request_id}"]
    if signed:
        lines.append(f"Server-Stamp: stamp-{request_id}")
    lines += more
    lines.append(f"Content-Length: {len(body)}" if framed else "Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_config(routes, services, version=1, tenants=(), **limits):
    """Return a configuration of the operator."""
    limits = {
        "maxHeaderBytes": 32768,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 15000,
        **limits,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": list(tenants),
    }


def make_route(name, kind, service, **more):
    """Return a route of host NAME.example with the path prefix /NAME/."""
    return {
        "name": name,
        "host": f"{name}.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 10000,
        "goalMs": 1000,
        "priority": 1,
        "maxAttempts": 2,
        **more,
    }


class Gateway:
    """One process of the system, started with the command of the deploy file."""

    def __init__(
        self, folder, store, number=0, memory_mb=300, ip=HOST, ports=None, zone="zone-a"
    ):
        template = (ROOT / "deploy/router.json").read_text()
        ports = ports or pick_ports()
        control = f"{ip}:{ports['control']}"
        self.zone = zone
        self.clients = (ip, ports["front"])
        self.ready = f"{ip}:{ports['ready']}"
        self.control = control
        fields = {
            "node": f"front-{number}",
            "zone": zone,
            "ip": ip,
            "listen": {
                "front": f"{ip}:{ports['front']}",
                "ready": self.ready,
                "control": control,
            },
            "portRange": [ports["reports"]],
            "seeds": [control],
            "zones": {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"},
            "platform": {"address": store.address},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4100,
            },
            "bounds": {
                "configMs": 2000,
                "retryRatio": 0.2,
                "retrySlack": 58,
                "retryWindowS": 10,
                "passMs": 120,
                "drainMs": 2000,
                "graceS": 8,
                "quotaWindowS": 4,
            },
        }
        text = fill(template, fields)
        # The metrics port of the template is fixed; a free one is used here.
        text = text.replace(f"{ip}:9464", f"{ip}:{ports['metrics']}")
        self.path = Path(folder) / f"front-{number}.json"
        self.path.write_text(text)
        self.process = None
        self._log = open(
            Path(os.environ.get("GATEWAY_LOGS", folder)) / f"front-{number}.log", "wb"
        )

    def start(self):
        """Start the process with the command in deploy/system.toml."""
        text = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split()
        command[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["VALEWEIR_BOOT"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=subprocess.STDOUT
        )

    def wait_ready(self):
        """Wait until the process calls itself ready; return False on timeout."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                url = f"http://{self.ready}/v1/ready"
                with urllib.request.urlopen(url, timeout=1.0) as resp:
                    if resp.status == 200:
                        return True
            except OSError:
                pass
            if self.process.poll() is not None:
                return False
            time.sleep(0.05)
        return False

    def stop(self):
        """End the process."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def resident_bytes(self):
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match.group(1)) * 1024 if match else 0


def fill(template, fields):
    """Fill the gaps of the deploy template that this deployment uses."""
    template = re.sub(
        r"\{\{#bounds\.coldOver\}\}.*?\{\{/bounds\.coldOver\}\}",
        "",
        template,
        flags=re.DOTALL,
    )

    def find(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^#/^}]+)\}\}", find, template)


class ClientAnswer:
    """What a client has received: status, headers, body and how it ended."""

    def __init__(self, status, headers, body, end):
        self.status = status
        self.headers = headers
        self.body = body
        # "whole" by its framing, "close", "reset", "early" or "silent".
        self.end = end

    @property
    def is_complete(self):
        """Return whether a client takes the answer as complete."""
        if self.end == "whole":
            return True
        return self.end == "close" and self.status > 0


class Client:
    """A client's connection, which may be kept for many requests."""

    def __init__(self, address, receive_bytes=None, timeout=30.0):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_bytes is not None:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sock.settimeout(timeout)
        self._sock.connect(address)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, method, route, request_id, body=b"", deadline_ms=10000, more=()):
        """Send a request; raises OSError."""
        lines = [
            f"{method} /{route}/1 HTTP/1.1",
            f"Host: {route}.example",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            *more,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def read(self):
        """Read one answer to its end; return a `ClientAnswer`."""
        data = bytearray()
        end = None
        while b"\r\n\r\n" not in data:
            piece, end = self._receive()
            if end:
                return ClientAnswer(0, {}, bytes(data), end)
            data += piece
        head, _, rest = bytes(data).partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        status = int(first.split(" ")[1])
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = bytearray(rest)
        if "content-length" in headers:
            size = int(headers["content-length"])
            while len(body) < size:
                piece, end = self._receive()
                if end:
                    end = "early" if end == "close" else end
                    return ClientAnswer(status, headers, bytes(body), end)
                body += piece
            return ClientAnswer(status, headers, bytes(body[:size]), "whole")
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self._read_chunks(status, headers, body)
        while end is None:
            piece, end = self._receive()
            body += piece
        return ClientAnswer(status, headers, bytes(body), end)

    def read_events(self, stopped):
        """Read a stream until it ends or ``stopped`` is set; return the last id."""
        data = bytearray()
        while not stopped.is_set():
            self._sock.settimeout(0.1)
            try:
                piece = self._sock.recv(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                break
            if not piece:
                break
            data += piece
        ids = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", bytes(data))
        return int(ids[-1]) if ids else 0

    def _read_chunks(self, status, headers, raw):
        body = bytearray()
        while True:
            while b"\r\n" not in raw:
                piece, end = self._receive()
                if end:
                    end = "early" if end == "close" else end
                    return ClientAnswer(status, headers, bytes(body), end)
                raw += piece
            line, _, raw = raw.partition(b"\r\n")
            size = int(line.split(b";")[0], 16)
            while len(raw) < size + 2:
                piece, end = self._receive()
                if end:
                    end = "early" if end == "close" else end
                    return ClientAnswer(status, headers, bytes(body + raw), end)
                raw += piece
            if size == 0:
                return ClientAnswer(status, headers, bytes(body), "whole")
            body += raw[:size]
            raw = raw[size + 2 :]

    def _receive(self):
        """Return the next bytes, and how the connection ended or None."""
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return b"", "silent"
        except OSError:
            return b"", "reset"
        return data, None if data else "close"

    def close(self):
        """Close the connection."""
        self._sock.close()


def is_trouble_on():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Run ``play(record, folder, gateways)``; exit with its result.

    It returns whether the rule held, and appends the gateways that it starts to a list,
    which are ended here.
    """
    record = Record(Path(folder) / "record.txt")
    gateways = []
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = play(record, temporary, gateways)
            code = NOT_RUN if held is None else PASSED if held else FAILED
        except Exception as exc:
            record.note("case", f"could not run: {exc!r}")
        finally:
            for gateway in gateways:
                gateway.stop()
    record.note("case", f"exit {code}")
    os._exit(code)
