"""Stand-ins for a case: the platform's store, servers, clients and gateways.

Only the standard library is used. All addresses are loopback addresses.
"""

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START = time.monotonic()
_READY_TIMEOUT_S = 20.0


def get_time():
    """Return the seconds since the start of the case."""
    return time.monotonic() - START


class Journal:
    """Writes what is sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, text):
        """Write one line with the time."""
        with self._lock:
            self._file.write(f"{get_time():8.3f} {text}\n")
            self._file.flush()


def run_case(main):
    """Return the exit code of a case, 2 if it could not run."""
    try:
        return main()
    except Exception:
        # An exit with 1, as after an exception, would tell of a broken rule.
        traceback.print_exc()
        return 2


def pick_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    """Return a free port."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# HTTP messages.


class Message:
    """A request or a response; header names are in lower case."""

    def __init__(self, first_line, headers, body=b"", is_whole=True):
        self.first_line = first_line
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def words(self):
        """Return the words of the first line."""
        return self.first_line.split(" ", 2)


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        """Receive more bytes; return whether there were any."""
        part = self.sock.recv(65536)
        self.data += part
        return bool(part)

    def read_head(self):
        """Return a `Message` without its body, or None at the end."""
        while b"\r\n\r\n" not in self.data:
            if not self.fill():
                return None
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        rows = (line.partition(":") for line in lines[1:])
        return Message(lines[0], {n.lower(): v.strip() for n, _, v in rows})

    def read_exactly(self, size):
        """Return this many bytes; raises EOFError."""
        while len(self.data) < size:
            if not self.fill():
                raise EOFError("the connection ended inside a body")
        part, self.data = self.data[:size], self.data[size:]
        return part

    def read_line(self):
        """Return a line without its end; raises EOFError."""
        while b"\r\n" not in self.data:
            if not self.fill():
                raise EOFError("the connection ended inside a line")
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def read_request(self):
        """Return a request with its body, or None at the end."""
        message = self.read_head()
        if message is not None:
            message.body = self.read_exactly(
                int(message.headers.get("content-length", 0))
            )
        return message


def encode(first_line, headers, body=b"", has_length=True):
    """Return the bytes of a message."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class HttpServer:
    """Accepts connections and calls ``serve(conn, request)`` for each request.

    ``serve`` returns whether the connection stays open.
    """

    def __init__(self, serve, ip="127.0.0.1"):
        self._serve = serve
        self._sock = socket.create_server((ip, 0), backlog=256)
        self.address = f"{ip}:{self._sock.getsockname()[1]}"
        self._conns = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._conns.add(conn)
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        reader = Reader(conn)
        try:
            while True:
                request = reader.read_request()
                if request is None or not self._serve(conn, request):
                    return
        except (OSError, EOFError):
            pass
        finally:
            self._conns.discard(conn)
            conn.close()

    def kill(self):
        """End as a killed process does: listen no more, reset all connections."""
        for sock in (self._sock, *list(self._conns)):
            reset(sock)


def reset(sock):
    """Reset a connection, or stop listening."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            # Wakes the thread that accepts, which would keep the socket open.
            sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


# The platform's store.


class Store:
    """Keyed topics of the platform's log."""

    def __init__(self):
        self._changed = threading.Condition()
        self._topics = {}
        self.server = HttpServer(self._serve)
        self.address = self.server.address

    def append(self, topic, key, value):
        """Append a record; a value of None drops the key."""
        name = key.encode()
        with self._changed:
            rows = self._topics.setdefault(topic, [])
            rows.append(bytes([len(name)]) + name + (value or b""))
            self._changed.notify_all()

    def _serve(self, conn, request):
        method, target, _ = request.words
        path, _, query = target.partition("?")
        fields = dict(row.split("=", 1) for row in query.split("&") if row)
        calls = {
            "/v1/log-read": self._read,
            "/v1/log-newest": self._list,
            "/v1/log-append": self._append,
        }
        status, kind, body = calls[path](fields, request.body)
        conn.sendall(encode(f"HTTP/1.1 {status} X", [("Content-Type", kind)], body))
        return True

    def _read(self, fields, _):
        start = int(fields["from"])
        until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000.0
        with self._changed:
            rows = self._topics.setdefault(fields["topic"], [])
            while len(rows) <= start and time.monotonic() < until:
                self._changed.wait(until - time.monotonic())
            head = len(rows).to_bytes(8, "big") + bytes(8)
            body = b"".join(len(r).to_bytes(4, "big") + r for r in rows[start:])
        return 200, "application/octet-stream", head + body

    def _list(self, fields, _):
        with self._changed:
            rows = list(self._topics.setdefault(fields["topic"], []))
        newest = {}
        for offset, row in enumerate(rows):
            key = row[1 : 1 + row[0]].decode()
            newest[key] = (row[1 + row[0] :], offset)
        items = [
            {
                "tlsKey": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(newest.items())
            if value and key > fields.get("sinceRev", "")
        ]
        content = {"items": items, "more": False, "end": len(rows)}
        return 200, "application/json", json.dumps(content).encode()

    def _append(self, fields, body):
        size = int.from_bytes(body[:4], "big")
        with self._changed:
            rows = self._topics.setdefault(fields["topic"], [])
            if int(fields.get("at", len(rows))) != len(rows):
                content = {"end": len(rows)}
                return 412, "application/json", json.dumps(content).encode()
            rows.append(body[4 : 4 + size])
            content = {"offset": len(rows) - 1, "end": len(rows)}
            self._changed.notify_all()
        return 200, "application/json", json.dumps(content).encode()


# Servers.


class Upstream:
    """A server; ``run(server, conn, request)`` runs a request that is meant for it."""

    def __init__(self, store, journal, name, service, run, slots=64):
        self.store = store
        self.journal = journal
        self.id = name
        self.service = service
        self.slots = slots
        self._run = run
        self._seq = 0
        self._server = HttpServer(self._serve)
        self.address = self._server.address
        self.announce()

    def announce(self, state="ready"):
        """Write the server's entry to the store."""
        self._seq += 1
        record = {
            "service": self.service,
            "address": self.address,
            "zone": "kidderpore",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq,
        }
        self.store.append("keyed.servers", self.id, json.dumps(record).encode())

    def remove_entry(self):
        """Remove the server's entry from the store."""
        self.store.append("keyed.servers", self.id, None)

    def kill(self):
        """End as a killed process does."""
        self.journal.write(f"server {self.id} crashes")
        self._server.kill()

    def _serve(self, conn, request):
        path = request.words[1]
        if path.startswith("/v1/kv-list"):
            content = b'{"epoch":"e","nextToken":0,"held":[]}'
            head = [("Content-Type", "application/json")]
            conn.sendall(encode("HTTP/1.1 200 OK", head, content))
            return True
        name = request.headers.get("request-id")
        if request.headers.get("expect-instance", self.id) != self.id:
            head = [("Instance-Id", self.id)]
            conn.sendall(encode("HTTP/1.1 421 Misdirected Request", head))
            return True
        self.journal.write(
            f"server {self.id} runs {name} after "
            f"{request.headers.get('last-event-id')}"
        )
        return self._run(self, conn, request)

    def make_headers(self, request, stamp="s"):
        """Return the headers of an answer of this server."""
        return [
            ("Request-Id", request.headers["request-id"]),
            ("Server-Stamp", f"{stamp}-{self.id}"),
            ("Weight-Versions", "1"),
        ]


# Gateways.


def _look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def fill_template(text, fields):
    """Fill the template of the deploy file."""

    def fill_section(match):
        return match[2] if _look_up(fields, match[1]) else ""

    def fill_gap(match):
        value = _look_up(fields, match[1])
        if match[2] or isinstance(value, list | dict):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_gap, text)


class Gateway:
    """A gateway as the deploy file starts it, on an IP of its own."""

    def __init__(self, folder, store, number=1, bounds=None, seeds=(), extra=None):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        ip = f"127.77.{os.getpid() % 250}.{number}"
        self.front = f"{ip}:{pick_port(ip)}"
        self.ready = f"{ip}:{pick_port(ip)}"
        self.control = f"{ip}:{pick_port(ip)}"
        fields = {
            "node": f"front-{number}",
            "ip": ip,
            "zone": "kidderpore",
            "zones": {"kidderpore": "kolkata"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "portRange": [pick_port(ip, socket.SOCK_DGRAM)],
            "seeds": list(seeds),
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                **(extra or {}),
            },
            "bounds": {
                "drainMs": 2000,
                "graceS": 8,
                "configMs": 2000,
                "retryRatio": 0.2,
                "retryWindowS": 10,
                "retrySlack": 58,
                "passMs": 120,
                "quotaWindowS": 4,
                **(bounds or {}),
            },
            "platform": {"address": store.address},
        }
        text = fill_template((ROOT / role["template"]).read_text(), fields)
        # The port of the metrics is the only fixed one in the template.
        text = text.replace(f"{ip}:9464", f"{ip}:{pick_port(ip)}")
        path = Path(folder) / f"gateway-{number}.json"
        path.write_text(text)
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["VALEWEIR_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        self.log = open(Path(folder) / f"gateway-{number}.log", "wb")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )

    def wait_ready(self):
        """Wait for two good answers of the readiness check in a row."""
        until = time.monotonic() + _READY_TIMEOUT_S
        count = 0
        while time.monotonic() < until and self.process.poll() is None:
            count = count + 1 if self.is_ready() else 0
            if count >= 2:
                return True
            time.sleep(0.1)
        return False

    def is_ready(self):
        """Return whether the readiness check answers 200."""
        host, port = self.ready.split(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def connect(self, timeout=20.0):
        """Return a new connection of a client."""
        host, port = self.front.split(":")
        sock = socket.create_connection((host, int(port)), timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def end(self):
        """Kill the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def make_route(name, kind, service, attempts=1, timeout_ms=6000, goal_ms=800, **fields):
    """Return a route of the host ``h.example`` with the prefix ``/NAME/``."""
    return {
        "name": name,
        "host": "h.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": goal_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gapGoalMs": 400 if kind == "streaming" else 0,
        **fields,
    }


ENGINE = {
    "slots": 64,
    "kvCapacity": 570274,
    "kvTokenBytes": 163840,
    "linkMbps": 550000.0,
    "moves": True,
    "backups": True,
    "stride": 3,
    "most": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handleS": 5.0,
    "models": [{"name": "m"}],
}


def make_config(version, routes, engines=("llm",), calls=("api",), keys=("key-one",)):
    """Return the bytes of a configuration."""
    common = {"healthPath": "/health", "protocol": "h1", "tls": False}
    services = [
        {"name": n, "maxConns": 370, **common, "engine": ENGINE} for n in engines
    ]
    services += [{"name": name, "maxConns": 110, **common} for name in calls]
    content = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 145000,
        },
        "tenants": [{"name": "one", "apiKeys": list(keys), "priority": 1}],
    }
    return json.dumps(content).encode()


def make_request(name, path, method="POST", body=b"", deadline_ms=6000, more=()):
    """Return the bytes of a client's request."""
    head = [
        ("Host", "h.example"),
        ("Request-Id", name),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", "Bearer key-one"),
        *more,
    ]
    first = f"{method} {path} HTTP/1.1"
    return encode(first, head, body, has_length=bool(body) or method == "POST")
