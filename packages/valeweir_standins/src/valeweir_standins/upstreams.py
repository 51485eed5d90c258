"""Stand-ins for a model engine and a plain service."""

import threading
import time

import msgspec
import xxhash
from valeweir.servers import create_server

from .faults import FaultSwitch

_WORDS = ("berth", "gate", "seat", "lock", "tide", "crane", "rail", "coach")


class ChatBody(msgspec.Struct):
    """The fields of a model request that the engine reads."""

    model: str
    messages: list[dict] = []
    prompt: str = ""
    max_tokens: int = 16
    stream: bool = False


class SlotPool:
    """The slots of a stand-in, with counts of its runs.

    ``runs`` counts the runs of each idempotency key or request id.
    """

    def __init__(self, slots):
        self.slots = slots
        self.runs = {}
        self.done = 0
        self.cancelled = 0
        self._busy = 0
        self._busy_time = 0.0
        self._updated_at = time.monotonic()
        self._lock = threading.Lock()
        self._free_slots = threading.Semaphore(slots)
        self.max_queued = 0
        self._queued = 0

    def acquire_slot(self, key):
        """Wait for a free slot and count the run."""
        with self._lock:
            self._queued += 1
            self.max_queued = max(self.max_queued, self._queued)
        self._free_slots.acquire()
        with self._lock:
            self._queued -= 1
            self._change_busy(1)
            if key:
                self.runs[key] = self.runs.get(key, 0) + 1

    def release_slot(self, cancelled):
        """Release the slot and count the run's end."""
        with self._lock:
            self._change_busy(-1)
            self.done += 1
            self.cancelled += cancelled
        self._free_slots.release()

    def get_stats(self):
        """Return the statistics that experiments read.

        ``busy_time`` is the sum of the busy seconds of all slots until ``at``.
        """
        with self._lock:
            self._change_busy(0)
            return {
                "slots": self.slots,
                "busy": self._busy,
                "busy_time": self._busy_time,
                "at": self._updated_at,
                "done": self.done,
                "cancelled": self.cancelled,
                "most_queued": self.max_queued,
                "doubled": sum(1 for n in self.runs.values() if n > 1),
                "runs": len(self.runs),
            }

    def _change_busy(self, delta):
        now = time.monotonic()
        self._busy_time += self._busy * (now - self._updated_at)
        self._updated_at = now
        self._busy += delta


def make_response_text(seed_text, tokens):
    """Return the response text of a prompt, which is the same on each call."""
    state = xxhash.xxh64_intdigest(seed_text.encode())
    words = []
    for number in range(tokens):
        words.append(_WORDS[(state >> (number % 48)) % len(_WORDS)])
    return f"{state:016x} " + " ".join(words)


def create_engine(address, model, slots, token_time, prompt_time, seed=0):
    """Return a server that behaves as a model engine.

    Parameters
    ----------
    token_time, prompt_time : float
        Seconds per output token and per prompt character.
    """
    slot_pool = SlotPool(slots)
    switch = FaultSwitch(seed)
    last_response = {}

    def handle(request, reply):
        if request.path == "/faults":
            switch.serve(request, reply)
        elif request.path == "/stats":
            reply.send_json(200, slot_pool.get_stats())
        elif request.path == "/runs":
            reply.send_json(200, slot_pool.runs)
        elif switch.faults.outage or switch.should_inject(switch.faults.refuse):
            reply.send_json(503, {"error": {"message": "engine is not available"}})
        else:
            _serve_chat(request, reply)

    def _serve_chat(request, reply):
        body = msgspec.json.decode(request.body, type=ChatBody)
        prompt = body.prompt or str(body.messages[-1].get("content", ""))
        text = make_response_text(prompt, body.max_tokens)
        request_id = request.headers.get("X-Request-Id", "")
        if switch.should_inject(switch.faults.crossed) and last_response:
            request_id, text = last_response["id"], last_response["text"]
        last_response.update(id=request_id, text=text)
        slot_pool.acquire_slot(request_id)
        cancelled = False
        try:
            time.sleep(switch.faults.late + prompt_time * len(prompt))
            usage = {
                "prompt_tokens": max(1, len(prompt) // 4),
                "completion_tokens": body.max_tokens,
            }
            if body.stream:
                cancelled = _send_stream(reply, text, usage, request_id)
            else:
                cancelled = _sleep_unless_disconnected(
                    reply, token_time * body.max_tokens
                )
                if not cancelled:
                    _send_unary(reply, text, usage, request_id)
        except OSError:
            cancelled = True
        finally:
            slot_pool.release_slot(cancelled)

    def _send_unary(reply, text, usage, request_id):
        if switch.should_inject(switch.faults.drop):
            reply.drop()
            return
        choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        body = {"object": "chat.completion", "model": model}
        body |= {"choices": [choice], "usage": usage}
        data = msgspec.json.encode(body)
        headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
        if switch.should_inject(switch.faults.cut):
            reply.start_stream(200, headers)
            reply.write(data[: len(data) // 2])
            reply.abort()
            return
        reply.send(200, headers, data)

    def _send_stream(reply, text, usage, request_id):
        headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", request_id)]
        reply.start_stream(200, headers)
        words = text.split(" ")
        stop_at = len(words) // 2 if switch.should_inject(switch.faults.cut) else -1
        for number, word in enumerate(words):
            if number == stop_at:
                reply.abort()
                return False
            delta = {"index": 0, "delta": {"content": word + " "}}
            reply.write(_make_event({"choices": [delta]}))
            time.sleep(token_time)
        reply.write(_make_event({"choices": [], "usage": usage}))
        reply.write(b"data: [DONE]\n\n")
        return False

    return create_server(address, handle, threads=512)


def create_service(address, slots, call_time, seed=0):
    """Return a server that behaves as a plain service.

    Its response to a request contains the request's idempotency key, and it counts
    the runs of each key.
    """
    slot_pool = SlotPool(slots)
    switch = FaultSwitch(seed)

    def handle(request, reply):
        if request.path == "/faults":
            switch.serve(request, reply)
        elif request.path == "/stats":
            reply.send_json(200, slot_pool.get_stats())
        elif request.path == "/runs":
            reply.send_json(200, slot_pool.runs)
        elif switch.faults.outage or switch.should_inject(switch.faults.refuse):
            reply.send_json(503, {"error": "service is not available"})
        else:
            _serve_call(request, reply)

    def _serve_call(request, reply):
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        slot_pool.acquire_slot(key or request_id)
        try:
            time.sleep(call_time + switch.faults.late)
            if switch.should_inject(switch.faults.drop):
                reply.drop()
                return
            response = {"key": key, "path": request.target, "echo": len(request.body)}
            headers = [("X-Request-Id", request_id)]
            reply.send_json(200, response, headers)
        finally:
            slot_pool.release_slot(False)

    return create_server(address, handle, threads=512)


def _sleep_unless_disconnected(reply, seconds):
    """Sleep until the time has passed or the client disconnects.

    Returns whether the client disconnected.
    """
    deadline = time.monotonic() + seconds
    while True:
        left = deadline - time.monotonic()
        if left <= 0:
            return False
        time.sleep(min(left, 0.25))
        if left > 0.25 and reply.is_disconnected():
            return True


def _make_event(value):
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
