"""Starts the nodes of a small deployment as processes, and sends requests to them."""

import asyncio
import json
import os
import shlex
import signal
import subprocess
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mesh_3.http import Message, encode_request, read_message

ROOT = Path(__file__).resolve().parents[2]
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
"""The bounds of the site file hhmt-picking.toml."""
SECTIONS = ["base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"]


class Record:
    """Writes one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
        self._file.flush()


@dataclass
class Machine:
    """A machine with a node process; all its addresses are on one loopback address."""

    name: str
    zone: str
    ip: str
    service: str
    base_port: int
    store: str
    folder: Path
    record: Record
    sections: list[str] = field(default_factory=lambda: list(SECTIONS))
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))
    process: subprocess.Popen[bytes] | None = None

    def find_address(self, offset: int) -> tuple[str, int]:
        """Return one of the machine's addresses."""
        return self.ip, self.base_port + offset

    @property
    def endpoint(self) -> tuple[str, int]:
        """Return the address of the endpoint."""
        return self.find_address(1)

    @property
    def outbound(self) -> tuple[str, int]:
        """Return the address to which clients send requests."""
        return self.find_address(4)

    @property
    def control(self) -> tuple[str, int]:
        """Return the address to which the endpoint reports."""
        return self.find_address(6)

    def write_settings(self) -> Path:
        """Write the settings file in place of an earlier one and return its path."""

        def name(offset: int) -> str:
            return f"{self.ip}:{self.base_port + offset}"

        settings = {
            "self": {
                "node_name": self.name,
                "role": "node",
                "instance_class": "sidecar",
                "serves": ["sidecar"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "local",
                "counts_toward_faults": False,
                "bootstrap": True,
                "data_dir": None,
                "limits": {
                    "cpu_quota": 0.86,
                    "cpu_cores": 1,
                    "memory_mb": 300,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0,
                },
                "app_addr": name(1),
                "service": self.service,
            },
            "network": {
                "bind_addrs": {
                    "inbound": name(0),
                    "outbound": name(4),
                    "ready_addr": name(2),
                    "control_plane": name(6),
                },
                "port_range": [self.base_port + 20, self.base_port + 35],
                "seed_nodes": [],
                "zones": {self.zone: "local"},
            },
            "platform": {
                "discovery": "static",
                "entrypoint": "static",
                "heartbeat_ms": 500,
                "platform": {
                    "address": self.store,
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1_048_576,
                    "ttl_min_ms": 1000,
                },
            },
            "terms": {
                "policy_sections": self.sections,
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": self.bounds,
            },
        }
        path = self.folder / f"{self.name}.json"
        written = path.with_suffix(".new")
        written.write_text(json.dumps(settings))
        written.rename(path)
        return path

    def start(self) -> None:
        """Start the node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CORIANDERWALL_NODE_FILE"] = str(self.write_settings())
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"node {self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process of the node."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.write(f"node {self.name} gets {number.name}")

    def end(self) -> None:
        """End the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node answers the platform's readiness check with 200."""
        response = await send(self.find_address(2), "GET", "/api/readiness", {}, timeout_s=1.0)
        return response is not None and response.status == 200

    async def wait_ready(self, timeout_s: float) -> bool:
        """Return whether the node is ready within that time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Message | None:
    """Send one request on a new connection; return the response, None if there is none."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_request(method, target, {"Host": "mesh.example", **headers}, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def make_configuration(version: int, entries: list[tuple[str, str, dict[str, Any]]]) -> Any:
    """Return a configuration with these entries (type, name, spec) and the usual limits."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    resources = [
        {"resource_type": kind, "metadata": {"name": name}, "spec": spec}
        for kind, name, spec in entries
    ]
    resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
    return {"version": f"r{version}", "resources": resources}
