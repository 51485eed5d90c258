"""A router in the test process, with stand-in servers on free ports."""

import contextlib
import hashlib
import time

import msgspec
import urllib3
from loguru import logger
from valeweir.resources import Change
from valeweir.settings import prepare_settings
from valeweir_platform.adapters import create_log
from valeweir_router import control_plane
from valeweir_router.router import create_router
from valeweir_router.router_state import RouterState
from valeweir_standins import platform, upstreams

ROOT_KEY = "root"
logger.disable("valeweir_router")
logger.disable("valeweir_platform")
HTTP = urllib3.PoolManager(retries=False)


def get_address(server):
    return f"{server.bind_addr[0]}:{server.bind_addr[1]}"


def make_settings(host, log, membership, **sections):
    data = {
        "host": host,
        "domain": "haldia",
        "callers": {"address": "127.0.0.1:0"},
        "admin": {
            "address": "127.0.0.1:0",
            "operator_key_sha256": hashlib.sha256(ROOT_KEY.encode()).hexdigest(),
        },
        "fleet": {"address": "127.0.0.1:0", "interval": 0.1, "lease": 0.6},
        "platform": {
            "log": f"http://{get_address(log)}",
            "membership": f"http://{get_address(membership)}",
            "poll": 0.1,
        },
        "stop": {"balancer_wait": 0.0, "limit": 5.0},
    }
    for name, values in sections.items():
        data[name] = {**data.get(name, {}), **values}
    return prepare_settings(data, {})


class Fleet:
    """Context manager that runs one router and its stand-in servers."""

    def __init__(self, slots=2, **sections):
        self.stack = contextlib.ExitStack()
        self.sections = sections
        self.log = self.start_server(platform.create_log("127.0.0.1:0"))
        self.membership = self.start_server(
            platform.create_membership("127.0.0.1:0", [])
        )
        self.engine = self.start_server(
            upstreams.create_engine("127.0.0.1:0", "llm", slots, 0.0, 0.0)
        )
        self.service = self.start_server(
            upstreams.create_service("127.0.0.1:0", slots, 0.0)
        )
        self.create_resources(slots)

    def __enter__(self):
        cfg = make_settings("haldia-1", self.log, self.membership, **self.sections)
        self.router = create_router(cfg)
        self.router.start()
        self.stack.callback(self.router.stop)
        state = self.router.state
        wait_until(lambda: state.config_known and state.tables)
        wait_until(
            lambda: all(
                state.clock() >= t.recovery_ends_at for t in state.tables.values()
            )
        )
        self.callers = get_address(self.router.caller_server)
        self.admin = get_address(self.router.admin_server)
        return self

    def __exit__(self, *_exc):
        self.stack.close()

    def start_server(self, server):
        server.start_threads()
        self.stack.callback(server.stop)
        return server

    def append(self, kind, name, spec, base=0):
        change = Change(id=f"{kind}/{name}", kind=kind, name=name, base=base, spec=spec)
        log = create_log(f"http://{get_address(self.log)}", 2.0)
        return log.append({"change": msgspec.to_builtins(change)})

    def create_resources(self, slots):
        self.append("partners", "p", {"keys": []})
        for name, server, kind in (
            ("llm", self.engine, "engine"),
            ("api", self.service, "service"),
        ):
            spec = {"partner": "p", "pool": name, "kind": kind, "domain": "haldia"}
            spec |= {"address": get_address(server), "slots": slots}
            self.append("upstreams", f"{name}-1", spec)
        digest = hashlib.sha256(b"key-a").hexdigest()
        self.append("client-accounts", "a", {"partner": "p", "key_hashes": [digest]})

    def set_faults(self, server, **faults):
        body = msgspec.json.encode(faults)
        HTTP.request("PUT", f"http://{get_address(server)}/faults", body=body)

    def get_stats(self, server):
        resp = HTTP.request("GET", f"http://{get_address(server)}/stats")
        return msgspec.json.decode(resp.data)

    def call(self, method, path, body=None, headers=None):
        all_headers = {"Authorization": "Bearer key-a", **(headers or {})}
        url = f"http://{self.callers}{path}"
        return HTTP.request(method, url, body=body, headers=all_headers)

    def chat(self, **fields):
        body = {"model": "llm", "messages": [{"role": "user", "content": "hello"}]}
        data = msgspec.json.encode({**body, "max_tokens": 4, **fields})
        return self.call("POST", "/v1/chat/completions", data)

    def operate(self, method, path, body=None, headers=None, key=ROOT_KEY):
        all_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        data = None if body is None else msgspec.json.encode(body)
        return HTTP.request(
            method, f"http://{self.admin}{path}", body=data, headers=all_headers
        )


class FakeClock:
    """A clock whose time is set by the test."""

    def __init__(self):
        self.value = 1000.0

    def __call__(self):
        return self.value


class FakeLinks:
    """Records messages instead of sending them."""

    def __init__(self):
        self.sent = []

    def send(self, address, message):
        self.sent.append((address, message))


def make_state(slots):
    """Return ``(state, clock)`` of a router that owns one upstream after recovery."""
    clock = FakeClock()
    cfg = prepare_settings(
        {"host": "haldia-1", "domain": "haldia", "fleet": {"address": "127.0.0.1:0"}},
        {},
    )
    state = RouterState(cfg, "haldia-1#1", clock, seed=1)
    state.links = FakeLinks()
    spec = {"partner": "p", "pool": "llm", "kind": "engine", "domain": "haldia"}
    spec |= {"address": "127.0.0.1:9", "slots": slots}
    change = Change(id="u", kind="upstreams", name="u", base=0, spec=spec)
    state.configuration.apply_change(0, change)
    control_plane.apply_configuration(state)
    clock.value += 100.0
    return state, clock


def wait_until(condition, timeout_s=20.0):
    """Wait until a condition is true; fail the test after a generous timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the condition was not met in time")
        time.sleep(0.01)
