"""The membership of one node: the known hosts, their endpoints and their status."""

import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from corianderwall.membership.antientropy import AntiEntropy
from corianderwall.membership.events import AdvertReceived, MembershipEvent
from corianderwall.membership.messages import (
    BucketKeys,
    Gossip,
    Heartbeat,
    JoinReply,
    JoinRequest,
    Life,
    ProbeReport,
    ProbeRequest,
    Record,
    RecordsWanted,
    ViewSummary,
)
from corianderwall.membership.records import pack_records, unpack_records
from corianderwall.membership.seeding import SeedExchange
from corianderwall.membership.settings import MembershipSettings
from corianderwall.membership.status import Status
from corianderwall.membership.view import View
from corianderwall.membership.watching import NeighbourMonitor
from corianderwall.model.endpoint import Endpoint, EndpointState, Host
from corianderwall.model.message import OutgoingMessage, PeerMessage


class Membership:
    """Detects failed hosts and spreads announcements, without any input, output or clock.

    The node calls `handle` for each message from a peer and `tick` about every 100 ms, and sends
    the messages that they return. `take_events` returns the changes since its last call.
    """

    def __init__(
        self,
        me: Host,
        *,
        rng: random.Random,
        now: float,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._rng = rng
        self._view = View(me, self._settings, now)
        self._monitor = NeighbourMonitor(self._view, self._settings, rng, now)
        self._anti_entropy = AntiEntropy(self._view)
        self._seed_exchange = SeedExchange(self._view, self._settings)
        self._events: list[MembershipEvent] = []

    @property
    def me(self) -> Host:
        """This host, with its current incarnation."""
        return self._view.me

    @property
    def has_joined(self) -> bool:
        """Whether a seed has responded, or there are no seeds."""
        return self._seed_exchange.has_joined

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The names of the hosts that this node exchanges heartbeats with."""
        return self._view.neighbours

    @property
    def view_digest(self) -> int:
        """The digest of the replicated records, equal for equal views."""
        return self._view.table.digest

    def find_host(self, name: str) -> Host | None:
        """Return a host in view, a dead host or a seed, so that messages can be sent to it."""
        return self._view.find_host(name) or self._seed_exchange.find_host(name)

    def list_hosts(self) -> tuple[Host, ...]:
        """Return all hosts in view, including this one and suspected and unreachable ones."""
        return tuple(record.host for record in self._view.table.iterate_live())

    def list_live_hosts(self) -> tuple[Host, ...]:
        """Return the hosts in view that are neither suspected nor unreachable."""
        return tuple(
            host for host in self.list_hosts() if self.get_status(host.name) is Status.LIVE
        )

    def get_status(self, name: str) -> Status:
        """Return the status of a host in view."""
        return self._view.statuses.get(name)

    def get_session(self, name: str) -> int:
        """Return the number that identifies a host's process, 0 if the host is unknown."""
        record = self._view.table.get(name)
        return 0 if record is None else record.session

    def list_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints of all hosts in view, whatever the status of the host."""
        return tuple(
            endpoint for record in self._view.table.iterate_live() for endpoint in record.endpoints
        )

    def may_be_isolated(self, now: float) -> bool:
        """Return whether this node was paused or is isolated, so that its view may be stale."""
        return self._monitor.may_be_isolated(now)

    def set_advert(self, advert: bytes) -> None:
        """Set the short value that this node's heartbeats carry."""
        self._monitor.advert = advert

    def take_events(self) -> list[MembershipEvent]:
        """Return and forget the events since the last call."""
        events = self._events + self._monitor.take_events() + self._view.take_events()
        self._events = []
        return events

    def join(self, seeds: Iterable[Host], now: float) -> list[OutgoingMessage]:
        """Request the view of the seeds; `tick` repeats the request until one responds."""
        return self._seed_exchange.start(seeds, now)

    def announce(self, endpoint: Endpoint, now: float) -> list[OutgoingMessage]:
        """Announce or change an endpoint of this host."""
        others = tuple(
            held for held in self._view.own_record.endpoints if held.name != endpoint.name
        )
        return self._publish(endpoints=(*others, endpoint), now=now)

    def withdraw(self, name: str, now: float) -> list[OutgoingMessage]:
        """Withdraw an endpoint of this host."""
        others = tuple(held for held in self._view.own_record.endpoints if held.name != name)
        if len(others) == len(self._view.own_record.endpoints):
            return []
        return self._publish(endpoints=others, now=now)

    def drain(self, now: float) -> list[OutgoingMessage]:
        """Announce that all endpoints of this host are draining and accept no new calls."""
        drained = tuple(
            replace(endpoint, state=EndpointState.DRAINING)
            for endpoint in self._view.own_record.endpoints
        )
        return self._publish(endpoints=drained, now=now)

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Announce that this host leaves; call it after `drain`, when no calls are running."""
        self._view.depart(now)
        return self._view.queues.flush(now, is_last=True)

    def handle(self, peer: str, message: PeerMessage, now: float) -> list[OutgoingMessage]:
        """Handle a message from a peer and return the messages to send."""
        self._monitor.record_heard(peer, now)
        handler = _HANDLERS.get(type(message))
        responses = [] if handler is None else handler(self, peer, message, now)
        return responses + self._flush(now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the periodic work that is due and return the messages to send."""
        self._view.refresh_overlay(now)
        outgoing = self._seed_exchange.tick(now) + self._monitor.tick(now)
        self._view.evaluate_suspicions(
            now, may_declare_deaths=not self._monitor.may_be_isolated(now)
        )
        return outgoing + self._flush(now)

    def _flush(self, now: float) -> list[OutgoingMessage]:
        return self._view.queues.flush(now)

    def _publish(self, *, endpoints: tuple[Endpoint, ...], now: float) -> list[OutgoingMessage]:
        self._view.publish(endpoints, now)
        return self._flush(now)

    def _handle_heartbeat(self, peer: str, message: Heartbeat, now: float) -> list[OutgoingMessage]:
        outgoing = []
        if message.advert:
            self._events.append(AdvertReceived(peer, message.advert))
        self._events += self._monitor.detector.record_hears_us(peer, message.hears_you, now)
        if message.wants_reply:
            outgoing.append(self._monitor.make_heartbeat(peer, now))
        record = self._view.table.get(peer)
        if record is None or record.host.incarnation < message.incarnation:
            outgoing.append(OutgoingMessage(peer, RecordsWanted((peer,))))
        elif record.life is not Life.LIVE:
            outgoing.append(OutgoingMessage(peer, Gossip(records=pack_records([record]))))
        outgoing += self._anti_entropy.compare_digests(peer, message)
        return outgoing

    def _handle_gossip(self, peer: str, message: Gossip, now: float) -> list[OutgoingMessage]:
        records = unpack_records(message.records)
        self._view.queues.drop_known(peer, records)
        self._merge_records(records, peer, now)
        for suspicion in message.suspicions:
            self._view.store_suspicion(suspicion, source=peer, now=now)
        return []

    def _merge_records(
        self, records: Iterable[Record], source: str, now: float, *, may_forward: bool = True
    ) -> None:
        for record in records:
            known = self._view.find_host(record.host.name)
            if not self._view.merge(record, source, now, may_forward=may_forward):
                continue
            if known is not None and known.incarnation < record.host.incarnation:
                self._events += self._monitor.detector.record_refutation(record.host.name, now)

    def _handle_join_request(
        self, peer: str, message: JoinRequest, now: float
    ) -> list[OutgoingMessage]:
        self._merge_records(unpack_records(message.records), peer, now)
        return [OutgoingMessage(peer, self._seed_exchange.make_reply(self._rng, now))]

    def _handle_join_reply(
        self, peer: str, message: JoinReply, now: float
    ) -> list[OutgoingMessage]:
        may_forward = self._seed_exchange.has_joined
        self._merge_records(unpack_records(message.records), peer, now, may_forward=may_forward)
        self._seed_exchange.record_reply()
        return []

    def _handle_probe_request(
        self, peer: str, message: ProbeRequest, now: float
    ) -> list[OutgoingMessage]:
        is_heard = self._monitor.detector.is_heard(message.subject, now)
        return [OutgoingMessage(peer, ProbeReport(message.subject, is_heard))]

    def _handle_probe_report(
        self, peer: str, message: ProbeReport, now: float
    ) -> list[OutgoingMessage]:
        self._monitor.detector.record_probe_report(message.subject, message.is_heard)
        return []

    def _handle_view_summary(
        self, peer: str, message: ViewSummary, now: float
    ) -> list[OutgoingMessage]:
        return self._anti_entropy.compare_buckets(peer, message)

    def _handle_bucket_keys(
        self, peer: str, message: BucketKeys, now: float
    ) -> list[OutgoingMessage]:
        return self._anti_entropy.compare_keys(peer, message)

    def _handle_records_wanted(
        self, peer: str, message: RecordsWanted, now: float
    ) -> list[OutgoingMessage]:
        self._view.queue_records(peer, message.names)
        return []


_HANDLERS: dict[
    type[PeerMessage], Callable[[Membership, str, Any, float], list[OutgoingMessage]]
] = {
    Heartbeat: Membership._handle_heartbeat,
    Gossip: Membership._handle_gossip,
    JoinRequest: Membership._handle_join_request,
    JoinReply: Membership._handle_join_reply,
    ProbeRequest: Membership._handle_probe_request,
    ProbeReport: Membership._handle_probe_report,
    ViewSummary: Membership._handle_view_summary,
    BucketKeys: Membership._handle_bucket_keys,
    RecordsWanted: Membership._handle_records_wanted,
}
