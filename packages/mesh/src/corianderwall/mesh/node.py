"""A node on one host: its components, its listeners, and how it starts and stops."""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import replace
from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.call import CallHandler
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.pipeline import BufferCounter
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.server import CallServer
from corianderwall.mesh.bodymemory import BODY_MEMORY_FRACTION, BodyMemory
from corianderwall.mesh.configuration import (
    CONFIG_CONFIRM_KIND,
    CONFIG_PULL_KIND,
    CONFIG_PUSH_KIND,
    ConfigurationHolder,
    ConfigurationSync,
)
from corianderwall.mesh.confirmation import ConfigurationConfirmation
from corianderwall.mesh.directory import Directory, list_node_endpoints
from corianderwall.mesh.entry import Entry
from corianderwall.mesh.evacuationsync import EVACUATION_NOTICE_KIND, EvacuationSync
from corianderwall.mesh.exchange import Response, await_exchange
from corianderwall.mesh.gate import EndpointGate
from corianderwall.mesh.gossip import (
    HEARTBEAT_KIND,
    LEAVE_KIND,
    LOADED_LEAVES_KIND,
    TABLES_KIND,
    TABLES_PULL_KIND,
    Gossip,
)
from corianderwall.mesh.leaders import list_leaders
from corianderwall.mesh.leavearchive import LeaveArchive
from corianderwall.mesh.messages import (
    EndpointRecord,
    EndpointState,
    Heartbeat,
    Leave,
    NodeRecord,
    Tables,
)
from corianderwall.mesh.movecontroller import MOVE_NOTICE_KIND, MoveController
from corianderwall.mesh.moves import MoveTracker
from corianderwall.mesh.peerlink import PeerHandler, PeerLink
from corianderwall.mesh.quotaexchange import (
    DISTRIBUTOR_KIND,
    LEASE_KIND,
    LENDER_KIND,
    QuotaExchange,
)
from corianderwall.mesh.responsememory import RESPONSE_MEMORY_FRACTION, ResponseMemory
from corianderwall.mesh.sending import LinkSender
from corianderwall.mesh.settings import HeaderNames, HostSettings
from corianderwall.mesh.source import Source
from corianderwall.mesh.stopplan import plan_stop
from corianderwall.mesh.supervision import Supervisor, Work
from corianderwall.mesh.suspectarchive import SuspectArchive
from corianderwall.mesh.uplink import Uplink
from corianderwall.model.endpoint import Address
from corianderwall.model.resource import Snapshot
from corianderwall.node.logs import log_error, log_info
from corianderwall.node.metrics import CallMetrics
from corianderwall.traffic.suspects import SuspectRecord, Suspects

RESERVED_DESCRIPTORS = 400
"""File descriptors reserved for connections to peers, the endpoint and the platform."""
MAX_PIPELINED_CALLS = 8
"""Pipelined calls of one caller's connection that run at once; about the slots of an endpoint."""
FIND_INTERVAL_S = 0.3
"""Interval at which a restarted node probes the endpoint that its peers report beside it."""
MAX_FIND_TRIES = 10
"""Number of these attempts after a start; later the endpoint has announced itself."""
SILENCE_CHECK_INTERVAL_S = 0.5
"""Interval at which the endpoint is checked for missing announcements."""
SHORT_TASKS = "short"
"""The name under which failures of all tasks that end by themselves are counted."""
PROBE_TIMEOUT_S = 0.5
"""Timeout of a health check of the endpoint."""


class HostNode:
    """Owns all components of a node; uses the running event loop.

    `startup_s` is the time since the process was launched.
    """

    def __init__(
        self,
        settings: HostSettings,
        headers: HeaderNames,
        source: Source,
        random: Random,
        *,
        startup_s: float = 0.0,
    ) -> None:
        self.settings = settings
        self.stopping = False
        self._headers = headers
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.supervisor = Supervisor(self.spawn)
        own = NodeRecord(
            name=settings.name,
            zone=settings.zone,
            host=settings.inbound.host,
            port=settings.inbound.port,
            incarnation=time.time_ns() // 1_000_000,
        )
        self.metrics = CallMetrics()
        self.directory = Directory(own)
        self.holder = ConfigurationHolder(settings.bounds.config_apply_s)
        self.moves = MoveTracker(settings.bounds.canary_share, random)
        self.uplink = Uplink(settings.link_bytes_per_s)
        self.suspects = Suspects()
        self._archive = SuspectArchive(self.suspects, source)
        self.body_memory = BodyMemory(settings.memory_bytes * BODY_MEMORY_FRACTION)
        self.response_memory = ResponseMemory(settings.memory_bytes * RESPONSE_MEMORY_FRACTION)
        sender = LinkSender(self.uplink)
        self.link = PeerLink(self.directory, headers, sender, self.response_memory)
        self.gate = EndpointGate(
            settings,
            headers,
            self._announce_endpoint,
            self._count_call,
            self.uplink,
            self.suspects,
            self._share_suspects,
            self._find_own_record,
            lambda: self.holder.teams,
            self._knows_service,
            self.response_memory,
        )
        joined = asyncio.Event()
        self.sync = ConfigurationSync(
            self.holder,
            source,
            self.directory,
            self.link,
            joined,
            self.spawn,
            settings.bounds.config_apply_s,
        )
        self.evacuations = EvacuationSync(
            settings,
            source,
            self.directory,
            self.link,
            self.sync,
            joined,
            self.spawn,
            self.gate.handle_evacuation,
        )
        self.gate.zone_guard = self.evacuations
        self.leaves = LeaveArchive(
            settings.name,
            source,
            self.spawn,
            self._restore_leaves,
            self._is_first_leader,
            self._ask_to_save,
            startup_s,
        )
        self.gossip = Gossip(
            self.directory,
            self.link,
            source,
            self.holder,
            self.sync,
            joined,
            self.moves,
            self.gate,
            self.suspects,
            self._archive,
            self.leaves,
            self.make_heartbeat,
            self.spawn,
            random,
            self.evacuations,
        )
        self.move_controller = MoveController(
            self.moves, source, self.directory, self.link, self.sync, self.gate, self.spawn
        )
        self.quotas = QuotaExchange(
            self.directory, self.link, settings.bounds, joined, self.spawn, random
        )
        self.entry = Entry(
            settings,
            headers,
            self.directory,
            self.holder,
            self.link,
            self.gate,
            self.gate.find_parent,
            self.moves,
            self.suspects,
            self.metrics,
            self.body_memory,
            random,
            self.evacuations,
            self.quotas,
        )
        confirmation = ConfigurationConfirmation(
            self.holder,
            self.directory,
            lambda: self.sync.source_ok,
            self.gossip.send_heartbeat,
            self.spawn,
            random,
        )
        self.entry.authenticator.request_confirmation = confirmation.request
        handlers = {
            HEARTBEAT_KIND: self.gossip.handle_heartbeat,
            TABLES_KIND: self.gossip.handle_tables,
            TABLES_PULL_KIND: self.gossip.handle_pull,
            LEAVE_KIND: self.gossip.handle_leave,
            LOADED_LEAVES_KIND: self.gossip.handle_loaded_leaves,
            CONFIG_PULL_KIND: self.sync.handle_pull,
            CONFIG_PUSH_KIND: self.sync.handle_push,
            CONFIG_CONFIRM_KIND: self.sync.handle_confirmation,
            MOVE_NOTICE_KIND: self.move_controller.handle_notice,
            EVACUATION_NOTICE_KIND: self.evacuations.handle_notice,
            LEASE_KIND: self.quotas.handle_lease,
            LENDER_KIND: self.quotas.handle_lender_request,
            DISTRIBUTOR_KIND: self.quotas.handle_request,
        }
        peer_handler = PeerHandler(self.gate, headers, handlers, sender, self.body_memory)
        limits = self._make_limits()
        outbound_limits = replace(limits, max_concurrent_calls=MAX_PIPELINED_CALLS)
        self._outbound = CallServer(self.entry, outbound_limits)
        self._inbound = CallServer(peer_handler, limits)
        self._extra_servers: list[CallServer] = []
        self.holder.listeners.append(self._apply_configuration)
        self.holder.listeners.append(self.quotas.apply_configuration)
        self.sync.source_listeners.append(self.gossip.broadcast_heartbeat)
        self.sync.era_listeners.append(self._restore_records)

    @property
    def is_ready(self) -> bool:
        """Return whether the node should get calls from callers."""
        return (
            self.holder.table is not None and not self.stopping and not self.supervisor.has_failed
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run `work` as a task of this node and log a failure."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    @property
    def pipelining(self) -> BufferCounter:
        """Return the counts of pipelined calls."""
        return self._outbound.pipelining

    async def start(self, extra: list[tuple[CallHandler, Address]]) -> None:
        """Listen on all addresses, then join the fleet; `extra` are the handlers of the adapter."""
        await self._listen(self._inbound, self.settings.inbound)
        for handler, address in extra:
            server = CallServer(handler, ServerLimits(max_connections=256))
            self._extra_servers.append(server)
            await self._listen(server, address)
        await self._listen(self._outbound, self.settings.outbound)
        works: dict[str, Work] = {
            "configuration": self.sync.run,
            "join": self.gossip.join,
            "heartbeats": self.gossip.run,
            "records": self.gossip.pull_records,
            "quotas": self.quotas.run,
            "suspects": self._archive.run,
            "leaves": self.gossip.load_leaves,
            "expired leaves": self.leaves.run,
            "evacuations": self.evacuations.run,
            "orders": self.move_controller.watch_orders,
            "moves": self.move_controller.run,
            "silence": self._watch_endpoint,
            "known endpoint": self._find_known_endpoint,
        }
        for name, work in works.items():
            self.supervisor.start(name, work)
        log_info(
            "node started",
            outbound=str(self.settings.outbound),
            inbound=str(self.settings.inbound),
            service=self.settings.service,
            endpoint_address=str(self.settings.endpoint),
            incarnation=self.directory.own.incarnation,
        )

    async def stop(self) -> None:
        """Leave the fleet and finish running calls within the grace period."""
        if self.stopping:
            return
        self.stopping = True
        began = self._loop.time()
        plan = plan_stop(began, self.settings.bounds.grace_s)
        running = self._outbound.running_calls + self._inbound.running_calls
        log_info("stopping", running=running)
        self.entry.begin_stop(plan)
        self.gate.begin_stop(plan)
        outbound_drained = self._outbound.drain(plan.no_new_calls_from).asFuture(self._loop)
        await asyncio.sleep(plan.serve_until - began)
        self.directory.own = msgspec.structs.replace(self.directory.own, leaving=True)
        self.gate.close()
        self.gossip.broadcast_tables(Tables(sender=self.directory.own))
        inbound_drained = self._inbound.drain(self._loop.time()).asFuture(self._loop)
        _, late = await asyncio.wait(
            (outbound_drained, inbound_drained), timeout=plan.end - self._loop.time()
        )
        cut = self._outbound.running_calls + self._inbound.running_calls
        log_info("stopped", took_s=round(self._loop.time() - began, 3), cut=cut, late=len(late))

    def close(self) -> None:
        """Cancel all tasks and close all connections at once."""
        for task in list(self._tasks):
            task.cancel()
        for server in (self._outbound, self._inbound, *self._extra_servers):
            server.stop_now()

    def change_service(self, service: str) -> None:
        """Use `service` as the one that runs on this host, from the next call on."""
        log_info(
            "the service of this host has changed", former=self.settings.service, service=service
        )
        self.settings = replace(self.settings, service=service)
        self.entry.use_settings(self.settings)
        self.gate.use_settings(self.settings)
        self._apply_configuration(self.holder.snapshot)

    def make_heartbeat(self) -> Heartbeat:
        """Return the heartbeat of this node."""
        record = self.gate.record
        return Heartbeat(
            node=self.directory.own,
            config_version=self.holder.snapshot.version,
            digest=self.directory.compute_digest(),
            source_ok=self.sync.source_ok,
            load=self.gate.read_load() if record is not None else None,
            endpoint=record.id if record is not None else "",
            moves=self.moves.list_views(self._loop.time()),
            synced=self.gate.synced,
            suspects_digest=self.suspects.compute_digest(),
            evacuations=self.evacuations.make_state(),
            confirmed_age_ms=(
                self.holder.freshness.compute_age_ms(self._loop.time())
                if self.holder.teams.is_active
                else None
            ),
        )

    def _make_limits(self) -> ServerLimits:
        max_connections = max(64, self.settings.max_descriptors - RESERVED_DESCRIPTORS) // 2
        return ServerLimits(max_connections=max_connections)

    async def _listen(self, server: CallServer, address: Address) -> None:
        opening = Deferred.fromCoroutine(server.listen(address.host, address.port))
        await opening.asFuture(self._loop)

    def _restore_records(self) -> None:
        self.suspects.restore_saved()
        self.leaves.restore()
        self.spawn(self.gossip.restore_records())

    def _restore_leaves(self, leaves: tuple[Leave, ...]) -> None:
        self.gossip.restore_leaves(leaves)

    async def _ask_to_save(self, leave: Leave) -> bool:
        return await self.gossip.ask_to_save(leave)

    def _is_first_leader(self) -> bool:
        leaders = list_leaders(self.directory, self.sync.source_ok)
        return leaders[:1] == [self.settings.name]

    def _announce_endpoint(self, record: EndpointRecord) -> None:
        self.gossip.announce_endpoint(record)

    def _share_suspects(self, records: tuple[SuspectRecord, ...]) -> None:
        self.gossip.share_suspects(records)

    def _find_own_record(self, endpoint: str) -> EndpointRecord | None:
        view = self.directory.endpoints.get(endpoint)
        return view.record if view is not None and view.record.node == self.settings.name else None

    def _knows_service(self, name: str) -> bool:
        return any(service.name == name for service in self.holder.snapshot.services)

    def _count_call(self, route: str, endpoint: str, failed: bool, took_s: float) -> None:
        record = self.gate.record
        if record is not None and record.id == endpoint:
            self.moves.count_call(
                record.service, record.version, route, failed=failed, took_s=took_s
            )

    def _apply_configuration(self, snapshot: Snapshot) -> None:
        for service in snapshot.services:
            if service.name == self.settings.service:
                self.gate.configure_service(service)

    async def _watch_endpoint(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            self.gate.endpoint.check_liveness()

    async def _find_known_endpoint(self) -> None:
        """Find an endpoint that an earlier process here has known, with a health check."""
        for _ in range(MAX_FIND_TRIES):
            await asyncio.sleep(FIND_INTERVAL_S)
            if self.gate.record is not None:
                return
            if self.evacuations.find_refusal() is not None:
                continue
            records = [view.record for view in self.directory.endpoints.values()]
            known = list_node_endpoints(records, self.settings.name)
            if known and known[0].state in (EndpointState.READY, EndpointState.DOWN):
                response = await self._probe_endpoint()
                instance = response and response.find_header(self._headers.instance_id)
                if instance == known[0].id.encode() and self.gate.record is None:
                    self.gate.endpoint.adopt(known[0])
                    self.gate.warmup.read_health(response)

    async def _probe_endpoint(self) -> Response | None:
        path = "/health"
        for service in self.holder.snapshot.services:
            if service.name == self.settings.service:
                path = service.health_path
        self.gate.warmup.pace.take(self._loop.time(), 1)
        pool = UpstreamPool(self.settings.endpoint, 1)
        call = OutgoingCall(
            method=b"GET",
            target=path.encode(),
            headers=[(b"host", b"endpoint")],
            deadline=self._loop.time() + PROBE_TIMEOUT_S,
            idempotent=True,
        )
        exchange = await await_exchange(pool, call)
        pool.close()
        response = exchange.response
        if response is None or response.status != 200:
            log_info("the health check of the endpoint failed")
            return None
        return response

    def _finish_task(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            failures = self.supervisor.failures
            failures[SHORT_TASKS] = failures.get(SHORT_TASKS, 0) + 1
            log_error("a task failed", error=repr(task.exception()))
