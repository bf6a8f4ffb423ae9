"""Passes messages and ticks to the components of one node and applies their events."""

from typing import TYPE_CHECKING, Any

from corianderwall.distribution.events import (
    DigestConflict,
    HeadReadRequested,
    UpdateRefused,
    VersionActivated,
)
from corianderwall.distribution.messages import MESSAGES as DISTRIBUTION_MESSAGES
from corianderwall.membership.events import (
    AdvertReceived,
    EndpointAdded,
    EndpointChanged,
    EndpointRemoved,
    HostDead,
    HostJoined,
    HostLeft,
    HostReturned,
    HostSuspected,
    HostUnreachable,
    LinkSilent,
)
from corianderwall.membership.messages import MESSAGES as MEMBERSHIP_MESSAGES
from corianderwall.model.endpoint import EndpointState
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.message import OutgoingMessage
from corianderwall.moves.agent import Members
from corianderwall.moves.evaluation import WINDOW_S
from corianderwall.moves.messages import MESSAGES as MOVE_MESSAGES
from corianderwall.node.crashmonitor import MESSAGES as CRASH_MESSAGES
from corianderwall.node.crashmonitor import LossReport
from corianderwall.node.logs import log_info, log_warning
from corianderwall.node.serviceload import MESSAGES as LOAD_MESSAGES
from corianderwall.node.serviceload import LoadQuery, LoadResponse
from corianderwall.node.suspectexchange import MESSAGES as SUSPECT_MESSAGES
from corianderwall.node.suspectexchange import SuspectNotice, SuspectQuery
from corianderwall.traffic.messages import MESSAGES as TRAFFIC_MESSAGES
from corianderwall.traffic.messages import LeaseGrant, LeaseNotice, LeaseRequest
from corianderwall.traffic.shares import SubscriberShares

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from corianderwall.distribution.distributor import Distributor
    from corianderwall.links.peers import PeerLinks
    from corianderwall.membership.membership import Membership
    from corianderwall.model.clock import Clock
    from corianderwall.model.endpoint import Endpoint, Host
    from corianderwall.model.message import PeerMessage
    from corianderwall.model.resource import Snapshot
    from corianderwall.moves.agent import MoveAgent
    from corianderwall.node.admission import AdmissionController
    from corianderwall.node.crashmonitor import CrashMonitor
    from corianderwall.node.dispatcher import Dispatcher
    from corianderwall.node.moveview import RunningMoves
    from corianderwall.node.pools import UpstreamPools
    from corianderwall.node.serviceload import LoadSurvey
    from corianderwall.node.suspectexchange import SuspectExchange
    from corianderwall.traffic.balancer import Balancer
    from corianderwall.traffic.lease_holder import LeaseHolder
    from corianderwall.traffic.lease_issuer import LeaseIssuer

TICK_S = 0.1

MESSAGES = (
    *MEMBERSHIP_MESSAGES,
    *DISTRIBUTION_MESSAGES,
    *TRAFFIC_MESSAGES,
    *MOVE_MESSAGES,
    *LOAD_MESSAGES,
    *SUSPECT_MESSAGES,
    *CRASH_MESSAGES,
)
"""All types of messages that nodes send to each other."""

_MEMBERSHIP_TYPES = frozenset(MEMBERSHIP_MESSAGES)
_DISTRIBUTION_TYPES = frozenset(DISTRIBUTION_MESSAGES)
_MOVE_TYPES = frozenset(MOVE_MESSAGES)
_SUSPECT_TYPES = frozenset((*SUSPECT_MESSAGES, *CRASH_MESSAGES))


class ControlLoop:
    """Connects the components of one node; all methods run in the reactor's thread."""

    def __init__(
        self,
        *,
        clock: "Clock",
        links: "PeerLinks",
        membership: "Membership",
        distributor: "Distributor",
        balancer: "Balancer",
        holder: "LeaseHolder",
        issuer: "LeaseIssuer",
        admission: "AdmissionController",
        pools: "UpstreamPools",
        agent: "MoveAgent",
        moves: "RunningMoves",
        dispatcher: "Dispatcher",
        survey: "LoadSurvey",
        suspect_exchange: "SuspectExchange",
        crashes: "CrashMonitor",
        request_head: "Callable[[], None]",
        on_active_version: "Callable[[Snapshot], None]",
    ) -> None:
        self._clock = clock
        self._links = links
        self._membership = membership
        self._distributor = distributor
        self._balancer = balancer
        self._holder = holder
        self._issuer = issuer
        self._admission = admission
        self._pools = pools
        self._agent = agent
        self._moves = moves
        self._dispatcher = dispatcher
        self._survey = survey
        self._suspect_exchange = suspect_exchange
        self._crashes = crashes
        self._request_head = request_head
        self._on_active_version = on_active_version
        self._endpoints: dict[str, Endpoint] = {}
        self._leased_endpoints: set[str] = set()
        self._members_changed = True
        self._next_move_tick = 0.0

    def deliver(self, peer: str, message: "PeerMessage") -> None:
        """Handle one message from another node; a malformed one is logged and has no effect."""
        now = self._clock.read_monotonic()
        try:
            self.send(self._dispatch_message(peer, message, now))
        except CorianderwallError as error:
            log_warning(
                "refused a message from a peer",
                peer=peer,
                code=error.code.value,
                why=error.sentence,
            )
        self._apply_events(now)

    def tick(self) -> None:
        """Run the periodic work of all components; the caller runs this every `TICK_S`."""
        now = self._clock.read_monotonic()
        self._membership.set_advert(self._distributor.make_advert())
        self.send(self._membership.tick(now))
        self.send(self._distributor.tick(now))
        self.send(self._suspect_exchange.tick(now))
        self.send(self._holder.collect_requests(now))
        self._admission.tick()
        self._apply_events(now)
        self._tick_moves(now)
        self._apply_leases(now)

    def tick_shares(self) -> bool:
        """Recompute shares and renew leases; return whether calls still run at the endpoint."""
        is_busy = self._admission.is_busy
        if is_busy:
            self._admission.tick()
        self.send(self._holder.collect_requests(self._clock.read_monotonic()))
        return is_busy

    def send(self, messages: "Iterable[OutgoingMessage]") -> None:
        """Send messages, with the peers' current addresses from the membership."""
        for outgoing in messages:
            host = self._membership.find_host(outgoing.peer)
            if host is not None:
                self._links.set_address(host.name, host.peer_address)
            self._links.send(outgoing)

    def apply_events(self) -> None:
        """Apply the events that a call to a component from outside this class has caused."""
        self._apply_events(self._clock.read_monotonic())

    def _dispatch_message(
        self, peer: str, message: "PeerMessage", now: float
    ) -> "list[OutgoingMessage]":
        kind = type(message)
        if kind in _MEMBERSHIP_TYPES:
            return self._membership.handle(peer, message, now)
        if kind in _DISTRIBUTION_TYPES:
            return self._distributor.handle(peer, message, now)
        if kind in _MOVE_TYPES:
            return self._agent.handle_message(message)
        if kind in _SUSPECT_TYPES:
            return self._handle_suspects(peer, message, now)
        return self._handle_traffic(peer, message, now)

    def _handle_suspects(
        self, peer: str, message: "PeerMessage", now: float
    ) -> "list[OutgoingMessage]":
        match message:
            case LossReport():
                self._crashes.receive_report(message)
            case SuspectNotice():
                self._suspect_exchange.receive_notice(message, now)
            case SuspectQuery():
                return self._suspect_exchange.answer_query(peer, message, now)
        return []

    def _handle_traffic(
        self, peer: str, message: "PeerMessage", now: float
    ) -> "list[OutgoingMessage]":
        match message:
            case LeaseRequest():
                response = self._issuer.receive(message, now)
                if response is None:
                    return []
                for report in response.reports:
                    self._admission.report_usage(report)
                return [response.outgoing]
            case LeaseGrant():
                self._holder.receive_grant(message)
            case LeaseNotice():
                self._holder.receive_notice(message)
            case LoadQuery():
                load = self._admission.load.read(now)
                load_response = LoadResponse(message.nonce, load.calls_per_s, load.busy_slots)
                return [OutgoingMessage(peer, load_response)]
            case LoadResponse():
                self._survey.take_response(peer, message)
        return []

    def _apply_leases(self, now: float) -> None:
        known = self._holder.list_endpoints()
        for name in self._leased_endpoints.difference(known):
            self._balancer.set_leased(name, leased=False)
        for name in known:
            self._balancer.set_leased(name, leased=self._holder.has_free_lease(name, now))
            endpoint = self._endpoints.get(name)
            if endpoint is not None:
                self._pools.limit(endpoint.address, self._holder.read_connection_limit(name, now))
        self._leased_endpoints = set(known)

    def _tick_moves(self, now: float) -> None:
        if self._members_changed:
            self._members_changed = False
            self._update_members()
        if now >= self._next_move_tick:
            self._next_move_tick = now + WINDOW_S
            unix_ms = int(self._clock.read_unix() * 1000)
            self.send(self._agent.tick(now, unix_ms))

    def _update_members(self) -> None:
        names = sorted(host.name for host in self._membership.list_live_hosts())
        endpoints = tuple(self._endpoints[name] for name in sorted(self._endpoints))
        self._agent.update_members(Members(nodes=tuple(names), endpoints=endpoints))

    def _apply_events(self, now: float) -> None:
        for membership_event in self._membership.take_events():
            self._apply_membership(membership_event, now)
        for event in self._distributor.take_events():
            self._apply_distribution(event)

    def _apply_membership(self, event: Any, now: float) -> None:
        match event:
            case EndpointAdded() | EndpointChanged():
                self._upsert_endpoint(event.endpoint, now)
            case EndpointRemoved():
                self._remove_endpoint(event.endpoint)
            case LinkSilent():
                log_warning("replacing an unresponsive connection", peer=event.peer)
                self._links.reset(event.peer)
            case AdvertReceived():
                self.send(self._distributor.handle_advert(event.peer, event.advert, now))
            case HostSuspected() | HostUnreachable():
                self._set_suspected(event.host, suspected=True)
            case HostJoined() | HostReturned():
                self._set_suspected(event.host, suspected=False)
            case HostDead() | HostLeft():
                self._set_suspected(event.host, suspected=True)
                self._links.forget(event.host.name)

    def _apply_distribution(self, event: Any) -> None:
        match event:
            case VersionActivated():
                self._activate_snapshot(event.snapshot)
            case HeadReadRequested():
                self._request_head()
            case UpdateRefused():
                log_warning(
                    "refused a configuration update",
                    peer=event.peer,
                    code=event.code.value,
                    why=event.sentence,
                )
            case DigestConflict():
                log_warning(
                    "received a different snapshot under a known version",
                    source=event.source,
                    conflict=event.version,
                )

    def _activate_snapshot(self, snapshot: "Snapshot") -> None:
        self._dispatcher.install(snapshot)
        self._moves.update_snapshot(snapshot)
        self._admission.set_shares(SubscriberShares(snapshot))
        log_info("a version is in force", to_version=snapshot.version)
        self._on_active_version(snapshot)

    def _upsert_endpoint(self, endpoint: "Endpoint", now: float) -> None:
        self._endpoints[endpoint.name] = endpoint
        if endpoint.state is EndpointState.DRAINING:
            self._holder.forget(endpoint.name)
        self._balancer.upsert(endpoint, now, int(self._clock.read_unix() * 1000))
        self._members_changed = True

    def _remove_endpoint(self, endpoint: "Endpoint") -> None:
        self._endpoints.pop(endpoint.name, None)
        self._balancer.remove(endpoint.name)
        self._holder.forget(endpoint.name)
        self._members_changed = True

    def _set_suspected(self, host: "Host", *, suspected: bool) -> None:
        self._members_changed = True
        for endpoint in self._endpoints.values():
            if endpoint.node == host.name:
                self._balancer.set_suspected(endpoint.name, suspected=suspected)
        if suspected:
            log_warning("a host is suspected, unreachable or gone", host=host.name)
