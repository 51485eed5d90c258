"""A seeded load: workers that send requests to the fleet and check each response."""

import json
import threading
import time
from http.client import HTTPException
from typing import NamedTuple

import numpy as np
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError
from valeweir.models import CLASS_HEADER, OUTCOME_HEADER, WorkClass

from .rigs import get_account_key
from .upstreams import make_response_text

_TIMEOUT_S = 120.0
_NOT_READY_STATUS = 503
_PAUSE_AFTER_REFUSAL_S = 0.05
_PAUSE_BEFORE_RESEND_S = 0.2


class RequestResult(NamedTuple):
    """The result of one request of the load.

    ``fault`` is empty or one of ``lost``, ``crossed`` and ``cut``. ``cost`` is in
    the router's units, and 0 if there was no complete response.
    """

    account: str
    work_class: str
    sent: float
    ended: float
    cost: float
    outcome: str
    fault: str
    key: str = ""
    status: int = 0
    first_byte: float = 0.0


class RequestMix(NamedTuple):
    """The work class of a worker's requests and the distribution of their tokens."""

    work_class: WorkClass
    mean_tokens: float
    sigma: float
    stream: bool = False


class Worker(NamedTuple):
    """A closed loop that sends its next request when the previous one has ended."""

    account: str
    address: str
    mix: RequestMix
    seed: int
    start_delay_s: float = 0.0
    stop_after_s: float = float("inf")
    think_time_s: float = 0.0


class Load:
    """The workers of an experiment and the results of their requests."""

    def __init__(self, model, service, workers, router_addresses, costs=(0.25, 1.0)):
        self.model = model
        self.service = service
        self.workers = workers
        self.router_addresses = router_addresses
        self.costs = costs
        self.results = []
        self.outstanding = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = []
        self.started = 0.0

    def start(self):
        """Start every worker."""
        self.started = time.monotonic()
        for worker in self.workers:
            thread = threading.Thread(target=self._run, args=(worker,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self):
        """Stop the workers after their current requests, and wait for them."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_S)

    def request_stop(self):
        """Stop the workers after their current requests, without waiting."""
        self._stopped.set()

    def _run(self, worker):
        rng = np.random.default_rng(worker.seed)
        conn = connect(worker.address)
        number = 0
        delay = worker.start_delay_s
        if delay and self._stopped.wait(delay):
            return
        while not self._stopped.is_set():
            if time.monotonic() - self.started > worker.stop_after_s:
                return
            number += 1
            req = self.prepare_request(worker, rng, number)
            result, conn = self._send_counted(worker, req, conn)
            if result.outcome == "unknown" and req.key:
                # Retry with the same idempotency key through another router, as
                # callers should after an unknown outcome.
                self._stopped.wait(_PAUSE_BEFORE_RESEND_S)
                conn.close()
                conn = connect(self._choose_other_router(worker.address, rng))
                result, conn = self._send_counted(worker, req, conn)
            if result.status == _NOT_READY_STATUS:
                # A load balancer would send the next request to another router.
                conn.close()
                conn = connect(self._choose_other_router(worker.address, rng))
            if result.outcome != "complete" or result.status != 200:
                self._stopped.wait(_PAUSE_AFTER_REFUSAL_S)
            if worker.think_time_s:
                self._stopped.wait(worker.think_time_s)
        conn.close()

    def _send_counted(self, worker, req, conn):
        with self._lock:
            self.outstanding += 1
        result, conn = self.send(worker, req, conn)
        with self._lock:
            self.outstanding -= 1
            self.results.append(result)
        return result, conn

    def _choose_other_router(self, address, rng):
        others = [entry for entry in self.router_addresses if entry != address] or [
            address
        ]
        return others[int(rng.integers(len(others)))]

    def prepare_request(self, worker, rng, number):
        """Return the next request of a worker."""
        mu = np.log(worker.mix.mean_tokens) - worker.mix.sigma**2 / 2
        tokens = max(1, int(rng.lognormal(mu, worker.mix.sigma)))
        text = f"{worker.account} {worker.seed} {number} " + "x" * 40
        headers = {
            "Authorization": f"Bearer {get_account_key(worker.account)}",
            CLASS_HEADER: worker.mix.work_class.value,
            "Content-Type": "application/json",
        }
        if worker.mix.work_class is WorkClass.BOOKING and self.service:
            key = f"{worker.account}-{worker.seed}-{number}"
            headers["Idempotency-Key"] = key
            path = f"/services/{self.service}/hold/{number}"
            return _PreparedRequest("POST", path, headers, text.encode(), key, None)
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": worker.mix.stream,
        }
        data = json.dumps(body).encode()
        expected = make_response_text(text, tokens)
        return _PreparedRequest(
            "POST", "/v1/chat/completions", headers, data, "", expected
        )

    def send(self, worker, req, conn):
        """Send a request; return its `RequestResult` and the connection to use next."""
        sent = time.monotonic()
        outcome, fault, cost, status, first = "unknown", "", 0.0, 0, 0.0
        try:
            conn.request(req.method, req.path, body=req.body, headers=req.headers)
            resp = conn.getresponse()
            first = time.monotonic()
            body = resp.data
            status = resp.status
            default = "complete" if worker.mix.stream and status == 200 else "unknown"
            outcome = resp.headers.get(OUTCOME_HEADER, default)
            if status == 200:
                fault, cost = self._check(worker, req, body)
        except TimeoutError:
            fault = "lost"
            conn.close()
            conn = connect(worker.address)
        except (OSError, HTTPError, HTTPException) as exc:
            # A load balancer would send the request to another router after a
            # refused connection.
            refused = isinstance(exc, NewConnectionError)
            fault = "" if refused else "cut"
            outcome = "refused" if refused else "unknown"
            conn.close()
            conn = connect(
                self._choose_other_router(worker.address, np.random.default_rng())
            )
        result = RequestResult(
            worker.account,
            worker.mix.work_class.value,
            sent,
            time.monotonic(),
            cost,
            outcome,
            fault,
            req.key,
            status,
            first - sent if first else 0.0,
        )
        return result, conn

    def _check(self, worker, req, body):
        """Compare a response with the expected text; return ``(fault, cost)``."""
        try:
            if req.expected is None:
                return ("" if json.loads(body)["key"] == req.key else "crossed"), 0.0
            if worker.mix.stream:
                text, usage = _join_stream(body)
            else:
                answer = json.loads(body)
                text = answer["choices"][0]["message"]["content"]
                usage = answer["usage"]
        except (ValueError, KeyError, IndexError, TypeError):
            return "cut", 0.0
        cost = usage["prompt_tokens"] * self.costs[0]
        cost += usage["completion_tokens"] * self.costs[1]
        return ("" if text == req.expected else "crossed"), cost


class _PreparedRequest(NamedTuple):
    method: str
    path: str
    headers: dict
    body: bytes
    key: str
    expected: str | None


def connect(address):
    """Return a connection to a router, which is opened by the first request."""
    host, _, port = address.rpartition(":")
    return HTTPConnection(host, int(port), timeout=_TIMEOUT_S)


def _join_stream(body):
    parts = []
    usage = None
    blocks = body.decode().split("\n\n")
    if "data: [DONE]" not in blocks:
        raise ValueError("stream has no [DONE] event")
    for block in blocks:
        if not block.startswith("data: {"):
            continue
        event = json.loads(block[6:])
        usage = event.get("usage") or usage
        parts += [c["delta"]["content"] for c in event["choices"]]
    return "".join(parts).removesuffix(" "), usage
