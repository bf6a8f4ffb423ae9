"""A mesh for measurements: node processes with upstreams beside them and a stand-in platform."""

import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import treq

from corianderwall.bench.processes import ChildProcess
from corianderwall.bench.running import pause
from corianderwall.links.keys import generate_key_ring
from corianderwall.model.endpoint import Address
from corianderwall.standins.node_file import LOOPBACK, NodeFile, find_free_addresses
from corianderwall.standins.operator_client import call_operator_until
from corianderwall.standins.platform import PlatformStandin

SERVICE = "measured"
VERSION = "v1"
READY_TIMEOUT_S = 20.0
POLL_S = 0.1
PROGRAM = "corianderwall.app.main"


class MeshNotReadyError(Exception):
    """The mesh did not become ready in time."""


@dataclass(slots=True)
class MeshNode:
    """One node process with its addresses; `settings` is its file."""

    name: str
    call: Address
    admin: Address
    settings: Path
    process: ChildProcess

    def start_again(self) -> None:
        """Start the process anew after its end, as a host that comes back."""
        self.process = start_node(self.settings)


class Mesh:
    """Starts the platform in this process and every node as a process of its own."""

    def __init__(self, *, timeout_ms: int = 15_000) -> None:
        self.nodes: list[MeshNode] = []
        self._platform = PlatformStandin()
        self._platform_port = 0
        self._keys = generate_key_ring()
        self._timeout_ms = timeout_ms
        self._directory = tempfile.TemporaryDirectory()

    async def start(self, zones: list[str]) -> None:
        """Start one node in each of `zones`."""
        self._platform_port = await self._platform.start()
        for number, zone in enumerate(zones):
            self.nodes.append(self._start_node(f"host-{number}", zone))

    async def configure(self) -> None:
        """Create the service with one route for all paths, and wait until it is in force."""
        await self.wait_until_responding("/health", anything=True)
        service = {
            "name": SERVICE,
            "versions": [VERSION],
            "split": [{"version": VERSION, "permille": 1000}],
        }
        await self._operate("PutService", {"service": service})
        route = {
            "name": "all",
            "service": SERVICE,
            "path_prefix": "/",
            "timeout_ms": self._timeout_ms,
        }
        await self._operate("PutRoute", {"route": route})

    async def wait_until_serving(self) -> None:
        """Wait until every node answers calls from an upstream."""
        for node in self.nodes:
            await wait_for_response(f"http://{node.call}/bytes/1", anything=False)

    async def wait_until_responding(self, path: str, *, anything: bool) -> None:
        """Wait until every node answers `path` on its local address."""
        for node in self.nodes:
            await wait_for_response(f"http://{node.admin}{path}", anything=anything)

    async def stop(self) -> None:
        """End all processes and the platform."""
        for node in self.nodes:
            node.process.kill()
        await self._platform.stop()
        self._directory.cleanup()

    def _start_node(self, name: str, zone: str) -> MeshNode:
        call, peer, admin = find_free_addresses(3)
        path = Path(self._directory.name) / f"{name}.toml"
        file = NodeFile(
            name=name,
            zone=zone,
            call=call,
            peer=peer,
            admin=admin,
            public_key=self._keys.public,
            secret_key=self._keys.secret,
            platform_url=f"http://{LOOPBACK}:{self._platform_port}",
            timeout_ms=self._timeout_ms,
            log_level="error",
        )
        path.write_text(file.render())
        return MeshNode(name, call, admin, path, start_node(path))

    async def _operate(self, method: str, body: dict[str, Any]) -> None:
        await call_operator_until(self.nodes[0].admin, method, body, timeout_s=READY_TIMEOUT_S)


async def wait_for_response(url: str, *, anything: bool, poll_s: float = POLL_S) -> None:
    """Wait until `url` is answered with 200, or with `anything`."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    why = "no answer"
    while time.monotonic() < deadline:
        try:
            response = await treq.get(url, persistent=False)
            await response.content()
        except Exception as error:
            why = str(error)
        else:
            if anything or response.code == 200:
                return
            why = f"status {response.code}"
        await pause(poll_s)
    raise MeshNotReadyError(f"{url}: {why}")


def start_node(settings: Path) -> ChildProcess:
    """Start the program with a settings file."""
    return ChildProcess(PROGRAM, "node", str(settings))
