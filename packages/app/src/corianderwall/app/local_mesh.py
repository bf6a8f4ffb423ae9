"""A whole mesh on loopback in one process: nodes, a stand-in platform and upstreams."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from corianderwall.links.keys import generate_key_ring
from corianderwall.model.endpoint import Address
from corianderwall.node.process import Node
from corianderwall.node.settings import parse_node_settings
from corianderwall.standins.node_file import LOOPBACK, NodeFile, find_free_addresses
from corianderwall.standins.operator_client import call_operator
from corianderwall.standins.platform import PlatformStandin
from corianderwall.standins.upstream import UpstreamStandin
from corianderwall.standins.upstream_settings import Switches, UpstreamSettings

if TYPE_CHECKING:
    from collections.abc import Callable

ADDRESSES_PER_NODE = 3
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSpec:
    """Locality of a node, and the service and version of its local upstream, empty for none."""

    name: str
    zone: str
    service: str = ""
    version: str = ""
    switches: Switches | None = None
    region: str = "midlands"


@dataclass(frozen=True, slots=True)
class RunningHost:
    """A running node, its addresses and its local upstream."""

    node: Node
    call_address: Address
    admin_address: Address
    upstream: UpstreamStandin | None


class LocalMesh:
    """Starts and stops the stand-in platform and the hosts."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.platform = PlatformStandin()
        self.hosts: list[RunningHost] = []
        self._keys = generate_key_ring()
        self._platform_port = 0

    async def start(self, specs: list[HostSpec]) -> None:
        """Start the platform and all hosts."""
        self._platform_port = await self.platform.start()
        for spec in specs:
            self.hosts.append(await self.start_host(spec))

    async def start_host(self, spec: HostSpec) -> RunningHost:
        """Start one node, and its local upstream if there is one."""
        call, peer, admin = find_free_addresses(ADDRESSES_PER_NODE)
        node_file = NodeFile(
            name=spec.name,
            region=spec.region,
            zone=spec.zone,
            call=call,
            peer=peer,
            admin=admin,
            public_key=self._keys.public,
            secret_key=self._keys.secret,
            platform_url=f"http://{LOOPBACK}:{self._platform_port}",
        )
        settings = parse_node_settings(node_file.render().encode(), spec.name)
        node = Node(settings, self.reactor)
        await node.start()
        upstream = None
        if spec.service:
            upstream = UpstreamStandin(
                UpstreamSettings(
                    service=spec.service,
                    version=spec.version,
                    node_host=LOOPBACK,
                    node_port=admin.port,
                    switches=spec.switches or Switches(work_ms=2),
                )
            )
            await upstream.start()
        return RunningHost(node, call, admin, upstream)

    async def stop(self) -> list[int]:
        """Stop all hosts gracefully; return the number of aborted calls of each."""
        pending_drains = [Deferred.fromCoroutine(host.node.drain()) for host in self.hosts]
        reports = await gatherResults(pending_drains)
        for host in self.hosts:
            await host.node.stop()
            if host.upstream is not None:
                host.upstream.stop()
        await self.platform.stop()
        return [report.aborted for report in reports]

    async def call_operator(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make an operators' call to the first node; return the response, errors included."""
        return await call_operator(self.hosts[0].admin_address, method, body)

    async def wait_for(self, condition: "Callable[[], bool]", timeout_s: float) -> bool:
        """Wait for the condition; return whether it became true before the timeout."""
        deadline = self.reactor.seconds() + timeout_s
        while not condition():
            if self.reactor.seconds() >= deadline:
                return False
            await self.pause(POLL_INTERVAL_S)
        return True

    async def pause(self, seconds: float) -> None:
        """Wait without blocking the reactor."""
        await deferLater(self.reactor, seconds)
