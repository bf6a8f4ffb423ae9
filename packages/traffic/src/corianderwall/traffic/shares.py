"""The shares of subscribers, and their demand at one endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from corianderwall.model.resource import Snapshot
from corianderwall.traffic.apportion import Claim, find_fair_level

UNKNOWN_FLOW = ""
"""The flow of all subscribers that are not in the snapshot; it has the share 1."""
DEMAND_TIME_CONSTANT_S = 0.5
"""Time constant of the decay: the weight of past use falls to 1/e in this time."""
SERVICE_TIME_GAIN = 0.1
OVER_SHARE_RATIO = 1.2
"""Ratio of demand to fair share above which a flow is over its share."""
STILL_OVER_SHARE_RATIO = 0.6
"""The same ratio for a flow that is already over its share; it is lower as hysteresis."""
BORROWABLE_FRACTION = 0.7
"""Fraction of the limit up to which flows may borrow, so that queues at the endpoint stay short."""
MIN_REPORT_PERIOD_S = 0.1
MAX_REPORT_PERIOD_S = 5.0
"""Bounds of the period that one report of direct calls is assumed to cover."""
SWEEP_INTERVAL_S = 0.5
"""Time between two removals of expired reports."""
NEGLIGIBLE_DEMAND = 0.002
"""Mean number of running calls below which a flow is dropped."""


class SubscriberShares:
    """The shares of one snapshot."""

    __slots__ = ("_shares",)

    def __init__(self, snapshot: Snapshot) -> None:
        self._shares = {each.name: float(each.share) for each in snapshot.subscribers}

    def find_flow(self, subscriber: str) -> str:
        """Return the flow of a subscriber, or `UNKNOWN_FLOW` if it is not in the snapshot."""
        return subscriber if subscriber in self._shares else UNKNOWN_FLOW

    def read_share(self, flow: str) -> float:
        """Return the weight of a flow."""
        return self._shares.get(flow, 1.0)


class _FlowDemand:
    """The exponentially decaying demand of one flow, in mean running calls."""

    __slots__ = ("rate", "service_s", "updated_at")

    def __init__(self, now: float, service_s: float) -> None:
        self.rate = 0.0
        self.updated_at = now
        self.service_s = service_s

    def read(self, now: float) -> float:
        """Return the demand at `now`."""
        return self.rate * exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S)

    def add(self, busy_s: float, now: float) -> None:
        """Add `busy_s` seconds of work."""
        self.rate = self.read(now) + busy_s / DEMAND_TIME_CONSTANT_S
        self.updated_at = now


@dataclass(frozen=True, slots=True)
class _DirectReport:
    """The mean running calls of one holder's flows, smoothed over `DEMAND_TIME_CONSTANT_S`."""

    rates: Mapping[str, float]
    updated_at: float


class ShareMeter:
    """The demand of each flow at one endpoint, in mean running calls, including refused calls."""

    def __init__(self) -> None:
        self._demands: dict[str, _FlowDemand] = {}
        self._reports: dict[str, _DirectReport] = {}
        self._direct_rates: dict[str, float] = {}
        self._next_sweep = float("-inf")
        self.mean_service_s = 0.0
        self._over_share: frozenset[str] = frozenset()

    def add_arrival(self, flow: str, now: float) -> None:
        """Count a call offered at the owner, with the expected service time of its flow."""
        demand = self._find_demand(flow, now)
        demand.add(demand.service_s, now)

    def report_direct(self, node: str, busy_s: Mapping[str, float], now: float) -> None:
        """Record the seconds of direct calls of one holder's flows since its last report."""
        previous = self._reports.get(node)
        if previous is None:
            previous = _DirectReport({}, now - MAX_REPORT_PERIOD_S)
        period_s = min(MAX_REPORT_PERIOD_S, max(MIN_REPORT_PERIOD_S, now - previous.updated_at))
        gain = 1.0 - exp(-period_s / DEMAND_TIME_CONSTANT_S)
        rates = {flow: rate * (1.0 - gain) for flow, rate in previous.rates.items()}
        for flow, seconds in busy_s.items():
            rates[flow] = rates.get(flow, 0.0) + gain * seconds / period_s
        kept = {flow: rate for flow, rate in rates.items() if rate >= NEGLIGIBLE_DEMAND}
        self._reports[node] = _DirectReport(kept, now)
        self._add_direct_rates(previous.rates, -1.0)
        self._add_direct_rates(kept, 1.0)

    def observe_service_time(self, flow: str, busy_s: float, now: float) -> None:
        """Update the mean service times with a call of a flow."""
        if not self.mean_service_s:
            self.mean_service_s = busy_s
        self.mean_service_s += SERVICE_TIME_GAIN * (busy_s - self.mean_service_s)
        demand = self._find_demand(flow, now)
        demand.service_s = demand.service_s or busy_s
        demand.service_s += SERVICE_TIME_GAIN * (busy_s - demand.service_s)

    def estimate_service_s(self, flow: str) -> float:
        """Return the expected service time of a call of this flow, or 0 if there is no sample."""
        demand = self._demands.get(flow)
        return demand.service_s if demand is not None and demand.service_s else self.mean_service_s

    def measure_demands(self, now: float) -> dict[str, float]:
        """Return the demand of each flow, including the direct calls that holders report."""
        if now >= self._next_sweep:
            self._sweep(now)
        demands = {flow: demand.read(now) for flow, demand in self._demands.items()}
        for flow, rate in self._direct_rates.items():
            demands[flow] = demands.get(flow, 0.0) + rate
        for flow in [flow for flow, rate in demands.items() if rate < NEGLIGIBLE_DEMAND]:
            del demands[flow]
            self._demands.pop(flow, None)
        return demands

    def read_direct(self) -> float:
        """Return the mean number of direct calls in the recent reports of holders."""
        return sum(self._direct_rates.values())

    def find_over_share(
        self, demands: Mapping[str, float], shares: SubscriberShares, limit: float
    ) -> frozenset[str]:
        """Return the flows whose demand exceeds both their share and what they may borrow.

        A flow may borrow up to its max-min fair share of `BORROWABLE_FRACTION` of the limit.
        """
        if sum(demands.values()) <= limit * BORROWABLE_FRACTION:
            self._over_share = frozenset()
            return self._over_share
        claims = [Claim(flow, rate, shares.read_share(flow)) for flow, rate in demands.items()]
        weight = sum(claim.weight for claim in claims)
        level = find_fair_level(claims, limit * BORROWABLE_FRACTION)
        level = max(level, limit / weight if weight else level)
        self._over_share = frozenset(
            claim.name
            for claim in claims
            if claim.demand > level * claim.weight * self._read_over_share_ratio(claim.name)
        )
        return self._over_share

    def _add_direct_rates(self, rates: Mapping[str, float], sign: float) -> None:
        for flow, rate in rates.items():
            self._direct_rates[flow] = self._direct_rates.get(flow, 0.0) + sign * rate

    def _sweep(self, now: float) -> None:
        """Drop the expired reports and recompute the sum of the others."""
        self._next_sweep = now + SWEEP_INTERVAL_S
        stale = [
            node
            for node, report in self._reports.items()
            if now - report.updated_at > MAX_REPORT_PERIOD_S
        ]
        for node in stale:
            del self._reports[node]
        self._direct_rates = {}
        for report in self._reports.values():
            self._add_direct_rates(report.rates, 1.0)

    def _read_over_share_ratio(self, flow: str) -> float:
        return STILL_OVER_SHARE_RATIO if flow in self._over_share else OVER_SHARE_RATIO

    def _find_demand(self, flow: str, now: float) -> _FlowDemand:
        demand = self._demands.get(flow)
        if demand is None:
            demand = self._demands[flow] = _FlowDemand(now, self.mean_service_s)
        return demand
