"""A running node: its sockets and periodic tasks, from start to graceful shutdown."""

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from corianderwall.model.settings import parse_address
from corianderwall.node.admin import AdminInterface, Health
from corianderwall.node.control import TICK_S
from corianderwall.node.logs import log_info, log_warning
from corianderwall.node.operators import OperatorApp, OperatorSite
from corianderwall.node.parts import NodeParts
from corianderwall.node.roles import ROLE_INTERVAL_S, RoleTask
from corianderwall.node.seedregistry import make_seed_host
from corianderwall.node.settings import parse_seed
from corianderwall.node.site import SiteRoot
from corianderwall.node.upstreamtask import UpstreamTask
from corianderwall.traffic.draining import DRAIN_PROPAGATION_S

if TYPE_CHECKING:
    from corianderwall.distribution.distributor import Distributor
    from corianderwall.httpflow.server import DrainReport
    from corianderwall.membership.membership import Membership
    from corianderwall.model.endpoint import Address, Host
    from corianderwall.node.settings import NodeSettings

SEED_JOIN_WAIT_S = 1.0
"""Time given to the seeds from the settings before seeds are read from the platform."""

STARTUP_ROLE_INTERVAL_S = 0.1
"""Time between two checks of the roles until the first configuration is active."""


class Node:
    """Runs the components of a node: `start`, then `drain`, then `stop`."""

    def __init__(self, settings: "NodeSettings", reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._parts = parts = NodeParts(settings, reactor)
        self._upstream = UpstreamTask(parts)
        self._roles = RoleTask(parts)
        self._ticker = LoopingCall(parts.control.tick)
        self._role_ticker = LoopingCall(self._tick_roles)
        self._admin_port: Any = None

    @property
    def host(self) -> "Host":
        """This host as other nodes see it."""
        return self._parts.host

    @property
    def membership(self) -> "Membership":
        """The known hosts and endpoints."""
        return self._parts.membership

    @property
    def distributor(self) -> "Distributor":
        """The distributor, which has the active configuration."""
        return self._parts.distributor

    def read_health(self) -> Health:
        """Return whether this node serves calls, with the reason if it does not."""
        current = self.distributor.current
        version = 0 if current is None else current.version
        if current is None:
            return Health(False, "no coherent configuration yet", version)
        if self._parts.server.draining:
            return Health(False, "draining", version)
        return Health(True, "", version)

    async def start(self) -> None:
        """Open the sockets and start to join the mesh."""
        host = self._settings.host
        self._parts.links.start(parse_address(host.peer_address))
        call_address = parse_address(host.call_address)
        await self._parts.server.listen(call_address.host, call_address.port)
        self._listen_admin(parse_address(host.admin_address))
        self._ticker.start(TICK_S)
        self._role_ticker.start(ROLE_INTERVAL_S, now=False)
        Deferred.fromCoroutine(self._join())
        log_info("started", call_address=str(call_address))

    async def drain(self) -> "DrainReport":
        """Announce the shutdown, refuse calls after `DRAIN_PROPAGATION_S`; running calls end."""
        parts = self._parts
        log_info("draining", running=parts.server.running_calls)
        parts.control.send(parts.membership.drain(parts.timer.read_monotonic()))
        report = await parts.server.drain(parts.loop.time() + DRAIN_PROPAGATION_S)
        await parts.move_coordinator.stop()
        return report

    def abort_calls(self) -> "DrainReport":
        """Abort the running calls and return how many ended and how many were aborted."""
        report = self._parts.server.stop_now()
        log_warning("aborted running calls", ended=report.completed, cut=report.aborted)
        return report

    async def stop(self) -> None:
        """Leave the membership and close all sockets."""
        parts = self._parts
        parts.platform.stop()
        parts.control.send(parts.membership.leave(parts.timer.read_monotonic()))
        parts.share_timer.stop()
        for ticker in (self._role_ticker, self._ticker):
            if ticker.running:
                ticker.stop()
        parts.pools.close()
        if self._admin_port is not None:
            await self._admin_port.stopListening()
        await parts.http_api.close()
        parts.links.stop()

    def _listen_admin(self, address: "Address") -> None:
        parts = self._parts
        admin = AdminInterface(
            registry=parts.report.metrics.registry,
            read_health=self.read_health,
            refresh_metrics=parts.report.refresh,
            upstream=self._upstream,
        )
        tokens = self._settings.operators.tokens
        operators = OperatorApp(parts.backend, tokens, parts.timer, parts.random)
        root = SiteRoot(operators=operators.build_resource(), admin=admin.app.resource())
        site = OperatorSite(root)
        self._admin_port = self._reactor.listenTCP(address.port, site, interface=address.host)

    async def _join(self) -> None:
        parts = self._parts
        seeds = [parse_seed(text) for text in self._settings.mesh.seeds]
        hosts = tuple(make_seed_host(seed.name, seed.address) for seed in seeds)
        if hosts:
            parts.control.send(parts.membership.join(hosts, parts.timer.read_monotonic()))
            await parts.timer.sleep(SEED_JOIN_WAIT_S)
        if not parts.membership.has_joined:
            hosts = (*hosts, *await parts.platform.find_seeds())
            parts.control.send(parts.membership.join(hosts, parts.timer.read_monotonic()))
        while not parts.distributor.is_ready:
            # A node that has just joined takes its roles as soon as its view is stable.
            self._tick_roles()
            await parts.timer.sleep(STARTUP_ROLE_INTERVAL_S)

    def _tick_roles(self) -> None:
        self._upstream.tick()
        self._parts.links.close_idle()
        self._roles.tick()
