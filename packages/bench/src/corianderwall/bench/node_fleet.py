"""Node processes in regions and availability zones, with a stand-in platform in this process."""

import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import treq

from corianderwall.bench.mesh import PROGRAM, wait_for_response
from corianderwall.bench.processes import ChildProcess
from corianderwall.bench.running import pause
from corianderwall.links.keys import generate_key_ring
from corianderwall.model.endpoint import Address
from corianderwall.standins.node_file import LOOPBACK, NodeFile
from corianderwall.standins.operator_client import call_operator_until
from corianderwall.standins.platform import PlatformStandin

MAX_NODES = 110
POLL_S = 0.1
OPERATOR_TIMEOUT_S = 30.0
STARTS_AT_ONCE = 10
PORTS = (7000, 7001, 7002)
"""Of calls, peers and operators."""

IN_FORCE = "a version is in force"


class LoggedProcess(ChildProcess):
    """A node process that writes its log to a file."""

    def __init__(self, settings: Path, log: Path) -> None:
        self._log = log
        self._start([sys.executable, "-m", PROGRAM, "node", str(settings)])

    def _start(self, command: list[str]) -> None:
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=subprocess.DEVNULL, stderr=log, text=True
            )


def _choose_ip(index: int) -> str:
    """Return a loopback address of its own, since free ports are soon taken by connections."""
    return f"127.{2 + os.getpid() % 250}.{index // 250}.{index % 250 + 1}"


@dataclass(slots=True)
class FleetNode:
    """One node process, its addresses and its files."""

    name: str
    admin: str
    settings: Path
    log: Path
    process: LoggedProcess

    def start_again(self) -> None:
        """Start the process anew, without memory."""
        self.process = LoggedProcess(self.settings, self.log)


class NodeFleet:
    """Starts `count` node processes; every other zone lies in the second region."""

    def __init__(self, count: int, *, regions: int = 2, zones: int = 5) -> None:
        if count > MAX_NODES:
            raise ValueError(f"at most {MAX_NODES} processes are started on one machine")
        self.platform = PlatformStandin()
        self.nodes: list[FleetNode] = []
        self._count = count
        self._regions = regions
        self._zones = zones
        self._keys = generate_key_ring()
        self._directory = tempfile.TemporaryDirectory()

    async def start(self) -> None:
        """Start the platform and all nodes, and wait until all answer."""
        port = await self.platform.start()
        for index in range(self._count):
            self.nodes.append(self._create_node(index, port))
            if index % STARTS_AT_ONCE == STARTS_AT_ONCE - 1:
                await wait_for_response(f"http://{self.nodes[-1].admin}/health", anything=True)
        for node in self.nodes:
            await wait_for_response(f"http://{node.admin}/health", anything=True)

    async def stop(self) -> None:
        """End all processes and the platform."""
        for node in self.nodes:
            node.process.kill()
        await self.platform.stop()
        self._directory.cleanup()

    async def configure(self) -> int:
        """Create a service and a route; return the version once it is in force everywhere."""
        split = [{"version": "v1", "permille": 1000}]
        service = {"name": "measured", "versions": ["v1"], "split": split}
        await self._operate("PutService", {"service": service})
        return await self.put_route(1000)

    async def put_route(self, timeout_ms: int) -> int:
        """Change the route and return the version that the change made."""
        route = {"name": "all", "service": "measured", "path_prefix": "/"}
        response = await self._operate("PutRoute", {"route": {**route, "timeout_ms": timeout_ms}})
        return int(response["version"])

    async def wait_for_version(self, version: int, *, limit_s: float) -> bool:
        """Wait until every running node has logged this version, or a newer one, in force."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(self._has_version(node, version) for node in self.nodes):
                return True
            await pause(POLL_S)
        return False

    def read_versions(self, node: FleetNode, *, since: float = 0.0) -> list[tuple[float, int]]:
        """Return the unix time and number of each version that came into force at a node."""
        entries = self.read_log(node, IN_FORCE, since=since)
        return [(float(entry["time"]), int(entry["to_version"])) for entry in entries]

    def read_log(self, node: FleetNode, message: str, *, since: float) -> list[dict[str, Any]]:
        """Return the log lines of a node with this message."""
        found = []
        for line in node.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry["message"] == message and entry["time"] >= since:
                    found.append(entry)
        return found

    async def read_metric(self, node: FleetNode, name: str) -> dict[str, float]:
        """Return the values of a metric by its labels."""
        response = await treq.get(f"http://{node.admin}/metrics", persistent=False)
        text = await response.text()
        values = {}
        for line in text.splitlines():
            if line.startswith(name) and line[len(name)] in "{ ":
                labels, _, value = line[len(name) :].rpartition(" ")
                values[labels] = float(value)
        return values

    def _has_version(self, node: FleetNode, version: int) -> bool:
        return any(known >= version for _, known in self.read_versions(node))

    def _create_node(self, index: int, platform: int) -> FleetNode:
        name = f"host-{index:03d}"
        zone = index % self._zones
        directory = Path(self._directory.name)
        addresses = [Address(host=_choose_ip(index), port=port) for port in PORTS]
        settings, log = directory / f"{name}.toml", directory / f"{name}.log"
        file = NodeFile(
            name=name,
            region=f"region-{zone % self._regions}",
            zone=f"zone-{zone}",
            call=addresses[0],
            peer=addresses[1],
            admin=addresses[2],
            public_key=self._keys.public,
            secret_key=self._keys.secret,
            platform_url=f"http://{LOOPBACK}:{platform}",
            log_level="info",
        )
        settings.write_text(file.render())
        process = LoggedProcess(settings, log)
        return FleetNode(name, str(addresses[2]), settings, log, process)

    async def _operate(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        return await call_operator_until(
            self.nodes[0].admin, method, body, timeout_s=OPERATOR_TIMEOUT_S
        )
