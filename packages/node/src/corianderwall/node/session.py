"""One node, put together from its parts, from start to graceful shutdown."""

import asyncio
import gc
import signal
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from corianderwall.distribution.distributor import Distributor
from corianderwall.distribution.placement import WATCHERS_PER_REGION
from corianderwall.httpflow.server import CallServer
from corianderwall.links.codec import PeerCodec
from corianderwall.links.peers import PeerLinks
from corianderwall.membership.membership import Membership
from corianderwall.model.endpoint import EndpointState
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import EMPTY_SNAPSHOT, MoveState
from corianderwall.model.settings import parse_address
from corianderwall.moves.agent import MoveAgent
from corianderwall.moves.reporting import AGGREGATORS_PER_MOVE
from corianderwall.node.admin import AdminInterface, Announcement, Health
from corianderwall.node.backend import NodeBackend
from corianderwall.node.callcontext import CallContext
from corianderwall.node.control import MESSAGES, SHARE_TICK_S, TICK_S, Control
from corianderwall.node.desk import Desk
from corianderwall.node.dispatcher import Dispatcher
from corianderwall.node.lifecycle import CycleActions, create_cycle
from corianderwall.node.logs import log_error, log_info, log_warning, start_logs
from corianderwall.node.metrics import CallMetrics, Metrics
from corianderwall.node.moveview import AgentView
from corianderwall.node.operators import OperatorApp, OperatorSite
from corianderwall.node.platformtask import PlatformTask
from corianderwall.node.pools import Pools
from corianderwall.node.seedboard import SeedBoard, make_seed_host
from corianderwall.node.serviceload import LoadSurvey
from corianderwall.node.settings import parse_seed
from corianderwall.node.site import SiteRoot
from corianderwall.node.steering import MoveSteering
from corianderwall.node.upstream import LocalUpstream
from corianderwall.store.budget import PlatformRates
from corianderwall.store.guard import GuardedObjectApi
from corianderwall.store.head import HeadStore
from corianderwall.store.http_api import HttpObjectApi
from corianderwall.store.timer import ReactorTimer
from corianderwall.traffic.balancer import Balancer
from corianderwall.traffic.draining import NOTICE_S
from corianderwall.traffic.lease_holder import LeaseHolder
from corianderwall.traffic.lease_issuer import LeaseIssuer
from corianderwall.traffic.retries import RetryPolicy
from corianderwall.traffic.shares import SubscriberShares

if TYPE_CHECKING:
    from corianderwall.httpflow.server import DrainReport
    from corianderwall.model.endpoint import Address, Endpoint, Host
    from corianderwall.model.resource import Move, Snapshot
    from corianderwall.node.settings import NodeSettings
    from corianderwall.store.commit import Committed

EXIT_CANNOT_START = 1

COLLECTOR_THRESHOLDS = (20_000, 20, 20)
"""Allocations, and collections of the younger generation, before each generation's collection."""

SEED_WAIT_S = 1.0
"""How long the nodes named in the settings are awaited before the platform is asked for others."""

ROLE_INTERVAL_S = 1.0
"""Time between two looks at the roles that this node holds and the work they need."""


class Node:
    """All parts of one node; `start` opens its sockets, `drain` and `stop` end it."""

    def __init__(self, settings: "NodeSettings", reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._loop = asyncio.get_event_loop()
        self._timer = timer = ReactorTimer(reactor)
        self._random = Random()
        now = timer.read_monotonic()
        self.host = host = settings.build_host(int(timer.read_unix() * 1000))
        self._metrics = Metrics()
        self._call_metrics = CallMetrics()
        self._pools = Pools()
        self._build_platform()
        self._build_control(now)
        self._upstream = LocalUpstream(host)
        self._ticker = LoopingCall(self._control.tick)
        self._share_ticker = LoopingCall(self._control.tick_shares)
        self._role_ticker = LoopingCall(self._tick_roles)
        self._steering_busy = False
        self._move_states: dict[str, MoveState] = {}
        self._site_port: Any = None
        self._server = CallServer(self._dispatcher)

    # Construction.

    def _build_platform(self) -> None:
        settings = self._settings.platform
        self._http_api = HttpObjectApi(self._reactor, settings.url)
        rates = PlatformRates(reads_per_s=settings.reads_per_s, writes_per_s=settings.writes_per_s)
        self._api = GuardedObjectApi(self._http_api, self._timer, self._random, rates=rates)
        self._store = HeadStore(self._api, self._timer, self._random)
        self._platform = PlatformTask(
            api=self._api,
            store=self._store,
            board=SeedBoard(self._api, self._random, self.host),
            timer=self._timer,
            random=self._random,
            offer=self._offer,
        )

    def _build_control(self, now: float) -> None:
        host, session, zone = self.host, self.host.incarnation, self.host.locality.zone
        self.membership = Membership(host, rng=self._random, now=now)
        self.distributor = Distributor(self.membership, rng=self._random, now=now)
        self._agent = MoveAgent(node=host.name, incarnation=session, rng=self._random)
        moves = AgentView(self._agent)
        issuer = LeaseIssuer(host.name, session, zone, now)
        holder = LeaseHolder(host.name, session, zone)
        balancer = Balancer(host.locality, self._random)
        self._links = PeerLinks(
            reactor=self._reactor,
            clock=self._timer,
            codec=PeerCodec(MESSAGES),
            keys=self._settings.build_key_ring(),
            name=host.name,
            deliver=lambda peer, message: self._control.deliver(peer, message),
        )
        self._desk = Desk(
            loop=self._loop,
            clock=self._timer,
            pools=self._pools,
            issuer=issuer,
            random=self._random,
            shares=SubscriberShares(EMPTY_SNAPSHOT),
            send=lambda outgoing: self._control.send([outgoing]),
        )
        self._context = CallContext(
            node=host.name,
            clock=self._timer,
            random=self._random,
            balancer=balancer,
            leases=holder,
            pools=self._pools,
            desk=self._desk,
            moves=moves,
            metrics=self._call_metrics,
            retries=RetryPolicy(self._random),
            call_later=self._loop.call_later,
            find_call_address=self._find_call_address,
            max_attempts=self._settings.calls.max_attempts,
        )
        self._dispatcher = Dispatcher(
            self._context,
            default_timeout_s=self._settings.calls.default_timeout_ms / 1000,
            max_running_calls=self._settings.calls.max_running_calls,
            count_running=lambda: self._server.running_calls,
        )
        self._survey = LoadSurvey(
            node=host.name,
            reactor=self._reactor,
            send=lambda messages: self._control.send(messages),
        )
        self._control = Control(
            clock=self._timer,
            links=self._links,
            membership=self.membership,
            distributor=self.distributor,
            balancer=balancer,
            holder=holder,
            issuer=issuer,
            desk=self._desk,
            pools=self._pools,
            agent=self._agent,
            moves=moves,
            dispatcher=self._dispatcher,
            survey=self._survey,
            want_head=self._platform.read_once,
            on_version=self._note_version,
        )
        self._backend = NodeBackend(
            store=self._store,
            timer=self._timer,
            membership=self.membership,
            distributor=self.distributor,
            control=self._control,
            context=self._context,
            dispatcher=self._dispatcher,
            survey=self._survey,
            deliver=self._deliver_committed,
        )
        self._steering = MoveSteering(
            agent=self._agent,
            api=self._api,
            store=self._store,
            timer=self._timer,
            random=self._random,
            node=host.name,
            deliver=self._deliver_committed,
            measure_service=self._backend.measure_service,
        )

    # Start.

    async def start(self) -> None:
        """Open the sockets and begin to join the mesh."""
        host = self._settings.host
        self._links.start(parse_address(host.peer_address))
        call_address = parse_address(host.call_address)
        await self._server.listen(call_address.host, call_address.port)
        self._listen_site(parse_address(host.admin_address))
        self._ticker.start(TICK_S)
        self._share_ticker.start(SHARE_TICK_S)
        self._role_ticker.start(ROLE_INTERVAL_S, now=False)
        Deferred.fromCoroutine(self._join())
        log_info("started", call_address=str(call_address))

    def _listen_site(self, address: "Address") -> None:
        admin = AdminInterface(
            registry=self._metrics.registry,
            read_health=self.read_health,
            refresh_metrics=self._refresh_metrics,
            upstream=self,
        )
        tokens = self._settings.operators.tokens
        operators = OperatorApp(self._backend, tokens, self._timer, self._random)
        root = SiteRoot(operators=operators.build_resource(), admin=admin.app.resource())
        site = OperatorSite(root)
        self._site_port = self._reactor.listenTCP(address.port, site, interface=address.host)

    async def _join(self) -> None:
        seeds = [parse_seed(text) for text in self._settings.mesh.seeds]
        hosts = tuple(make_seed_host(seed.name, seed.address) for seed in seeds)
        if hosts:
            self._control.send(self.membership.join(hosts, self._timer.read_monotonic()))
            await self._timer.sleep(SEED_WAIT_S)
        if not self.membership.has_joined:
            known = await self._platform.find_seeds()
            hosts = (*hosts, *known)
            self._control.send(self.membership.join(hosts, self._timer.read_monotonic()))
        # A node that is alone may take up its roles now.
        self._tick_roles()

    # What the platform and operators bring.

    def _offer(self, snapshot: "Snapshot", asked_at: float | None) -> None:
        now = self._timer.read_monotonic()
        try:
            self._control.send(self.distributor.offer(snapshot, now, asked_at=asked_at))
        except CorianderwallError as error:
            log_warning("refused the platform's head", code=error.code.value, why=error.sentence)
        self._control.apply_events()

    def _deliver_committed(self, committed: "Committed") -> None:
        self._offer(committed.head.snapshot, None)

    def _note_version(self, snapshot: "Snapshot") -> None:
        self._metrics.version.set({}, snapshot.version)
        for move in snapshot.moves:
            self._note_move(move)

    def _note_move(self, move: "Move") -> None:
        labels = {"service": move.service, "move": move.id}
        self._metrics.move_share.set(labels, move.share_permille)
        known = self._move_states.get(move.id, move.state)
        self._move_states[move.id] = move.state
        if known is MoveState.RUNNING and not is_running(move):
            outcome = {"service": move.service, "outcome": move.state.value}
            self._metrics.moves_ended.inc(outcome)
            log_info("a move has ended", move=move.id, outcome=move.state.value, cause=move.cause)

    # The upstream beside this node.

    def announce_upstream(self, announcement: Announcement) -> None:
        """Note that the upstream is there, or that it drains."""
        now = self._timer.read_monotonic()
        unix_ms = int(self._timer.read_unix() * 1000)
        endpoint = self._upstream.announce(announcement, now=now, unix_ms=unix_ms)
        if endpoint is not None:
            self._publish(endpoint)

    def withdraw_upstream(self) -> None:
        """Note that the upstream leaves."""
        endpoint = self._upstream.drain(unix_ms=int(self._timer.read_unix() * 1000))
        if endpoint is not None:
            self._publish(endpoint)

    def _publish(self, endpoint: "Endpoint") -> None:
        now = self._timer.read_monotonic()
        self._desk.set_endpoint(endpoint, now)
        if endpoint.state is EndpointState.DRAINING:
            self._desk.announce_drain()
            self._loop.call_later(NOTICE_S, self._begin_desk_drain)
        self._control.send(self.membership.announce(endpoint, now))
        self._control.apply_events()
        log_info("announced the upstream", endpoint=endpoint.name, state=endpoint.state.value)

    def _begin_desk_drain(self) -> None:
        endpoint = self._upstream.endpoint
        if endpoint is not None and endpoint.state is EndpointState.READY:
            return
        now = self._timer.read_monotonic()
        self._desk.begin_drain(now, now + self._settings.calls.drain_timeout_s)

    def _check_upstream(self, now: float) -> None:
        lost = self._upstream.find_lost(now)
        if lost is None:
            return
        self._desk.clear_endpoint()
        self._control.send(self.membership.withdraw(lost.name, now))
        self._control.apply_events()
        log_warning("the upstream stopped to announce itself", endpoint=lost.name)

    # Roles.

    def _tick_roles(self) -> None:
        now = self._timer.read_monotonic()
        self._check_upstream(now)
        endpoint = self._upstream.endpoint
        if endpoint is not None and endpoint.state is EndpointState.DRAINING:
            self._desk.announce_drain()
        self._links.close_idle()
        hosts = self.membership.list_hosts()
        is_watcher = self.distributor.is_watcher and self.membership.has_joined
        self._platform.set_watching(is_watcher)
        self._share_platform(hosts, is_watcher=is_watcher)
        if is_watcher:
            self._platform.refresh_seeds(self.membership.list_live_hosts, self._join_one)
            self._platform.sweep()
        self._retain_pools()
        snapshot = self.distributor.current
        if snapshot is not None and not self._steering_busy:
            self._steering_busy = True
            Deferred.fromCoroutine(self._steer(snapshot))

    def _share_platform(self, hosts: "tuple[Host, ...]", *, is_watcher: bool) -> None:
        """Take this node's share of the platform's rate, by roles that every node can count."""
        snapshot = self.distributor.current
        running = [move for move in (snapshot.moves if snapshot else ()) if is_running(move)]
        regions = {host.locality.region for host in hosts}
        steers = any(self._agent.is_aggregator(move.id) for move in running)
        self._api.set_fleet(
            nodes=len(hosts),
            holders=WATCHERS_PER_REGION * max(1, len(regions))
            + AGGREGATORS_PER_MOVE * len(running),
            is_holder=is_watcher or steers,
        )

    async def _steer(self, snapshot: "Snapshot") -> None:
        try:
            if not self.membership.is_doubting(self._timer.read_monotonic()):
                await self._steering.steer(snapshot)
        finally:
            self._steering_busy = False

    def _join_one(self, host: "Host") -> None:
        now = self._timer.read_monotonic()
        self._control.send(self.membership.join([host], now))

    def _retain_pools(self) -> None:
        addresses = {endpoint.address for endpoint in self.membership.list_endpoints()}
        addresses.update(host.call_address for host in self.membership.list_hosts())
        self._pools.retain(addresses)

    def _find_call_address(self, name: str) -> "Address | None":
        host = self.membership.find_host(name)
        return None if host is None else host.call_address

    # Health and metrics.

    def read_health(self) -> Health:
        """Return whether this node serves calls, and why not."""
        current = self.distributor.current
        version = 0 if current is None else current.version
        if current is None:
            return Health(False, "no coherent configuration yet", version)
        if self._server.draining:
            return Health(False, "draining", version)
        return Health(True, "", version)

    def _refresh_metrics(self) -> None:
        metrics = self._metrics
        self._call_metrics.export(metrics)
        counters = self._links.counters
        metrics.link_bytes.set({"direction": "sent"}, counters.sent_bytes)
        metrics.link_bytes.set({"direction": "received"}, counters.received_bytes)
        metrics.link_messages.set({"fate": "sent"}, counters.sent_messages)
        metrics.link_messages.set({"fate": "received"}, counters.received_messages)
        metrics.link_messages.set({"fate": "dropped"}, counters.dropped_messages)
        metrics.link_messages.set({"fate": "malformed"}, counters.malformed_messages)
        metrics.hosts.set({"state": "in_view"}, len(self.membership.list_hosts()))
        metrics.hosts.set({"state": "live"}, len(self.membership.list_live_hosts()))
        metrics.running_calls.set({}, self._server.running_calls)
        counts = self._api.counts
        for kind in ("reads", "watches", "lists", "writes", "deletes", "failures", "throttled"):
            metrics.platform_calls.set({"kind": kind}, getattr(counts, kind))

    # Stop.

    async def drain(self) -> "DrainReport":
        """Leave the mesh: no new work after `NOTICE_S`, running calls end, nothing is cut."""
        log_info("draining", running=self._server.running_calls)
        self._control.send(self.membership.drain(self._timer.read_monotonic()))
        report = await self._server.drain(self._loop.time() + NOTICE_S)
        await self._steering.stop()
        return report

    def cut(self) -> "DrainReport":
        """Cut what still runs and say how much that was."""
        report = self._server.stop_now()
        log_warning("cut running calls", ended=report.ended, cut=report.cut)
        return report

    async def stop(self) -> None:
        """Leave the membership and close all sockets."""
        if self._role_ticker.running:
            self._role_ticker.stop()
        self._platform.stop()
        self._control.send(self.membership.leave(self._timer.read_monotonic()))
        for ticker in (self._ticker, self._share_ticker):
            if ticker.running:
                ticker.stop()
        self._pools.close()
        if self._site_port is not None:
            await self._site_port.stopListening()
        await self._http_api.close()
        self._links.stop()


def is_running(move: "Move") -> bool:
    """Return whether a move has not ended."""
    return move.state is MoveState.RUNNING


class NodeSession:
    """Runs one node in this process until signals end it."""

    def __init__(self, settings: "NodeSettings", reactor: Any) -> None:
        self._reactor = reactor
        self._exit_code = 0
        self.node = Node(settings, reactor)
        self._cycle = create_cycle(CycleActions(self._drain, self._cut, self._stop))

    def run(self) -> int:
        """Serve until stopped; return the exit code."""
        self._reactor.callWhenRunning(self._begin)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _begin(self) -> None:
        loop = asyncio.get_event_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._cycle.signal)
        started = Deferred.fromCoroutine(self.node.start())
        started.addCallbacks(lambda _: self._cycle.begin_serving(), self._fail)

    def _fail(self, failure: Any) -> None:
        log_error("can't start", why=failure.getErrorMessage())
        self._exit_code = EXIT_CANNOT_START
        self._cycle.signal()

    def _drain(self) -> None:
        drained = Deferred.fromCoroutine(self.node.drain())
        drained.addBoth(self._finish_drain)

    def _finish_drain(self, report: Any) -> None:
        log_info("drained", report=str(report))
        self._cycle.finish_drain()

    def _cut(self) -> None:
        self.node.cut()
        self._cycle.finish_drain()

    def _stop(self) -> None:
        stopped = Deferred.fromCoroutine(self.node.stop())
        stopped.addBoth(lambda _: self._reactor.stop())


def tune_collector() -> None:
    """Keep the garbage collector from pausing calls: calls leave no cycles behind."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run_node(settings: "NodeSettings") -> int:
    """Run a node with the installed reactor; return the process's exit code."""
    from twisted.internet import reactor

    session = NodeSession(settings, reactor)
    node = session.node
    start_logs(
        settings.log,
        node=node.host.name,
        zone=node.host.locality.zone,
        read_version=lambda: node.read_health().version,
    )
    tune_collector()
    return session.run()
