"""Connection leases at the entry node, which let calls go directly to an endpoint."""

from collections.abc import Set
from dataclasses import dataclass, field

from corianderwall.model.endpoint import Endpoint
from corianderwall.model.message import OutgoingMessage
from corianderwall.traffic.held_lease import HeldLease
from corianderwall.traffic.messages import LeaseGrant, LeaseNotice, LeaseRequest, Pressure

RENEWAL_INTERVAL_S = 4.0
"""Time between two requests to one owner while the held leases suffice."""
MIN_RENEWAL_INTERVAL_S = 0.1
"""Shortest time between two requests to one owner."""
IDLE_TIMEOUT_S = 15.0
"""Time without calls after which the leases of an endpoint are returned."""
MAX_RECENT_REQUESTS = 16
"""Number of recent requests to one owner whose responses are accepted."""
_EMPTY: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class NextHop:
    """Whether a call goes directly to its endpoint or through the owner.

    It must be released when the call ends. If `direct`, this node calls the endpoint itself on one
    of at most `read_connection_limit` connections; otherwise it hands the call to `owner`. `flow`
    is the name of the subscriber, or of the flow of unknown subscribers. A call of a flow over its
    share may wait only because of that flow, so it must not count as load of the endpoint.
    """

    endpoint: str
    owner: str
    flow: str
    direct: bool
    is_over_share: bool = False


@dataclass(slots=True)
class _OwnerState:
    """The requests to one owner and the known endpoints beside it."""

    endpoints: set[str] = field(default_factory=set)
    request_times: dict[int, float] = field(default_factory=dict)
    next_request_at: float = float("-inf")
    earliest_request_at: float = float("-inf")

    def record_sent(self, serial: int, now: float) -> None:
        """Record when a request was sent and schedule the next one."""
        self.request_times[serial] = now
        while len(self.request_times) > MAX_RECENT_REQUESTS:
            del self.request_times[next(iter(self.request_times))]
        self.next_request_at = now + RENEWAL_INTERVAL_S
        self.earliest_request_at = now + MIN_RENEWAL_INTERVAL_S

    def request_early(self) -> None:
        """Schedule the next request as early as the rate limit allows."""
        self.next_request_at = min(self.next_request_at, self.earliest_request_at)


class LeaseHolder:
    """The leases that one node holds; the first call to an endpoint requests leases of it."""

    def __init__(self, node: str, session: int, zone: str) -> None:
        self._node = node
        self._session = session
        self._zone = zone
        self._serial = 0
        self._leases: dict[str, HeldLease] = {}
        self._owners: dict[str, _OwnerState] = {}
        self._over_share: dict[str, frozenset[str]] = {}

    def acquire(self, endpoint: Endpoint, flow: str, call_deadline: float, now: float) -> NextHop:
        """Return how a call that starts now and ends by `call_deadline` reaches the endpoint."""
        lease = self._leases.get(endpoint.name)
        if lease is not None and lease.owner != endpoint.node and lease.running:
            return NextHop(endpoint.name, endpoint.node, flow, False)
        if lease is None or lease.owner != endpoint.node:
            lease = self._track(endpoint, lease, now)
        lease.has_endpoint_left = False
        is_over_share = flow in lease.over_share
        direct = not is_over_share and lease.allows_direct(call_deadline, now)
        lease.begin(flow, now, direct=direct)
        if lease.needs_early_renewal:
            self._owners[lease.owner].request_early()
        return NextHop(endpoint.name, lease.owner, flow, direct, is_over_share)

    def release(self, hop: NextHop, now: float) -> None:
        """Count the end of a call."""
        lease = self._leases.get(hop.endpoint)
        if lease is None or lease.owner != hop.owner:
            return
        lease.end(hop.flow, now, direct=hop.direct)
        if lease.has_endpoint_left and not lease.in_use:
            self._owners[lease.owner].request_early()

    def read_connection_limit(self, endpoint: str, now: float) -> int:
        """Return the maximum number of open connections to the endpoint.

        Idle connections above it must be closed immediately; running calls may still end.
        """
        lease = self._leases.get(endpoint)
        return 0 if lease is None else lease.read_connection_limit(now)

    def list_endpoints(self) -> tuple[str, ...]:
        """Return the endpoints that have received calls recently."""
        return tuple(self._leases)

    def has_free_lease(self, endpoint: str, now: float) -> bool:
        """Return whether a call of a subscriber within its share could go directly now."""
        lease = self._leases.get(endpoint)
        return lease is not None and lease.has_free(now)

    def find_over_share(self, flow: str) -> Set[str]:
        """Return the endpoints at which the flow is over its share; others serve it better."""
        return self._over_share.get(flow, _EMPTY)

    def collect_requests(self, now: float) -> list[OutgoingMessage]:
        """Return the requests that are due; call it at least every `MIN_RENEWAL_INTERVAL_S`."""
        due = [name for name, owner in self._owners.items() if owner.next_request_at <= now]
        return [self._make_request(name, now) for name in due]

    def receive_grant(self, grant: LeaseGrant) -> None:
        """Apply the grants in the response to a recent request of this session."""
        owner = self._owners.get(grant.owner)
        if owner is None or grant.session != self._session:
            return
        sent_at = owner.request_times.get(grant.serial)
        if sent_at is None:
            return
        for each in grant.grants:
            lease = self._leases.get(each.endpoint)
            if lease is None or lease.owner != grant.owner or lease.has_endpoint_left:
                continue
            self._update_pressure(lease, each.pressure)
            if lease.apply(each, grant.serial, sent_at):
                owner.request_early()

    def receive_notice(self, notice: LeaseNotice) -> None:
        """Update the pressure on an endpoint from its owner's notice."""
        lease = self._leases.get(notice.endpoint)
        if lease is not None and lease.owner == notice.owner:
            self._update_pressure(lease, notice.pressure)

    def forget(self, endpoint: str) -> None:
        """Stop using the leases of an endpoint that leaves; running calls may still end.

        The next request reports this to the owner, and another one the end of the last call.
        """
        lease = self._leases.get(endpoint)
        if lease is not None:
            lease.has_endpoint_left = True
            lease.return_leases(self._serial)
            self._owners[lease.owner].request_early()

    def _track(self, endpoint: Endpoint, known: HeldLease | None, now: float) -> HeldLease:
        if known is not None:
            self._untrack(known)
        lease = HeldLease(endpoint.name, endpoint.node, self._serial, now)
        self._leases[endpoint.name] = lease
        owner = self._owners.setdefault(endpoint.node, _OwnerState())
        owner.endpoints.add(endpoint.name)
        owner.request_early()
        return lease

    def _update_pressure(self, lease: HeldLease, pressure: Pressure) -> None:
        before = lease.over_share
        lease.update_pressure(pressure)
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
            self._over_share[flow] = self._over_share.get(flow, _EMPTY) | {endpoint}

    def _untrack(self, lease: HeldLease) -> None:
        self._index_over_share(lease.endpoint, lease.over_share, _EMPTY)
        del self._leases[lease.endpoint]
        owner = self._owners[lease.owner]
        owner.endpoints.discard(lease.endpoint)
        if not owner.endpoints:
            del self._owners[lease.owner]

    def _make_request(self, name: str, now: float) -> OutgoingMessage:
        owner = self._owners[name]
        self._serial += 1
        leases = [self._leases[endpoint] for endpoint in sorted(owner.endpoints)]
        returned = [
            lease
            for lease in leases
            if lease.has_endpoint_left or lease.is_idle(now - IDLE_TIMEOUT_S)
        ]
        for lease in returned:
            lease.return_leases(self._serial)
        request = LeaseRequest(
            node=self._node,
            session=self._session,
            zone=self._zone,
            serial=self._serial,
            demands=tuple(lease.make_demand(now) for lease in leases),
        )
        owner.record_sent(self._serial, now)
        for lease in returned:
            if not lease.running:
                self._untrack(lease)
        return OutgoingMessage(name, request)
