"""The entry node's side of connection leases: may a call go to the endpoint directly?"""

from collections.abc import Set
from dataclasses import dataclass, field

from corianderwall.model.endpoint import Endpoint
from corianderwall.model.message import OutgoingMessage
from corianderwall.traffic.held_lease import HeldLease
from corianderwall.traffic.messages import LeaseGrant, LeaseNotice, LeaseRequest, Pressure

RENEWAL_S = 4.0
"""Time between two requests to one owner while the leases suffice."""
EARLY_RENEWAL_S = 0.1
"""Shortest time between two requests to one owner."""
IDLE_S = 15.0
"""Time without calls after which an endpoint's leases are given back."""
REMEMBERED_REQUESTS = 16
"""Requests to one owner whose answers are still taken."""
_NOWHERE: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Passage:
    """How a call travels; every passage is to be released when the call ends.

    If `direct`, this node calls the endpoint itself on one of at most `read_limit`
    connections; otherwise it hands the call to `owner`. `flow` is the subscriber's name, or
    that of the flow of unknown subscribers. A call of a flow over its share may wait on account
    of that flow only, so it must not count as the endpoint's load.
    """

    endpoint: str
    owner: str
    flow: str
    direct: bool
    is_over_share: bool = False


@dataclass(slots=True)
class _OwnerState:
    """The requests to one owner, and the endpoints beside it."""

    endpoints: set[str] = field(default_factory=set)
    sent: dict[int, float] = field(default_factory=dict)
    next_request: float = float("-inf")
    earliest_request: float = float("-inf")

    def note_sent(self, serial: int, now: float) -> None:
        """Remember when a request left."""
        self.sent[serial] = now
        while len(self.sent) > REMEMBERED_REQUESTS:
            del self.sent[next(iter(self.sent))]
        self.next_request = now + RENEWAL_S
        self.earliest_request = now + EARLY_RENEWAL_S

    def hasten(self) -> None:
        """Let the next request go as soon as the rate of requests allows."""
        self.next_request = min(self.next_request, self.earliest_request)


class LeaseHolder:
    """The leases of one node; endpoints are taken up by the first call to them."""

    def __init__(self, node: str, session: int, zone: str) -> None:
        self._node = node
        self._session = session
        self._zone = zone
        self._serial = 0
        self._leases: dict[str, HeldLease] = {}
        self._owners: dict[str, _OwnerState] = {}
        self._over_share: dict[str, frozenset[str]] = {}

    def acquire(self, endpoint: Endpoint, flow: str, call_deadline: float, now: float) -> Passage:
        """Return the way of a call that starts now and ends by `call_deadline`."""
        lease = self._leases.get(endpoint.name)
        if lease is not None and lease.owner != endpoint.node and lease.active:
            return Passage(endpoint.name, endpoint.node, flow, False)
        if lease is None or lease.owner != endpoint.node:
            lease = self._take_up(endpoint, lease, now)
        lease.has_left = False
        is_over_share = flow in lease.over_share
        direct = not is_over_share and lease.allows(call_deadline, now)
        lease.begin(flow, now, direct=direct)
        if lease.is_short:
            self._owners[lease.owner].hasten()
        return Passage(endpoint.name, lease.owner, flow, direct, is_over_share)

    def release(self, passage: Passage, now: float) -> None:
        """Count the end of a call."""
        lease = self._leases.get(passage.endpoint)
        if lease is None or lease.owner != passage.owner:
            return
        lease.end(passage.flow, now, direct=passage.direct)
        if lease.has_left and not lease.in_use:
            self._owners[lease.owner].hasten()

    def read_limit(self, endpoint: str, now: float) -> int:
        """Return how many connections to the endpoint may be open.

        Idle connections above it must be closed at once; running calls may end.
        """
        lease = self._leases.get(endpoint)
        return 0 if lease is None else lease.read_limit(now)

    def list_endpoints(self) -> tuple[str, ...]:
        """Return the endpoints that calls have lately gone to."""
        return tuple(self._leases)

    def has_free_lease(self, endpoint: str, now: float) -> bool:
        """Return whether a call of a subscriber within its share could go directly."""
        lease = self._leases.get(endpoint)
        return lease is not None and lease.has_free(now)

    def find_over_share(self, flow: str) -> Set[str]:
        """Return the endpoints at which the flow is over its share; others are better for it."""
        return self._over_share.get(flow, _NOWHERE)

    def collect_requests(self, now: float) -> list[OutgoingMessage]:
        """Return the requests that are due; to be called every `EARLY_RENEWAL_S` at least."""
        due = [name for name, owner in self._owners.items() if owner.next_request <= now]
        return [self._make_request(name, now) for name in due]

    def receive_grant(self, grant: LeaseGrant) -> None:
        """Put the grants in force that answer a request of this session."""
        owner = self._owners.get(grant.owner)
        if owner is None or grant.session != self._session:
            return
        sent_at = owner.sent.get(grant.serial)
        if sent_at is None:
            return
        for each in grant.grants:
            lease = self._leases.get(each.endpoint)
            if lease is None or lease.owner != grant.owner or lease.has_left:
                continue
            self._take_pressure(lease, each.pressure)
            if lease.apply(each, grant.serial, sent_at):
                owner.hasten()

    def receive_notice(self, notice: LeaseNotice) -> None:
        """Take the pressure on an endpoint from its owner."""
        lease = self._leases.get(notice.endpoint)
        if lease is not None and lease.owner == notice.owner:
            self._take_pressure(lease, notice.pressure)

    def forget(self, endpoint: str) -> None:
        """Use no lease of an endpoint that leaves; running calls may end.

        The owner is told with the next request, and again when the last call has ended.
        """
        lease = self._leases.get(endpoint)
        if lease is not None:
            lease.has_left = True
            lease.surrender(self._serial)
            self._owners[lease.owner].hasten()

    def _take_up(self, endpoint: Endpoint, known: HeldLease | None, now: float) -> HeldLease:
        if known is not None:
            self._drop(known)
        lease = HeldLease(endpoint.name, endpoint.node, self._serial, now)
        self._leases[endpoint.name] = lease
        owner = self._owners.setdefault(endpoint.node, _OwnerState())
        owner.endpoints.add(endpoint.name)
        owner.hasten()
        return lease

    def _take_pressure(self, lease: HeldLease, pressure: Pressure) -> None:
        before = lease.over_share
        lease.take_pressure(pressure)
        self._index_over_share(lease.endpoint, before, lease.over_share)

    def _index_over_share(
        self, endpoint: str, before: frozenset[str], after: frozenset[str]
    ) -> None:
        for flow in before - after:
            left = self._over_share[flow] - {endpoint}
            if left:
                self._over_share[flow] = left
            else:
                del self._over_share[flow]
        for flow in after - before:
            self._over_share[flow] = self._over_share.get(flow, _NOWHERE) | {endpoint}

    def _drop(self, lease: HeldLease) -> None:
        self._index_over_share(lease.endpoint, lease.over_share, _NOWHERE)
        del self._leases[lease.endpoint]
        owner = self._owners[lease.owner]
        owner.endpoints.discard(lease.endpoint)
        if not owner.endpoints:
            del self._owners[lease.owner]

    def _make_request(self, name: str, now: float) -> OutgoingMessage:
        owner = self._owners[name]
        self._serial += 1
        leases = [self._leases[endpoint] for endpoint in sorted(owner.endpoints)]
        given_back = [lease for lease in leases if lease.has_left or lease.is_idle(now - IDLE_S)]
        for lease in given_back:
            lease.surrender(self._serial)
        request = LeaseRequest(
            node=self._node,
            session=self._session,
            zone=self._zone,
            serial=self._serial,
            demands=tuple(lease.report(now) for lease in leases),
        )
        owner.note_sent(self._serial, now)
        for lease in given_back:
            if not lease.active:
                self._drop(lease)
        return OutgoingMessage(name, request)
