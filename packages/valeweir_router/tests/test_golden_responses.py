import os
import re
import socket
import unittest
from pathlib import Path

from fleets import Fleet

GOLDEN = Path(__file__).parent / "golden"


def send_raw(address, data):
    """Send raw bytes; return everything received until the connection is closed."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20.0) as sock:
        sock.sendall(data)
        parts = []
        try:
            while part := sock.recv(65536):
                parts.append(part)
        except ConnectionResetError:
            parts.append(b"<reset>")
    return b"".join(parts).decode()


def decode_chunks(text):
    """Return a chunked response decoded; chunk sizes differ between runs."""
    head, _, rest = text.partition("\r\n\r\n")
    if "Transfer-Encoding: chunked" not in head:
        return text
    parts = []
    while rest:
        size, _, rest = rest.partition("\r\n")
        if int(size, 16) == 0:
            parts.append("<end>\n")
            break
        parts.append(rest[: int(size, 16)])
        rest = rest[int(size, 16) + 2 :]
    else:
        parts.append("<cut>\n")
    return head + "\r\n\r\n" + "".join(parts)


def normalise(text):
    """Replace the parts that differ between runs."""
    text = decode_chunks(text)
    text = re.sub(r"haldia-1-[0-9a-f]{8}-\d+", "ID", text)
    text = re.sub(r"(?m)^(Date|Server): .*\r\n", "", text)
    text = re.sub(r"Retry-After: \d+", "Retry-After: N", text)
    return text.replace("\r\n", "\n")


def build_request(line, body="", key="key-a", **headers):
    rows = [f"{line} HTTP/1.1", "Host: x", "Connection: close"]
    rows += [f"Authorization: Bearer {key}"] if key else []
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body and "Content_Length" not in headers:
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n" + body).encode()


def build_chat_body(model="llm", stream=False, tokens=3):
    flag = "true" if stream else "false"
    return (
        f'{{"model":"{model}","messages":[{{"role":"user","content":"tide?"}}],'
        f'"max_tokens":{tokens},"stream":{flag}}}'
    )


MODEL = "POST /v1/chat/completions"
REQUESTS = {
    "unary": build_request(MODEL, build_chat_body()),
    "stream": build_request(MODEL, build_chat_body(stream=True)),
    "models": build_request("GET /v1/models"),
    "service": build_request(
        "POST /services/api/hold/7", "berth", Idempotency_Key="k1"
    ),
    "unknown_account": build_request(MODEL, build_chat_body(), key="wrong"),
    "no_key": build_request(MODEL, build_chat_body(), key=""),
    "unknown_pool": build_request(MODEL, build_chat_body(model="nothing")),
    "unknown_class": build_request(MODEL, build_chat_body(), X_Valeweir_Class="urgent"),
    "bad_deadline": build_request(MODEL, build_chat_body(), X_Valeweir_Deadline="-1"),
    "bad_body": build_request(MODEL, '{"model": 7}'),
    "unknown_path": build_request("GET /v2/nothing"),
    "two_lengths": build_request(MODEL, build_chat_body(), Transfer_Encoding="chunked"),
    "bad_length": build_request(MODEL, build_chat_body(), Content_Length="ten"),
    "oversized": build_request(MODEL, "", Content_Length="999999999"),
    "malformed": b"NONSENSE\r\n\r\n",
}
FAULTY_REQUESTS = {
    "cut_unary": (build_request(MODEL, build_chat_body()), "engine", {"cut": 1.0}),
    "cut_stream": (
        build_request(MODEL, build_chat_body(stream=True)),
        "engine",
        {"cut": 1.0},
    ),
    "refused_engine": (
        build_request(MODEL, build_chat_body()),
        "engine",
        {"refuse": 1.0},
    ),
    "dropped_call": (
        build_request("POST /services/api/hold/8", "berth"),
        "service",
        {"drop": 1.0},
    ),
}


class TestGoldenResponses(unittest.TestCase):
    """Responses compared byte for byte; UPDATE_GOLDEN=1 rewrites the files."""

    maxDiff = None

    def check(self, name, text):
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("UPDATE_GOLDEN"):
            GOLDEN.mkdir(exist_ok=True)
            path.write_text(text)
        self.assertEqual(text, path.read_text())

    def test_responses(self):
        with Fleet() as fleet:
            for name, data in REQUESTS.items():
                with self.subTest(name):
                    self.check(name, normalise(send_raw(fleet.callers, data)))

    def test_responses_with_a_faulty_upstream(self):
        for name, (data, role, faults) in FAULTY_REQUESTS.items():
            with self.subTest(name), Fleet() as fleet:
                fleet.set_faults(getattr(fleet, role), **faults)
                self.check(name, normalise(send_raw(fleet.callers, data)))
