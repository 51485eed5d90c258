"""The way of one request: checks, place, send, answer."""

from valeweir.models import Outcome

from . import admission, streams
from .catalog import RouteKind
from .connections import connect
from .exchanges import (
    Call,
    Exchange,
    Failure,
    Fault,
    Head,
    prepare_headers,
)
from .placement import choose_engine, choose_instance
from .prompts import parse_prompt
from .refusals import Refusal, send_refusal

_LEAST_LEFT = 0.02
_ANSWER_MARGIN = 0.03
_MAX_CONNECTS = 3
_FRESH_WITHIN = 1.0
_PROMISES = frozenset((408, 421, 429, 503))
_UNRUN = frozenset((Fault.NOT_SENT, Fault.REJECTED))
_SERVER_ERROR = 500
_MISDIRECTED = 421
_UNREADY_RETRY = 0.5
_ELSEWHERE_RETRY = 0.05
_BUSY_RETRY = 0.4


class Job:
    """One request on its way. Times are on the steady clock."""

    __slots__ = (
        "account",
        "allowed",
        "answered",
        "arrived",
        "catalog",
        "deadline",
        "excluded",
        "id",
        "last_event_id",
        "may_have_run",
        "prompt",
        "reply",
        "request",
        "route",
        "sends",
        "service",
    )

    def __init__(self, request, reply, catalog, arrived):
        self.request = request
        self.reply = reply
        self.catalog = catalog
        self.arrived = arrived
        self.id = ""
        self.route = None
        self.account = None
        self.prompt = None
        self.allowed = 0.0
        self.deadline = arrived
        self.service = None
        self.excluded = set()
        self.sends = 0
        self.answered = 0
        self.last_event_id = None
        self.may_have_run = False


def create_handler(state):
    """Return the function that serves clients' requests."""

    def handle(request, reply):
        if state.stopping:
            reply.close()
        state.enter()
        try:
            _handle(state, request, reply)
        except Exception as exc:
            # One request's fault must neither end a thread nor go unanswered.
            _fail(state, request, reply, exc)
        finally:
            state.leave()

    return handle


def _handle(state, request, reply):
    job = Job(request, reply, state.catalog, state.clock())
    job.id = request.headers.get(_title(state.names.request_id), "")
    refusal = _check(state, job)
    if refusal is None:
        refusal = _serve(state, job)
    if refusal is not None:
        _refuse(state, job, refusal)


def _fail(state, request, reply, exc):
    request_id = request.headers.get(_title(state.names.request_id), "")
    state.log.note("request failed", failed=True, id=request_id, why=repr(exc))
    if reply.started:
        reply.cut()
        return
    refusal = Refusal(502, "internal", Outcome.UNKNOWN)
    try:
        send_refusal(reply, refusal, request_id, state.names.request_id)
    except OSError:
        reply.close()


def _check(state, job):
    """Fill in the job; return a `Refusal` for what cannot be served."""
    if state.refusing:
        return Refusal(503, "stopping", retry_after=_ELSEWHERE_RETRY)
    if job.catalog is None:
        return Refusal(503, "not-ready", retry_after=_UNREADY_RETRY)
    headers = job.request.headers
    path = job.request.target.partition("?")[0]
    job.route = job.catalog.find_route(headers.get("Host", ""), path)
    if job.route is None:
        return Refusal(404, "no-route")
    if not job.route.public and job.catalog.needs_key:
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        job.account = job.catalog.find_account(key.strip())
        if job.account is None or scheme.lower() != "bearer":
            return Refusal(401, "unknown-key")
    job.allowed = _get_time_allowed(state, job)
    job.deadline = job.arrived + job.allowed
    job.service = _choose_service(state, job.route)
    job.last_event_id = headers.get(_title(state.names.last_event_id))
    if job.route.kind is RouteKind.STREAM:
        job.prompt = parse_prompt(
            headers.get(_title(state.names.token_counts)),
            headers.get(_title(state.names.prompt_parts)),
        )
    return None


def _get_time_allowed(state, job):
    allowed = job.route.timeout
    text = job.request.headers.get(_title(state.names.deadline))
    if text is not None:
        try:
            allowed = min(allowed, float(text) / 1000.0)
        except ValueError:
            pass
    return max(0.0, allowed - _ANSWER_MARGIN)


def _choose_service(state, route):
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = state.rng.uniform(0.0, total)
    for target in route.targets:
        point -= target.weight
        if point <= 0.0:
            return target.service
    return route.targets[-1].service


def _serve(state, job):
    """Send the request until it is answered; return a `Refusal` or None."""
    connects = 0
    while True:
        now = state.clock()
        if job.deadline - now < _LEAST_LEFT:
            return _explain_late(job)
        choice = _place(state, job, now)
        if isinstance(choice, Refusal):
            return _be_honest(job, choice)
        failure = _attempt(state, job, choice)
        if failure is None:
            return None
        job.excluded.add(choice.instance.id)
        if failure.fault not in _UNRUN:
            job.may_have_run = True
        if failure.fault is Fault.NOT_SENT:
            connects += 1
            if connects < _MAX_CONNECTS:
                continue
            return _explain(state, job, failure)
        if not _may_repeat(state, job, failure):
            return _explain(state, job, failure)


def _place(state, job, now):
    """Return the `Choice` for the next send, or a `Refusal`."""
    ready = state.directory.get_ready(job.service)
    usable = [
        row
        for row in ready
        if row.id not in job.excluded and state.loads.is_usable(row.id, now)
    ]
    usable = [r for r in usable if not state.loads.is_silent(r.id, now)] or usable
    if not usable:
        # Instances that were set aside may still be better than none.
        usable = [row for row in ready if row.id not in job.excluded]
    if not usable:
        return Refusal(503, "no-upstream", retry_after=_BUSY_RETRY)
    if job.prompt is None:
        zone = state.cfg.domain
        return choose_instance(usable, state.loads, zone, now, state.rng)
    choice = choose_engine(job.prompt, usable, state.loads, now)
    if job.sends == 0:
        refusal = admission.decide(state, job, choice, now)
        _note_usage(state, job, refusal is None, now)
        if refusal is not None:
            return refusal
    return choice


def _note_usage(state, job, begun, now):
    if job.account is not None:
        state.shares.note(job.account.name, job.prompt.cost, begun, now)


def _attempt(state, job, choice):
    """Send once; return None when answered, or the `Failure`."""
    instance = choice.instance
    sock = _get_socket(state, job, instance)
    if isinstance(sock, Failure):
        _note_failure(state, job, choice, sock)
        return sock
    now = state.clock()
    if not state.directory.is_ready(instance.id):
        sock.close()
        return Failure(Fault.NOT_SENT, "the instance is leaving")
    exchange = Exchange(
        sock,
        job.reply,
        lambda kept, lifetime: state.connections.keep(instance.id, kept, lifetime),
        state.names.request_id,
    )
    if job.sends == 0:
        state.retries.note_request(job.service, now)
    job.sends += 1
    work = state.loads.start(instance.id, choice.tokens, now)
    if job.prompt is not None:
        _note_reads(state, job, choice, now)
    try:
        failure = _exchange(state, job, choice, exchange, work)
    finally:
        exchange.close()
        state.loads.finish(work, state.clock())
    _note_result(state, job, choice, failure, work)
    return failure


def _note_reads(state, job, choice, now):
    shared = job.prompt.parts[:-1]
    instance_id = choice.instance.id
    known = state.loads.is_cached
    state.reads.add(
        instance_id, [part for part in shared if not known(part.id, instance_id, now)]
    )
    state.loads.note_parts(shared, instance_id, now)


def _get_socket(state, job, instance):
    repeatable = job.route.repeatable
    longest_idle = 4.0 if repeatable else _FRESH_WITHIN
    sock = state.connections.take(instance.id, longest_idle)
    if sock is not None:
        return sock
    try:
        return connect(instance.address)
    except OSError as exc:
        return Failure(Fault.NOT_SENT, f"no connection: {exc}")


def _exchange(state, job, choice, exchange, work):
    failure = exchange.send(_prepare_call(state, job, choice))
    if failure is not None:
        return failure
    head = exchange.read(_get_attempt_end(state, job))
    if isinstance(head, Failure):
        return head
    if not isinstance(head, Head):
        return Failure(Fault.AMBIGUOUS, "no head")
    if state.names.not_run.lower() in head.headers or head.status == _MISDIRECTED:
        return _reject(exchange, head)
    signed = state.names.signature.lower() in head.headers
    if head.status < 300 and not signed:
        return Failure(Fault.AMBIGUOUS, "unsigned success", head.status)
    if head.status in _PROMISES and not signed:
        return Failure(Fault.AMBIGUOUS, "unsigned promise", head.status)
    if job.route.kind is RouteKind.STREAM and head.status == 200:
        return streams.forward_stream(state, job, exchange, head, work)
    body = exchange.read_body()
    if isinstance(body, Failure):
        return body
    state.loads.note_progress(work, state.clock())
    if head.status >= _SERVER_ERROR and _may_answer_differently(state, job):
        return Failure(Fault.AMBIGUOUS, "server error", head.status)
    _send_answer(job, head, body)
    return None


def _reject(exchange, head):
    # Reading the rest of a rejection keeps the connection for the next one.
    body = exchange.read_body()
    if isinstance(body, Failure):
        exchange.close()
    return Failure(Fault.REJECTED, f"rejected with {head.status}", head.status)


def _may_answer_differently(state, job):
    """Return whether a failed safe request is worth another upstream."""
    if job.route.kind is not RouteKind.SAFE or job.sends >= job.route.max_attempts:
        return False
    if job.deadline - state.clock() < job.route.goal / 4:
        return False
    return _has_alternative(state, job)


def _has_alternative(state, job):
    return len(state.directory.get_ready(job.service)) > len(job.excluded) + 1


def _get_attempt_end(state, job):
    """Return when to try elsewhere, for requests that may be repeated."""
    if job.route.kind is not RouteKind.SAFE or job.sends >= job.route.max_attempts:
        return None
    now = state.clock()
    return now + min(job.route.goal, (job.deadline - now) / 2)


def _prepare_call(state, job, choice):
    names = state.names
    request = job.request
    left = job.deadline + _ANSWER_MARGIN - state.clock()
    added = [
        (names.deadline, str(max(1, int(left * 1000)))),
        (names.expected_instance, choice.instance.id),
        (names.account, job.account.name if job.account else None),
    ]
    dropped = state.reserved_headers
    if job.last_event_id is not None:
        dropped = dropped | {names.last_event_id.lower()}
        added.append((names.last_event_id, job.last_event_id))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        added.append(("Content-Length", str(len(request.body))))
    headers = prepare_headers(request.headers, dropped, added)
    return Call(
        job.id, request.method, request.target, headers, request.body, job.deadline
    )


def _send_answer(job, head, body):
    job.answered = head.status
    try:
        job.reply.send(head.status, list(head.headers.items()), body)
    except OSError:
        job.reply.close()


def _may_repeat(state, job, failure):
    if failure.fault in (Fault.GONE, Fault.LATE):
        return False
    if job.reply.started and not _may_resume(job):
        return False
    unrun = failure.fault is Fault.REJECTED
    if not unrun and not job.route.repeatable:
        return False
    misdirected = unrun and failure.status == _MISDIRECTED
    if job.sends >= job.route.max_attempts and not misdirected:
        return False
    if job.sends > job.route.max_attempts:
        return False
    return state.retries.spend(job.service, state.clock())


def _be_honest(job, refusal):
    """Return the refusal, or one that promises nothing where it may have run."""
    if job.may_have_run:
        return Refusal(502, refusal.code, Outcome.UNKNOWN)
    return refusal


def _may_resume(job):
    """Return whether a stream that broke may go on inside the same answer."""
    return job.route.resumable and bool(job.last_event_id)


def _explain_late(job):
    if not job.may_have_run:
        return Refusal(503, "deadline", retry_after=_BUSY_RETRY)
    return Refusal(504, "deadline", Outcome.UNKNOWN)


def _explain(state, job, failure):
    """Return the `Refusal` that tells what became of the request, or None."""
    if failure.fault is Fault.GONE or job.reply.started:
        return Refusal(499, "client-gone", Outcome.UNKNOWN)
    if failure.fault is Fault.LATE:
        return Refusal(504, "deadline", Outcome.UNKNOWN)
    if not job.may_have_run:
        return Refusal(503, failure.fault.value, retry_after=_BUSY_RETRY)
    return Refusal(502, failure.fault.value, Outcome.UNKNOWN)


def _refuse(state, job, refusal):
    state.metrics.refused.labels(refusal.code).inc()
    state.log.note(
        "request refused",
        failed=True,
        id=job.id,
        status=refusal.status,
        why=refusal.code,
        route=job.route.name if job.route else None,
        account=job.account.name if job.account else None,
        version=job.catalog.version if job.catalog else None,
        sends=job.sends,
        held_ms=_to_ms(state.clock() - job.arrived),
        retry_after=refusal.retry_after,
        **(refusal.inputs or {}),
    )
    if job.reply.started:
        job.reply.cut()
        return
    if refusal.status == 499:
        job.reply.drop()
        return
    try:
        send_refusal(job.reply, refusal, job.id, state.names.request_id)
    except OSError:
        job.reply.close()


def _note_result(state, job, choice, failure, work):
    now = state.clock()
    if failure is not None:
        _note_failure(state, job, choice, failure)
        return
    kind = job.route.kind.value
    state.metrics.served.labels(kind, job.answered).inc()
    state.metrics.request_seconds.labels(kind).observe(now - job.arrived)
    if work.first is not None and job.prompt is not None:
        state.metrics.first_seconds.observe(work.first)
        state.metrics.expected_seconds.observe(choice.wait)
    if state.loads.note_success(choice.instance.id, now):
        state.log.note("upstream back", upstream=choice.instance.id)
    state.log.note(
        "request served",
        id=job.id,
        status=job.answered,
        route=job.route.name,
        account=job.account.name if job.account else None,
        version=job.catalog.version,
        upstream=choice.instance.id,
        reason=choice.reason,
        expected_ms=_to_ms(choice.wait),
        unread=choice.tokens,
        ahead=work.ahead,
        first_ms=_to_ms(work.first or 0.0),
        sends=job.sends,
        took_ms=_to_ms(now - job.arrived),
    )


def _note_failure(state, job, choice, failure):
    now = state.clock()
    instance_id = choice.instance.id
    pause = None
    state.metrics.send_failures.labels(failure.fault.value).inc()
    if failure.status == _MISDIRECTED:
        state.loads.note_replaced(instance_id, now)
        state.connections.drop(instance_id)
    elif failure.fault in (Fault.GONE, Fault.LATE, Fault.REJECTED):
        state.loads.note_released(instance_id, now)
    else:
        severe = failure.fault is Fault.NOT_SENT
        pause = state.loads.note_error(instance_id, now, severe)
    state.log.note(
        "send failed",
        failed=True,
        id=job.id,
        fault=failure.fault.value,
        why=failure.text,
        status=failure.status,
        upstream=instance_id,
        sends=job.sends,
        ejected_s=pause,
        waited_ms=_to_ms(now - job.arrived),
    )


def _to_ms(seconds):
    return round(seconds * 1000.0, 1)


def _title(name):
    # The HTTP library gives header names in title case.
    return name.title()
