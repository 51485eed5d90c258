"""HTTP protocol for callers: paths, request headers, errors and token usage."""

import hashlib
from typing import NamedTuple

import msgspec
from valeweir.models import (
    CLASS_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Refusal,
    WorkClass,
)

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
_PREFIX_BYTES = 512
_MAX_DEADLINE_S = 3600.0


class ModelBody(msgspec.Struct):
    """Fields of a model call's body that are parsed; all others are ignored."""

    model: str
    stream: bool = False


class TokenUsage(msgspec.Struct):
    """Token counts that an engine reports in its response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class UsageBody(msgspec.Struct):
    """Response body or stream event that may contain the usage."""

    usage: TokenUsage | None = None


class ParsedRequest(NamedTuple):
    """Parameters of a request, parsed from its path, headers and body.

    ``pool`` is the name of a model or a plain service. ``deadline`` is in
    seconds from now. ``prefix`` is a hash of the start of a model call's body.
    """

    pool: str
    is_model: bool
    target: str
    work_class: WorkClass
    deadline: float
    stream: bool
    prefix: str


_model_decoder = msgspec.json.Decoder(ModelBody)
_usage_decoder = msgspec.json.Decoder(UsageBody)


def parse_request(request, default_deadline):
    """Return the `ParsedRequest` of a request, or a `Refusal`."""
    deadline = _parse_deadline(request.headers, default_deadline)
    if isinstance(deadline, Refusal):
        return deadline
    if request.path in MODEL_PATHS:
        return _parse_model_call(request, deadline)
    if request.path.startswith(SERVICE_PREFIX):
        return _parse_service_call(request, deadline)
    return Refusal(
        404,
        "unknown-path",
        f"nothing is served at {request.path}",
        "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/",
    )


def hash_bearer_key(headers):
    """Return the SHA-256 of the bearer key in hexadecimal, or None."""
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return hashlib.sha256(key.strip().encode()).hexdigest()


def parse_usage(body):
    """Return the `TokenUsage` in a response body or a stream event, or None."""
    try:
        return _usage_decoder.decode(body).usage
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def send_refusal(reply, refusal, request_id):
    """Send the response for a refusal in the format that model clients expect."""
    headers = [
        (OUTCOME_HEADER, refusal.outcome.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", str(refusal.retry_after)))
    error = {
        "message": f"{refusal.message}; {refusal.advice}",
        "type": "valeweir_error",
        "code": refusal.code,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    reply.send_json(refusal.status, {"error": error}, headers)


class StreamMeter:
    """Counts the events of a server-sent event stream and detects its end marker.

    ``usage`` is the last `TokenUsage` in the stream, or None.
    """

    END_MARKER = b"data: [DONE]"

    def __init__(self):
        self.events = 0
        self.usage = None
        self.ended = False
        self._tail = b""

    def feed(self, part):
        """Parse the next bytes of the stream; return the number of new events."""
        data = self._tail + part
        *blocks, self._tail = data.split(b"\n\n")
        new_event_count = 0
        for block in blocks:
            if block == self.END_MARKER:
                self.ended = True
            elif block.startswith(b"data:"):
                new_event_count += 1
                if b'"usage"' in block:
                    self.usage = parse_usage(block[5:]) or self.usage
        self.events += new_event_count
        return new_event_count


def _parse_deadline(headers, default):
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return default
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = -1.0
    if not 0 < deadline_s <= _MAX_DEADLINE_S:
        return Refusal(
            400,
            "bad-deadline",
            f"{DEADLINE_HEADER} is not a number of seconds up to {_MAX_DEADLINE_S:g}",
            "send the seconds you will wait, or leave the header out",
        )
    return deadline_s


def _parse_class(headers, default):
    text = headers.get(CLASS_HEADER)
    if text is None:
        return default
    try:
        return WorkClass(text.lower())
    except ValueError:
        names = ", ".join(c.value for c in WorkClass)
        return Refusal(
            400,
            "unknown-class",
            f"there is no class of work {text!r}",
            f"use one of {names}, or leave the header out",
        )


def _parse_model_call(request, deadline):
    if request.method != "POST":
        return Refusal(
            405, "bad-method", "model calls require the method POST", "use POST"
        )
    try:
        body = _model_decoder.decode(request.body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        return Refusal(
            400,
            "bad-body",
            f"the body is no model call: {exc}",
            "mend it",
        )
    work_class = _parse_class(request.headers, WorkClass.CHAT)
    if isinstance(work_class, Refusal):
        return work_class
    prefix = hashlib.blake2b(request.body[:_PREFIX_BYTES], digest_size=8).hexdigest()
    return ParsedRequest(
        body.model, True, request.target, work_class, deadline, body.stream, prefix
    )


def _parse_service_call(request, deadline):
    name, _, _ = request.path[len(SERVICE_PREFIX) :].partition("/")
    work_class = _parse_class(request.headers, WorkClass.BOOKING)
    if isinstance(work_class, Refusal):
        return work_class
    target = request.target[len(SERVICE_PREFIX) + len(name) :] or "/"
    if not target.startswith("/"):
        target = "/" + target
    return ParsedRequest(name, False, target, work_class, deadline, False, "")
