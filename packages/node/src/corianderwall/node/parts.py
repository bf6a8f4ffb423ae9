"""Builds and connects the components of one node; nothing here opens a socket."""

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

from corianderwall.distribution.distributor import Distributor
from corianderwall.httpflow.server import CallServer
from corianderwall.links.codec import PeerCodec
from corianderwall.links.peers import PeerLinks
from corianderwall.membership.membership import Membership
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import EMPTY_SNAPSHOT
from corianderwall.moves.agent import MoveAgent
from corianderwall.node.admission import AdmissionController
from corianderwall.node.backend import NodeBackend
from corianderwall.node.callcontext import CallContext
from corianderwall.node.control import MESSAGES, ControlLoop
from corianderwall.node.crashmonitor import CrashMonitor
from corianderwall.node.dispatcher import Dispatcher
from corianderwall.node.logs import log_warning
from corianderwall.node.metrics import CallMetrics, Metrics
from corianderwall.node.movecoordinator import MoveCoordinator
from corianderwall.node.moveview import RunningMoves
from corianderwall.node.platformtask import PlatformTask
from corianderwall.node.pools import UpstreamPools
from corianderwall.node.report import NodeReport
from corianderwall.node.seedregistry import SeedRegistry
from corianderwall.node.serviceload import LoadSurvey
from corianderwall.node.sharetimer import ShareTimer
from corianderwall.node.suspectexchange import SuspectExchange
from corianderwall.store.budget import PlatformRates
from corianderwall.store.guard import GuardedObjectApi
from corianderwall.store.head import HeadStore
from corianderwall.store.http_api import HttpObjectApi
from corianderwall.store.timer import ReactorTimer
from corianderwall.traffic.balancer import Balancer
from corianderwall.traffic.lease_holder import LeaseHolder
from corianderwall.traffic.lease_issuer import LeaseIssuer
from corianderwall.traffic.retries import RetryPolicy
from corianderwall.traffic.shares import SubscriberShares
from corianderwall.traffic.suspects import Suspects

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Address
    from corianderwall.model.resource import Snapshot
    from corianderwall.node.settings import NodeSettings
    from corianderwall.store.commit import CommitResult


class NodeParts:
    """The components of one node, built bottom-up; callbacks resolve circular dependencies."""

    def __init__(self, settings: "NodeSettings", reactor: Any) -> None:
        self.settings = settings
        self.reactor = reactor
        self.loop = asyncio.get_event_loop()
        self.timer = ReactorTimer(reactor)
        self.random = Random()
        self.host = settings.build_host(int(self.timer.read_unix() * 1000))
        self._build_decision_logic(self.timer.read_monotonic())
        self._build_platform()
        self._build_calls()
        self._build_control()
        self._build_operators()

    def offer(self, snapshot: "Snapshot", asked_at: float | None) -> None:
        """Pass a snapshot from the platform to the distributor.

        `asked_at` is the monotonic time at which the read was sent, or None for a head that a watch
        or a commit of this node has delivered.
        """
        now = self.timer.read_monotonic()
        try:
            self.control.send(self.distributor.handle_head(snapshot, now, asked_at=asked_at))
        except CorianderwallError as error:
            log_warning(
                "refused the configuration read from the platform",
                code=error.code.value,
                why=error.sentence,
            )
        self.control.apply_events()

    def distribute_commit(self, committed: "CommitResult") -> None:
        """Start to distribute a version that this node has committed."""
        self.offer(committed.head.snapshot, None)

    def find_call_address(self, name: str) -> "Address | None":
        """Return the address at which the named node accepts calls, None if it is unknown."""
        host = self.membership.find_host(name)
        return None if host is None else host.call_address

    def _list_peers(self) -> list[str]:
        own = self.host.name
        return [host.name for host in self.membership.list_live_hosts() if host.name != own]

    def _build_decision_logic(self, now: float) -> None:
        host, session, zone = self.host, self.host.incarnation, self.host.locality.zone
        self.membership = Membership(host, rng=self.random, now=now)
        self.distributor = Distributor(self.membership, rng=self.random, now=now)
        self.agent = MoveAgent(node=host.name, incarnation=session, rng=self.random)
        self.moves = RunningMoves(self.agent)
        self.issuer = LeaseIssuer(host.name, session, zone, now)
        self.holder = LeaseHolder(host.name, session, zone)
        self.balancer = Balancer(host.locality, self.random)

    def _build_platform(self) -> None:
        settings = self.settings.platform
        self.http_api = HttpObjectApi(self.reactor, settings.url)
        rates = PlatformRates(reads_per_s=settings.reads_per_s, writes_per_s=settings.writes_per_s)
        self.api = GuardedObjectApi(self.http_api, self.timer, self.random, rates=rates)
        self.store = HeadStore(self.api, self.timer, self.random)
        self.platform = PlatformTask(
            api=self.api,
            store=self.store,
            seed_registry=SeedRegistry(self.api, self.random, self.host),
            timer=self.timer,
            random=self.random,
            offer=self.offer,
        )

    def _build_calls(self) -> None:
        limits = self.settings.calls
        self.call_metrics = CallMetrics()
        self.pools = UpstreamPools()
        self.admission = AdmissionController(
            loop=self.loop,
            clock=self.timer,
            pools=self.pools,
            issuer=self.issuer,
            random=self.random,
            shares=SubscriberShares(EMPTY_SNAPSHOT),
            send=lambda outgoing: self.control.send([outgoing]),
        )
        self.suspects = Suspects()
        self.suspect_exchange = SuspectExchange(self.suspects, self._list_peers, self.random)
        self.crashes = CrashMonitor(
            node=self.host.name,
            clock=self.timer,
            suspects=self.suspects,
            exchange=self.suspect_exchange,
            admission=self.admission,
            send=lambda messages: self.control.send(messages),
        )
        self.context = CallContext(
            node=self.host.name,
            clock=self.timer,
            random=self.random,
            balancer=self.balancer,
            leases=self.holder,
            pools=self.pools,
            admission=self.admission,
            moves=self.moves,
            metrics=self.call_metrics,
            retries=RetryPolicy(self.random),
            suspects=self.suspects,
            crashes=self.crashes,
            call_later=self.loop.call_later,
            find_call_address=self.find_call_address,
            wake_share_timer=lambda: self.share_timer.wake(),
            max_attempts=limits.max_attempts,
        )
        self.dispatcher = Dispatcher(
            self.context,
            default_timeout_s=limits.default_timeout_ms / 1000,
            max_running_calls=limits.max_running_calls,
            count_running=lambda: self.server.running_calls,
        )
        self.server = CallServer(self.dispatcher)

    def _build_control(self) -> None:
        self.links = PeerLinks(
            reactor=self.reactor,
            clock=self.timer,
            codec=PeerCodec(MESSAGES),
            keys=self.settings.build_key_ring(),
            name=self.host.name,
            deliver=lambda peer, message: self.control.deliver(peer, message),
        )
        self.survey = LoadSurvey(
            node=self.host.name,
            reactor=self.reactor,
            send=lambda messages: self.control.send(messages),
        )
        self.report = NodeReport(
            metrics=Metrics(),
            calls=self.call_metrics,
            links=self.links,
            membership=self.membership,
            api=self.api,
            server=self.server,
            controller=self.admission,
        )
        self.control = ControlLoop(
            clock=self.timer,
            links=self.links,
            membership=self.membership,
            distributor=self.distributor,
            balancer=self.balancer,
            holder=self.holder,
            issuer=self.issuer,
            admission=self.admission,
            pools=self.pools,
            agent=self.agent,
            moves=self.moves,
            dispatcher=self.dispatcher,
            survey=self.survey,
            suspect_exchange=self.suspect_exchange,
            crashes=self.crashes,
            request_head=self.platform.start_head_read,
            on_active_version=self.report.record_version,
        )
        self.share_timer = ShareTimer(self.loop, self.control.tick_shares)

    def _build_operators(self) -> None:
        self.backend = NodeBackend(
            store=self.store,
            timer=self.timer,
            membership=self.membership,
            distributor=self.distributor,
            control=self.control,
            context=self.context,
            dispatcher=self.dispatcher,
            survey=self.survey,
            deliver=self.distribute_commit,
        )
        self.move_coordinator = MoveCoordinator(
            agent=self.agent,
            api=self.api,
            store=self.store,
            timer=self.timer,
            random=self.random,
            node=self.host.name,
            deliver=self.distribute_commit,
            measure_service=self.backend.measure_service,
        )
