"""A small deployment on loopback: the store, machines with their nodes and endpoints, clients."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness.endpoint import Endpoint
from harness.http import send
from harness.record import Record
from harness.store import Store

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
"""The port of the deploy file; each machine has an address of its own, so it is free."""
HOST_NAME = "desk.example"
READY_TIMEOUT_S = 25.0
BOUNDS = {
    "seed_staleness_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "budget_slack": 56,
    "canary_share": 0.1,
    "canary_slack": 50,
    "rollback_ms": 5000,
    "recovery_s": 15,
}


class CaseError(Exception):
    """The case could not run."""


@dataclass
class Result:
    """What a client got; times are monotonic seconds, `status` is 0 without a response."""

    request: str
    machine: str
    method: str
    target: str
    sent: float
    ended: float
    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    error: str = ""


@dataclass
class Machine:
    """One machine: its addresses, the process of its node, and its endpoint."""

    name: str
    zone: str
    ip: str
    service: str
    ports: dict[str, int]
    store_port: int
    settings: Path
    log: Path
    endpoint: Endpoint
    process: subprocess.Popen[bytes] | None = None
    disturbed: float = 0.0


class Mesh:
    """Starts and ends everything; `services` names the service of each machine."""

    def __init__(
        self, record: Record, services: list[str], zones: list[str], work_s: Callable[[], float]
    ) -> None:
        self.record = record
        self.store = Store()
        self.results: list[Result] = []
        self.machines: list[Machine] = []
        self._folder = tempfile.TemporaryDirectory()
        self._count = 0
        self._clients: set[asyncio.Task[Any]] = set()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["node"]["run"].split()
        network = _find_network(len(services) + 1)
        self._store_ip = f"{network}.1"
        names = ("inbound", "outbound", "ready_addr", "control_plane", "app")
        for number, service in enumerate(services):
            ip = f"{network}.{number + 2}"
            ports = {}
            for name in names:
                ports[name] = _find_port(ip, set(ports.values()))
            zone = zones[number % len(zones)]
            name = f"sidecar-{zone}-{number + 1}"
            folder = Path(self._folder.name)
            endpoint = self.make_endpoint(f"i-{number + 1:04x}", service, ip, ports, zone, work_s)
            machine = Machine(
                name,
                zone,
                ip,
                service,
                ports,
                _find_port(self._store_ip, {m.store_port for m in self.machines}),
                folder / f"{name}.json",
                folder / f"{name}.log",
                endpoint,
            )
            self._write_settings(machine, zones)
            self.machines.append(machine)

    def make_endpoint(
        self,
        identity: str,
        service: str,
        ip: str,
        ports: dict[str, int],
        zone: str,
        work_s: Callable[[], float],
    ) -> Endpoint:
        """Return an endpoint for the machine with these addresses."""
        return Endpoint(
            self.record,
            identity,
            service,
            ip,
            ports["app"],
            ports["control_plane"],
            zone,
            work_s=work_s,
        )

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start the store, the endpoints and the nodes, and wait until all nodes are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CaseError("target/deps is missing: run the build of the deploy file first")
        self.write_config(1, routes)
        for machine in self.machines:
            await self.store.listen(self._store_ip, machine.store_port, machine.name)
            await machine.endpoint.start()
            self.start_node(machine)
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until every node says that it is ready."""
        end = time.monotonic() + READY_TIMEOUT_S
        for machine in self.machines:
            while not await self._is_ready(machine):
                if time.monotonic() > end:
                    raise CaseError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    async def _is_ready(self, machine: Machine) -> bool:
        port = machine.ports["ready_addr"]
        try:
            answer = await send(machine.ip, port, "GET", "/api/readiness", {"Host": "node"})
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def write_config(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration, as the operator does."""
        resources = [
            {"resource_type": "routes", "metadata": {"name": f"route-{number}"}, "spec": route}
            for number, route in enumerate(routes)
        ]
        for service in sorted({machine.service for machine in self.machines}):
            spec = {"health_path": "/health", "max_connections": 110}
            resources.append(
                {"resource_type": "services", "metadata": {"name": service}, "spec": spec}
            )
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        resources.append(
            {"resource_type": "limits", "metadata": {"name": "limits"}, "spec": limits}
        )
        self.store.put("config", "main", {"version": f"r{version}", "resources": resources})
        self.record.write("configuration acknowledged", version=f"r{version}")

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine with the command of the deploy file."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CORIANDERWALL_NODE_FILE"] = str(machine.settings)
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.disturbed = time.monotonic()
        self.record.write("node started", machine=machine.name, pid=machine.process.pid)

    def signal_node(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        if machine.process is None:
            raise CaseError(f"{machine.name} has no process")
        machine.process.send_signal(number)
        machine.disturbed = time.monotonic()
        self.record.write("signal", machine=machine.name, signal=number.name)
        if number is signal.SIGKILL:
            machine.process.wait()

    def send(
        self, machine: Machine, method: str, target: str, *, deadline_ms: int = 3000
    ) -> "asyncio.Task[Result]":
        """Send the request of a client on a machine; its result is added to `results`."""
        task = asyncio.ensure_future(self._send(machine, method, target, deadline_ms))
        self._clients.add(task)
        task.add_done_callback(self._clients.discard)
        return task

    async def _send(self, machine: Machine, method: str, target: str, deadline_ms: int) -> Result:
        self._count += 1
        identity = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": HOST_NAME,
            "Request-Id": identity,
            "Deadline-Ms": str(deadline_ms),
        }
        body = identity.encode() if method == "POST" else b""
        sent = time.monotonic()
        self.record.write(
            "sent", request=identity, machine=machine.name, method=method, target=target
        )
        result = Result(identity, machine.name, method, target, sent, sent, 0)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await send(
                    machine.ip, machine.ports["outbound"], method, target, headers, body
                )
            result.status, result.body, result.headers = (
                answer.status,
                answer.body,
                answer.headers,
            )
        except (OSError, TimeoutError) as error:
            result.error = repr(error)
        result.ended = time.monotonic()
        self.results.append(result)
        self.record.write(
            "answered",
            request=identity,
            status=result.status,
            signature=result.headers.get("response-signature", ""),
            error=result.error,
            took_ms=round((result.ended - sent) * 1000),
        )
        return result

    async def finish_clients(self) -> None:
        """Wait until all clients have got their results."""
        if self._clients:
            await asyncio.wait(set(self._clients))

    def close(self) -> None:
        """End all processes and servers."""
        for machine in self.machines:
            machine.endpoint.end()
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.store.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for machine in self.machines:
                Path(kept, machine.log.name).write_bytes(machine.log.read_bytes())
        self._folder.cleanup()

    def _write_settings(self, machine: Machine, zones: list[str]) -> None:
        ports = machine.ports
        limits = {
            "cpu_quota": 0.86,
            "cpu_cores": 1,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        }
        addresses = ("inbound", "outbound", "ready_addr", "control_plane")
        settings = {
            "self": {
                "node_name": machine.name,
                "role": "node",
                "instance_class": "sidecar",
                "serves": ["sidecar"],
                "ip": machine.ip,
                "zone": machine.zone,
                "region": "region",
                "counts_toward_faults": False,
                "bootstrap": True,
                "data_dir": None,
                "limits": limits,
                "app_addr": f"{machine.ip}:{ports['app']}",
                "service": machine.service,
            },
            "network": {
                "bind_addrs": {name: f"{machine.ip}:{ports[name]}" for name in addresses},
                "port_range": [7620, 7635],
                "seed_nodes": [],
                "zones": dict.fromkeys(zones, "region"),
            },
            "platform": {
                "discovery": "static",
                "entrypoint": "static",
                "heartbeat_ms": 1500,
                "platform": {
                    "address": f"{self._store_ip}:{machine.store_port}",
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "ttl_min_ms": 1000,
                },
            },
            "terms": {
                "policy_sections": [
                    "base",
                    "drain",
                    "config",
                    "cost",
                    "retry",
                    "recover",
                    "rollout",
                    "platform",
                ],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": BOUNDS,
            },
        }
        machine.settings.write_text(json.dumps(settings))


def make_route(prefix: str, service: str, kind: str, attempts: int = 3) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "host": HOST_NAME,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 600,
        "max_attempts": attempts,
        "priority": 1,
    }


def _find_port(ip: str, taken: set[int] | None = None) -> int:
    while True:
        port = random.randint(20000, 32000)
        if port not in (taken or ()) and _is_free(ip, port):
            return port


def _find_network(count: int) -> str:
    """Return the first three numbers of loopback addresses at which the metrics port is free."""
    for _ in range(100):
        network = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        if all(_is_free(f"{network}.{number + 1}", METRICS_PORT) for number in range(count)):
            return network
    raise CaseError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
