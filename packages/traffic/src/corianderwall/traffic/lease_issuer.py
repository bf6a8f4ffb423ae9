"""Connection leases at the owner, which bound the direct calls of all nodes to its endpoints."""

from dataclasses import dataclass, field

from corianderwall.model.message import OutgoingMessage
from corianderwall.traffic.apportion import Claim, apportion_integers
from corianderwall.traffic.lease_account import LeaseAccount
from corianderwall.traffic.messages import (
    EndpointGrant,
    LeaseDemand,
    LeaseGrant,
    LeaseNotice,
    LeaseRequest,
    Pressure,
    SubscriberUsage,
)
from corianderwall.traffic.notices import NoticeLimiter

LOCAL_ZONE_WEIGHT = 3.0
"""Weight of a demand from the owner's zone; a demand from elsewhere has the weight 1."""
MIN_DIVISION_INTERVAL_S = 0.5
"""Shortest time between two divisions of an endpoint's budget among its holders."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """A call on a lease starts within `term_s` of the request and runs for `max_call_s` at most."""

    term_s: float = 12.0
    max_call_s: float = 20.0


@dataclass(frozen=True, slots=True)
class EndpointUsage:
    """The usage of an endpoint that one holder reported."""

    endpoint: str
    node: str
    usage: tuple[SubscriberUsage, ...]
    in_use: int


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The response to a lease request, and the usage that the request reported."""

    outgoing: OutgoingMessage
    reports: tuple[EndpointUsage, ...]


@dataclass(slots=True)
class _LeasedEndpoint:
    """The budget of one endpoint and the accounts of its holders.

    `charged` is the sum of the last computed charges of the accounts. It is never too low, since a
    charge only falls with time.
    """

    budget: int
    pressure: Pressure
    accounts: dict[tuple[str, int], LeaseAccount] = field(default_factory=dict)
    targets: dict[str, int] = field(default_factory=dict)
    next_division_at: float = float("-inf")
    charged: int = 0
    is_draining: bool = False
    sent_sequence: int = 0
    notice_limiter: NoticeLimiter = field(default_factory=NoticeLimiter)


class LeaseIssuer:
    """Grants leases of the endpoints beside this node.

    After a start, no lease is granted until all leases of an earlier session have ended.
    """

    def __init__(
        self, node: str, session: int, zone: str, now: float, policy: LeasePolicy | None = None
    ) -> None:
        self._node = node
        self._session = session
        self._zone = zone
        self._policy = policy or LeasePolicy()
        self._first_grant_at = now + self._policy.term_s + self._policy.max_call_s
        self._endpoints: dict[str, _LeasedEndpoint] = {}

    def set_budget(self, endpoint: str, budget: int) -> None:
        """Set the maximum number of leased connections; 0 revokes the leases.

        A budget above 0 ends a drain, since the endpoint is ready again.
        """
        leased = self._endpoints.get(endpoint)
        if leased is None:
            pressure = Pressure(self._session, 0)
            self._endpoints[endpoint] = _LeasedEndpoint(budget, pressure)
        else:
            leased.budget = budget
            leased.is_draining = leased.is_draining and not budget
            leased.next_division_at = float("-inf")

    def count_charge(self, endpoint: str, now: float) -> int:
        """Return the maximum number of connections that holders may be using."""
        leased = self._endpoints.get(endpoint)
        if leased is None:
            return 0
        return sum(account.count_charge(now) for account in leased.accounts.values())

    def set_pressure(
        self, endpoint: str, *, saturated: bool, over_share: tuple[str, ...], now: float
    ) -> list[OutgoingMessage]:
        """Set which calls must go through the owner; return the notices to the holders.

        Must be called often: notices that exceed the rate limit are sent by a later call.
        """
        leased = self._endpoints.get(endpoint)
        if leased is None:
            return []
        saturated = saturated or leased.is_draining
        known = leased.pressure
        if (known.saturated, known.over_share) != (saturated, over_share):
            leased.pressure = Pressure(self._session, known.sequence + 1, saturated, over_share)
        is_sent = leased.sent_sequence == leased.pressure.sequence
        if is_sent or not leased.notice_limiter.take_token(now):
            return []
        return self._make_notices(endpoint, leased)

    def drain(self, endpoint: str) -> list[OutgoingMessage]:
        """Revoke all leases and return the notices to the holders.

        All calls then go through the owner, which refuses them. Must be called every second while
        the endpoint drains, since notices may be lost.
        """
        leased = self._endpoints.get(endpoint)
        if leased is None:
            return []
        leased.is_draining = True
        self.set_budget(endpoint, 0)
        known = leased.pressure
        if not known.saturated:
            leased.pressure = Pressure(self._session, known.sequence + 1, True, known.over_share)
        return self._make_notices(endpoint, leased)

    def receive(self, request: LeaseRequest, now: float) -> LeaseResponse | None:
        """Return the response to a request, or None if it is a duplicate or older than the last."""
        grants: list[EndpointGrant] = []
        reports: list[EndpointUsage] = []
        for demand in request.demands:
            grant = self._respond(request, demand, now)
            if grant is not None:
                grants.append(grant)
                usage = EndpointUsage(demand.endpoint, request.node, demand.usage, demand.in_use)
                reports.append(usage)
        if not grants:
            return None
        message = LeaseGrant(
            owner=self._node,
            session=request.session,
            serial=request.serial,
            grants=tuple(grants),
        )
        return LeaseResponse(OutgoingMessage(request.node, message), tuple(reports))

    def expire(self, now: float) -> None:
        """Drop the accounts of holders whose calls have all ended."""
        for leased in self._endpoints.values():
            ended = [key for key, account in leased.accounts.items() if _has_ended(account, now)]
            for key in ended:
                leased.charged -= leased.accounts.pop(key).charged

    def _respond(
        self, request: LeaseRequest, demand: LeaseDemand, now: float
    ) -> EndpointGrant | None:
        leased = self._endpoints.get(demand.endpoint)
        if leased is None:
            return None
        account = self._find_account(leased, request)
        if request.serial <= account.last_serial:
            return None
        account.last_serial = request.serial
        account.wanted = max(0, demand.wanted)
        account.confirm(demand.applied_serial, demand.in_use)
        count = self._decide_count(leased, account, now)
        policy = self._policy
        account.record_grant(request.serial, count, now + policy.term_s + policy.max_call_s)
        leased.charged += account.update_charge(now)
        return EndpointGrant(
            endpoint=demand.endpoint,
            count=count,
            term_ms=int(policy.term_s * 1000),
            call_ms=int(policy.max_call_s * 1000),
            pressure=leased.pressure,
        )

    def _make_notices(self, endpoint: str, leased: _LeasedEndpoint) -> list[OutgoingMessage]:
        leased.sent_sequence = leased.pressure.sequence
        notice = LeaseNotice(owner=self._node, endpoint=endpoint, pressure=leased.pressure)
        holders = {account.node for account in leased.accounts.values() if account.newest_count}
        return [OutgoingMessage(holder, notice) for holder in sorted(holders)]

    def _find_account(self, leased: _LeasedEndpoint, request: LeaseRequest) -> LeaseAccount:
        key = (request.node, request.session)
        account = leased.accounts.get(key)
        if account is None:
            account = LeaseAccount(request.node, is_local=request.zone == self._zone)
            leased.accounts[key] = account
            leased.next_division_at = float("-inf")
        return account

    def _decide_count(self, leased: _LeasedEndpoint, account: LeaseAccount, now: float) -> int:
        if now < self._first_grant_at:
            return 0
        if now >= leased.next_division_at:
            self._divide_budget(leased, now)
        leased.charged += account.update_charge(now)
        free = leased.budget - (leased.charged - account.charged)
        return max(0, min(account.wanted, leased.targets.get(account.node, 0), free))

    def _divide_budget(self, leased: _LeasedEndpoint, now: float) -> None:
        claims = [
            _make_claim(account) for account in _list_newest_sessions(leased.accounts).values()
        ]
        leased.charged += sum(account.update_charge(now) for account in leased.accounts.values())
        leased.targets = apportion_integers(claims, leased.budget)
        leased.next_division_at = now + MIN_DIVISION_INTERVAL_S


def _make_claim(account: LeaseAccount) -> Claim:
    weight = max(1, account.wanted) * (LOCAL_ZONE_WEIGHT if account.is_local else 1.0)
    return Claim(account.node, account.wanted, weight, account.newest_count)


def _list_newest_sessions(accounts: dict[tuple[str, int], LeaseAccount]) -> dict[str, LeaseAccount]:
    """Return the account of the newest session of each node."""
    return {node: accounts[node, session] for node, session in sorted(accounts)}


def _has_ended(account: LeaseAccount, now: float) -> bool:
    return account.all_ended_at <= now
