"""The owner's side of connection leases: no more calls than connections, over all nodes."""

from dataclasses import dataclass, field

from corianderwall.model.message import OutgoingMessage
from corianderwall.traffic.apportion import Claim, apportion_whole
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
from corianderwall.traffic.notices import NoticeBudget

LOCAL_WEIGHT = 3.0
"""Weight of a demand from the owner's zone against one from elsewhere."""
REAPPORTION_S = 0.5
"""Shortest time between two divisions of one endpoint's budget."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasePolicy:
    """The terms of leases: a call begins within `term_s` and ends within `call_s` of its start."""

    term_s: float = 12.0
    call_s: float = 20.0


@dataclass(frozen=True, slots=True)
class EndpointUsage:
    """What one holder reported of an endpoint."""

    endpoint: str
    node: str
    usage: tuple[SubscriberUsage, ...]
    in_use: int


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The grant to send back and the usage that came with the request."""

    outgoing: OutgoingMessage
    reports: tuple[EndpointUsage, ...]


@dataclass(slots=True)
class _LeasedEndpoint:
    """The budget of one endpoint and the accounts of its holders.

    `charged` sums what the accounts were last counted at, which is never too little.
    """

    budget: int
    pressure: Pressure
    accounts: dict[tuple[str, int], LeaseAccount] = field(default_factory=dict)
    targets: dict[str, int] = field(default_factory=dict)
    next_division: float = float("-inf")
    charged: int = 0
    is_draining: bool = False
    told_sequence: int = 0
    notices: NoticeBudget = field(default_factory=NoticeBudget)


class LeaseIssuer:
    """Hands out the leases of the endpoints beside this node.

    After a start no lease is granted until those of an earlier session have ended.
    """

    def __init__(
        self, node: str, session: int, zone: str, now: float, policy: LeasePolicy | None = None
    ) -> None:
        self._node = node
        self._session = session
        self._zone = zone
        self._policy = policy or LeasePolicy()
        self._grants_from = now + self._policy.term_s + self._policy.call_s
        self._endpoints: dict[str, _LeasedEndpoint] = {}

    def set_budget(self, endpoint: str, budget: int) -> None:
        """Set how many connections are leased at most; 0 takes the leases back.

        A budget above 0 ends a drain, as the endpoint is ready again.
        """
        leased = self._endpoints.get(endpoint)
        if leased is None:
            pressure = Pressure(self._session, 0)
            self._endpoints[endpoint] = _LeasedEndpoint(budget, pressure)
        else:
            leased.budget = budget
            leased.is_draining = leased.is_draining and not budget
            leased.next_division = float("-inf")

    def count_charge(self, endpoint: str, now: float) -> int:
        """Return the most connections that holders may have in use."""
        leased = self._endpoints.get(endpoint)
        if leased is None:
            return 0
        return sum(account.count_charge(now) for account in leased.accounts.values())

    def set_pressure(
        self, endpoint: str, *, saturated: bool, over_share: tuple[str, ...], now: float
    ) -> list[OutgoingMessage]:
        """Change which calls come through the owner; return the notices to the holders.

        To be called often: a change that had to wait for its notices is told by a later call.
        """
        leased = self._endpoints.get(endpoint)
        if leased is None:
            return []
        saturated = saturated or leased.is_draining
        known = leased.pressure
        if (known.saturated, known.over_share) != (saturated, over_share):
            leased.pressure = Pressure(self._session, known.sequence + 1, saturated, over_share)
        is_told = leased.told_sequence == leased.pressure.sequence
        if is_told or not leased.notices.take(now):
            return []
        return self._make_notices(endpoint, leased)

    def drain(self, endpoint: str) -> list[OutgoingMessage]:
        """Take all leases back; return the notices, to be asked for again every second.

        From then on all calls come through the owner, which refuses them.
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
        """Answer a request; one that is doubled or overtaken by a newer gets no answer."""
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
            settled = [key for key, account in leased.accounts.items() if _is_settled(account, now)]
            for key in settled:
                leased.charged -= leased.accounts.pop(key).counted

    def _respond(
        self, request: LeaseRequest, demand: LeaseDemand, now: float
    ) -> EndpointGrant | None:
        leased = self._endpoints.get(demand.endpoint)
        if leased is None:
            return None
        account = self._open_account(leased, request)
        if request.serial <= account.last_serial:
            return None
        account.last_serial = request.serial
        account.wanted = max(0, demand.wanted)
        account.confirm(demand.applied_serial, demand.in_use)
        count = self._decide_count(leased, account, now)
        policy = self._policy
        account.grant(request.serial, count, now + policy.term_s + policy.call_s)
        leased.charged += account.recount(now)
        return EndpointGrant(
            endpoint=demand.endpoint,
            count=count,
            term_ms=int(policy.term_s * 1000),
            call_ms=int(policy.call_s * 1000),
            pressure=leased.pressure,
        )

    def _make_notices(self, endpoint: str, leased: _LeasedEndpoint) -> list[OutgoingMessage]:
        leased.told_sequence = leased.pressure.sequence
        notice = LeaseNotice(owner=self._node, endpoint=endpoint, pressure=leased.pressure)
        holders = {account.node for account in leased.accounts.values() if account.current}
        return [OutgoingMessage(holder, notice) for holder in sorted(holders)]

    def _open_account(self, leased: _LeasedEndpoint, request: LeaseRequest) -> LeaseAccount:
        key = (request.node, request.session)
        account = leased.accounts.get(key)
        if account is None:
            account = LeaseAccount(request.node, is_local=request.zone == self._zone)
            leased.accounts[key] = account
            leased.next_division = float("-inf")
        return account

    def _decide_count(self, leased: _LeasedEndpoint, account: LeaseAccount, now: float) -> int:
        if now < self._grants_from:
            return 0
        if now >= leased.next_division:
            self._divide(leased, now)
        leased.charged += account.recount(now)
        free = leased.budget - (leased.charged - account.counted)
        return max(0, min(account.wanted, leased.targets.get(account.node, 0), free))

    def _divide(self, leased: _LeasedEndpoint, now: float) -> None:
        claims = [_make_claim(account) for account in _list_newest(leased.accounts).values()]
        leased.charged += sum(account.recount(now) for account in leased.accounts.values())
        leased.targets = apportion_whole(claims, leased.budget)
        leased.next_division = now + REAPPORTION_S


def _make_claim(account: LeaseAccount) -> Claim:
    weight = max(1, account.wanted) * (LOCAL_WEIGHT if account.is_local else 1.0)
    return Claim(account.node, account.wanted, weight, account.current)


def _list_newest(accounts: dict[tuple[str, int], LeaseAccount]) -> dict[str, LeaseAccount]:
    """Return the account of each node's newest session."""
    return {node: accounts[node, session] for node, session in sorted(accounts)}


def _is_settled(account: LeaseAccount, now: float) -> bool:
    return account.settled_at <= now
