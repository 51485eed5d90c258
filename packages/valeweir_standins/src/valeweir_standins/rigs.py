"""Runs a whole fleet as local processes on loopback, for demos and experiments."""

import contextlib
import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import urllib3
from valeweir.resources import Change

from .relays import NetworkPartition

ROOT_KEY = "rig-root-key"
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0


def get_account_key(account):
    """Return the bearer key of a rig's account."""
    return f"key-of-{account}"


def get_free_ports(count):
    """Return loopback ports that are currently free."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
    return ports


class Process:
    """A started process and its listening address."""

    def __init__(self, name, popen, address):
        self.name = name
        self.popen = popen
        self.address = address

    def send_signal(self, number):
        """Send a signal if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)


class Rig:
    """The stand-ins and routers of a `Deployment`, started and stopped together.

    Parameters
    ----------
    sharing : str
        ``leases``, ``static`` or ``oracle``; ``oracle`` runs a single router.
    overrides : dict
        Settings by section, which replace the defaults.
    relays : bool
        Whether to place a relay on each path between failure domains, so that the
        path can be cut.
    """

    def __init__(
        self,
        deployment,
        sharing="leases",
        overrides=None,
        token_time=0.01,
        relays=False,
    ):
        self.deployment = deployment
        self.sharing = sharing
        self.overrides = overrides or {}
        self.token_time = token_time
        self.http = urllib3.PoolManager(num_pools=200, maxsize=8, retries=False)
        self.upstreams = {}
        self.routers = {}
        self.admin_addresses = {}
        self.log = None
        self.membership = None
        self.partition = NetworkPartition() if relays else None
        self.findings = {}
        self.lease_s = self.overrides.get("fleet", {}).get("lease", 4.0)
        self._folder = None
        self._settings = {}

    def __enter__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="valeweir-")
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc):
        self.close()

    @property
    def folder(self):
        """The folder of the settings and the processes' logs."""
        return Path(self._folder.name)

    def close(self):
        """Kill every process that the rig started."""
        processes = [*self.routers.values(), *self.upstreams.values()]
        processes += [p for p in (self.log, self.membership) if p is not None]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.popen.wait()
        if self.partition is not None:
            self.partition.close()
        self._folder.cleanup()

    # -- single processes --------------------------------------------------

    def start_router(self, host):
        """Start or restart a router."""
        path = self._settings[host]
        command = [sys.executable, "-m", "valeweir_router.main", str(path)]
        with open(self.folder / f"{host}.log", "ab") as out:
            popen = subprocess.Popen(command, stdout=out, stderr=out)
        address = json.loads(path.read_text())["callers"]["address"]
        self.routers[host] = Process(host, popen, address)

    def start_upstream(self, name):
        """Start or restart an upstream at its address."""
        upstream = next(u for u in self.deployment.upstreams if u.name == name)
        address = self.upstreams[name].address
        self.upstreams[name] = self._start_standin(
            upstream.name, self._make_standin_args(upstream), address
        )

    def wait_ready(self, hosts=None):
        """Wait until the routers report that they are ready."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        for host in hosts or list(self.routers):
            while not self._is_ready(host):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"router {host} is not ready; its log is in {self.folder}"
                    )
                time.sleep(0.05)

    def wait_leasable(self):
        """Wait until the owner of every upstream may lease out its slots."""
        deadline = time.monotonic() + _READY_TIMEOUT_S
        wanted = len(self.deployment.upstreams)
        while time.monotonic() < deadline:
            rows = [r for h in self.routers for r in self.get_fleet(h)["upstreams"]]
            settled = {r["name"] for r in rows if r["settled"]}
            if len(settled) == wanted or self.sharing == "static":
                return
            time.sleep(0.2)

    # -- requests to the processes -------------------------------------------

    def get_json(self, address, path):
        """Return the decoded JSON response to a GET request."""
        headers = {"Authorization": f"Bearer {ROOT_KEY}"}
        resp = self.http.request(
            "GET", f"http://{address}{path}", headers=headers, timeout=5.0
        )
        return msgspec.json.decode(resp.data)

    def get_fleet(self, host):
        """Return one router's view of the fleet."""
        return self.get_json(self.admin_addresses[host], "/v1/fleet")

    def get_metrics(self, host):
        """Return a router's metrics: the value of each sample name with its labels."""
        url = f"http://{self.admin_addresses[host]}/metrics"
        text = self.http.request("GET", url, timeout=5.0).data.decode()
        pairs = (ln.rpartition(" ") for ln in text.splitlines() if ln[:1] != "#")
        return {name: float(value) for name, _, value in pairs}

    def set_faults(self, process, **faults):
        """Set the faults of a stand-in; faults that are not named are switched off."""
        url = f"http://{process.address}/faults"
        self.http.request("PUT", url, body=json.dumps(faults))

    def patch(self, host, path, spec):
        """Merge-patch a resource through a router's API and return the status."""
        headers = {"Authorization": f"Bearer {ROOT_KEY}"}
        resp = self.http.request(
            "PATCH",
            f"http://{self.admin_addresses[host]}/v1/{path}",
            body=json.dumps({"spec": spec}),
            headers=headers,
            timeout=15.0,
        )
        return resp.status

    def change_weight(self, host, account):
        """Write an account's weight again through a router's API."""
        status = self.patch(host, f"shares/{account.name}", {"weight": account.weight})
        name = f"change_{status}"
        self.findings[name] = self.findings.get(name, 0) + 1

    def set_upstream_state(self, name, state):
        """Set an upstream's state through the first router's API."""
        host = next(iter(self.routers))
        self.findings["state_change"] = self.patch(
            host, f"upstreams/{name}", {"state": state}
        )

    def record_exit_code(self, host, code):
        """Count the exit code of a planned stop."""
        name = f"exit_{code}"
        self.findings[name] = self.findings.get(name, 0) + 1

    def append_change(self, kind, name, spec, base=0):
        """Append a change to the log without a router."""
        change = Change(
            id=os.urandom(8).hex(), kind=kind, name=name, base=base, spec=spec
        )
        body = msgspec.json.encode({"change": change})
        self.http.request("POST", f"http://{self.log.address}/append", body=body)

    # -- start ---------------------------------------------------------------

    def _start(self):
        router_specs = self._get_router_specs()
        ports = iter(
            get_free_ports(3 * len(router_specs) + len(self.deployment.upstreams) + 2)
        )

        def allocate_address():
            return f"127.0.0.1:{next(ports)}"

        self.log = self._start_standin("log", ["log"], allocate_address())
        self.membership = self._start_standin(
            "membership", ["membership"], allocate_address()
        )
        for upstream in self.deployment.upstreams:
            args = self._make_standin_args(upstream)
            self.upstreams[upstream.name] = self._start_standin(
                upstream.name, args, allocate_address()
            )
        for process in (self.log, self.membership, *self.upstreams.values()):
            _wait_listening(process)
        self._append_configuration()
        fleet_addresses = {p.host: allocate_address() for p in router_specs}
        if self.partition is None:
            self._publish_members(router_specs, fleet_addresses)
        for router in router_specs:
            seeds = self._get_seeds(router, router_specs, fleet_addresses)
            self._write_settings(
                router,
                seeds,
                fleet_addresses[router.host],
                allocate_address(),
                allocate_address(),
            )
            self.start_router(router.host)
        self.wait_ready()
        self.wait_leasable()

    def _get_seeds(self, router, router_specs, fleet_addresses):
        """Return a router's seeds; those in other domains may be behind relays."""
        rows = []
        for other in router_specs:
            address = fleet_addresses[other.host]
            if self.partition is not None and other.domain != router.domain:
                address = self.partition.make_relay(
                    router.domain, other.domain, address
                )
            row = {"host": other.host, "domain": other.domain, "address": address}
            rows.append(row)
        return rows

    def _get_router_specs(self):
        routers = self.deployment.routers
        return routers[:1] if self.sharing == "oracle" else routers

    def _make_standin_args(self, upstream):
        args = [upstream.kind, "--slots", str(upstream.slots)]
        if upstream.kind == "engine":
            args += ["--model", upstream.pool, "--token-time", str(self.token_time)]
        return args

    def _start_standin(self, name, args, address):
        command = [sys.executable, "-m", "valeweir_cli.main", "standin", *args]
        with open(self.folder / f"{name}.log", "ab") as out:
            popen = subprocess.Popen(
                [*command, "--address", address], stdout=out, stderr=out
            )
        return Process(name, popen, address)

    def _append_configuration(self):
        partner = self.deployment.partner
        self.append_change("partners", partner, {"keys": []})
        for upstream in self.deployment.upstreams:
            spec = {
                "partner": partner,
                "pool": upstream.pool,
                "kind": upstream.kind,
                "domain": upstream.domain,
                "address": self.upstreams[upstream.name].address,
                "slots": upstream.slots,
            }
            self.append_change("upstreams", upstream.name, spec)
        for account in self.deployment.accounts:
            key_hash = hashlib.sha256(
                get_account_key(account.name).encode()
            ).hexdigest()
            spec = {"partner": partner, "key_hashes": [key_hash]}
            self.append_change("client-accounts", account.name, spec)
            spec = {"account": account.name, "weight": account.weight}
            self.append_change("shares", account.name, spec)

    def _publish_members(self, router_specs, fleet_addresses):
        rows = [
            [p.host, p.domain, "router", fleet_addresses[p.host], "live"]
            for p in router_specs
        ]
        url = f"http://{self.membership.address}/hosts"
        self.http.request("PUT", url, body=json.dumps(rows))

    def _write_settings(self, router, seeds, fleet_address, callers, admin):
        mode = "static" if self.sharing == "static" else "leases"
        cfg = {
            "host": router.host,
            "domain": router.domain,
            "callers": {"address": callers},
            "admin": {
                "address": admin,
                "operator_key_sha256": hashlib.sha256(ROOT_KEY.encode()).hexdigest(),
            },
            "fleet": {"address": fleet_address, "seeds": seeds},
            "platform": {
                "log": f"http://{self.log.address}",
                "membership": f"http://{self.membership.address}",
            },
            "sharing": {"mode": mode},
            "stop": {"balancer_wait": 1.0},
        }
        for section, values in self.overrides.items():
            cfg.setdefault(section, {}).update(values)
        path = self.folder / f"{router.host}.json"
        path.write_text(json.dumps(cfg, indent=2))
        self._settings[router.host] = path
        self.admin_addresses[router.host] = admin

    def _is_ready(self, host):
        try:
            url = f"http://{self.admin_addresses[host]}/readyz"
            return self.http.request("GET", url, timeout=2.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def _wait_listening(process):
    host, _, port = process.address.rpartition(":")
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port)), timeout=1.0).close()
            return
        time.sleep(0.02)
    raise TimeoutError(f"{process.name} does not accept connections")
