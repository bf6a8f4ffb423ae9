"""Subscribers' shares, and the use that each makes of one endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from corianderwall.model.resource import Snapshot
from corianderwall.traffic.apportion import Claim, find_level

UNKNOWN = ""
"""The flow of all subscribers that the snapshot lacks; it has the share 1."""
MEMORY_S = 0.5
"""Time in which a past use loses all but 1/e of its weight."""
SERVICE_GAIN = 0.1
TOLERANCE = 1.2
"""Use, relative to the level of fair shares, from which a subscriber is over its share."""
RETURN_TOLERANCE = 0.6
SHARED_USE = 0.7
"""Part of the limit that is lent beyond shares, so that queues at the endpoint stay short."""
MIN_PERIOD_S = 0.1
MAX_PERIOD_S = 5.0
"""Bounds of the time that one report of direct use is taken to cover."""
NEGLIGIBLE = 0.002
"""Mean running calls below which a use is forgotten."""


class SubscriberShares:
    """The shares of one snapshot."""

    __slots__ = ("_shares",)

    def __init__(self, snapshot: Snapshot) -> None:
        self._shares = {each.name: float(each.share) for each in snapshot.subscribers}

    def find_flow(self, subscriber: str) -> str:
        """Return the subscriber, or `UNKNOWN` if it has no share of its own."""
        return subscriber if subscriber in self._shares else UNKNOWN

    def read_share(self, flow: str) -> float:
        """Return the weight of a flow."""
        return self._shares.get(flow, 1.0)


class _Use:
    """Decaying use of one flow, in mean running calls."""

    __slots__ = ("at", "rate", "service_s")

    def __init__(self, now: float, service_s: float) -> None:
        self.rate = 0.0
        self.at = now
        self.service_s = service_s

    def read(self, now: float) -> float:
        """Return the use at `now`."""
        return self.rate * exp((self.at - now) / MEMORY_S)

    def add(self, busy_s: float, now: float) -> None:
        """Add seconds of use."""
        self.rate = self.read(now) + busy_s / MEMORY_S
        self.at = now


@dataclass(frozen=True, slots=True)
class _DirectReport:
    """The mean running calls of one holder's flows, smoothed over `MEMORY_S`."""

    rates: Mapping[str, float]
    at: float


class ShareMeter:
    """The demand of every flow at one endpoint, in mean running calls, refused ones included."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._reports: dict[str, _DirectReport] = {}
        self.mean_service_s = 0.0
        self._over: frozenset[str] = frozenset()

    def add_arrival(self, flow: str, now: float) -> None:
        """Count a call offered at the owner, at the service time expected of its flow."""
        use = self._find(flow, now)
        use.add(use.service_s, now)

    def report_direct(self, node: str, busy_s: Mapping[str, float], now: float) -> None:
        """Take the seconds that one holder's flows used by direct calls since its last report."""
        known = self._reports.get(node)
        if known is None:
            known = _DirectReport({}, now - MAX_PERIOD_S)
        period_s = min(MAX_PERIOD_S, max(MIN_PERIOD_S, now - known.at))
        gain = 1.0 - exp(-period_s / MEMORY_S)
        rates = {flow: rate * (1.0 - gain) for flow, rate in known.rates.items()}
        for flow, seconds in busy_s.items():
            rates[flow] = rates.get(flow, 0.0) + gain * seconds / period_s
        kept = {flow: rate for flow, rate in rates.items() if rate >= NEGLIGIBLE}
        self._reports[node] = _DirectReport(kept, now)

    def learn_service(self, flow: str, busy_s: float, now: float) -> None:
        """Learn how long the calls of a flow run."""
        if not self.mean_service_s:
            self.mean_service_s = busy_s
        self.mean_service_s += SERVICE_GAIN * (busy_s - self.mean_service_s)
        use = self._find(flow, now)
        use.service_s = use.service_s or busy_s
        use.service_s += SERVICE_GAIN * (busy_s - use.service_s)

    def expect_service_s(self, flow: str) -> float:
        """Return how long a call of this flow runs, 0 if nothing is known."""
        use = self._uses.get(flow)
        return use.service_s if use is not None and use.service_s else self.mean_service_s

    def measure_demands(self, now: float) -> dict[str, float]:
        """Return the demand of each flow; what was reported directly counts for one period."""
        demands = {flow: use.read(now) for flow, use in self._uses.items()}
        stale = [node for node, report in self._reports.items() if now - report.at > MAX_PERIOD_S]
        for node in stale:
            del self._reports[node]
        for report in self._reports.values():
            for flow, rate in report.rates.items():
                demands[flow] = demands.get(flow, 0.0) + rate
        for flow in [flow for flow, rate in demands.items() if rate < NEGLIGIBLE]:
            del demands[flow]
            self._uses.pop(flow, None)
        return demands

    def read_direct(self, now: float) -> float:
        """Return the mean direct calls that holders have reported lately."""
        fresh = (report for report in self._reports.values() if now - report.at <= MAX_PERIOD_S)
        return sum(sum(report.rates.values()) for report in fresh)

    def find_over_share(
        self, demands: Mapping[str, float], shares: SubscriberShares, limit: float
    ) -> frozenset[str]:
        """Return the flows whose demand exceeds both their share of `limit` and what is lent.

        Lent is what max-min fair shares of `SHARED_USE` of the limit leave to them.
        """
        claims = [Claim(flow, rate, shares.read_share(flow)) for flow, rate in demands.items()]
        weight = sum(claim.weight for claim in claims)
        level = find_level(claims, limit * SHARED_USE)
        level = max(level, limit / weight if weight else level)
        self._over = frozenset(
            claim.name
            for claim in claims
            if claim.demand > level * claim.weight * self._read_tolerance(claim.name)
        )
        return self._over

    def _read_tolerance(self, flow: str) -> float:
        return RETURN_TOLERANCE if flow in self._over else TOLERANCE

    def _find(self, flow: str, now: float) -> _Use:
        use = self._uses.get(flow)
        if use is None:
            use = self._uses[flow] = _Use(now, self.mean_service_s)
        return use
