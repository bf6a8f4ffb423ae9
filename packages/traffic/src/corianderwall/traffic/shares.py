"""The shares of subscribers, and their demand at one endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

from corianderwall.model.resource import Snapshot
from corianderwall.traffic.apportion import Claim, find_level

UNKNOWN = ""
"""The flow of all subscribers that are not in the snapshot; it has the share 1."""
MEMORY_S = 0.5
"""Time constant of the decay: the weight of past use falls to 1/e in this time."""
SERVICE_GAIN = 0.1
TOLERANCE = 1.2
"""Ratio of demand to fair share above which a flow is over its share."""
RETURN_TOLERANCE = 0.6
"""The same ratio for a flow that is already over its share; it is lower as hysteresis."""
SHARED_USE = 0.7
"""Fraction of the limit up to which flows may borrow, so that queues at the endpoint stay short."""
MIN_PERIOD_S = 0.1
MAX_PERIOD_S = 5.0
"""Bounds of the period that one report of direct calls is assumed to cover."""
SWEEP_S = 0.5
"""Time between two removals of expired reports."""
NEGLIGIBLE = 0.002
"""Mean number of running calls below which a flow is dropped."""


class SubscriberShares:
    """The shares of one snapshot."""

    __slots__ = ("_shares",)

    def __init__(self, snapshot: Snapshot) -> None:
        self._shares = {each.name: float(each.share) for each in snapshot.subscribers}

    def find_flow(self, subscriber: str) -> str:
        """Return the flow of a subscriber, or `UNKNOWN` if it is not in the snapshot."""
        return subscriber if subscriber in self._shares else UNKNOWN

    def read_share(self, flow: str) -> float:
        """Return the weight of a flow."""
        return self._shares.get(flow, 1.0)


class _Use:
    """The exponentially decaying demand of one flow, in mean running calls."""

    __slots__ = ("at", "rate", "service_s")

    def __init__(self, now: float, service_s: float) -> None:
        self.rate = 0.0
        self.at = now
        self.service_s = service_s

    def read(self, now: float) -> float:
        """Return the demand at `now`."""
        return self.rate * exp((self.at - now) / MEMORY_S)

    def add(self, busy_s: float, now: float) -> None:
        """Add `busy_s` seconds of work."""
        self.rate = self.read(now) + busy_s / MEMORY_S
        self.at = now


@dataclass(frozen=True, slots=True)
class _DirectReport:
    """The mean running calls of one holder's flows, smoothed over `MEMORY_S`."""

    rates: Mapping[str, float]
    at: float


class ShareMeter:
    """The demand of each flow at one endpoint, in mean running calls, including refused calls."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._reports: dict[str, _DirectReport] = {}
        self._direct: dict[str, float] = {}
        self._next_sweep = float("-inf")
        self.mean_service_s = 0.0
        self._over: frozenset[str] = frozenset()

    def add_arrival(self, flow: str, now: float) -> None:
        """Count a call offered at the owner, with the expected service time of its flow."""
        use = self._find(flow, now)
        use.add(use.service_s, now)

    def report_direct(self, node: str, busy_s: Mapping[str, float], now: float) -> None:
        """Record the seconds of direct calls of one holder's flows since its last report."""
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
        self._add_direct(known.rates, -1.0)
        self._add_direct(kept, 1.0)

    def learn_service(self, flow: str, busy_s: float, now: float) -> None:
        """Update the mean service times with a call of a flow."""
        if not self.mean_service_s:
            self.mean_service_s = busy_s
        self.mean_service_s += SERVICE_GAIN * (busy_s - self.mean_service_s)
        use = self._find(flow, now)
        use.service_s = use.service_s or busy_s
        use.service_s += SERVICE_GAIN * (busy_s - use.service_s)

    def expect_service_s(self, flow: str) -> float:
        """Return the expected service time of a call of this flow, or 0 if there is no sample."""
        use = self._uses.get(flow)
        return use.service_s if use is not None and use.service_s else self.mean_service_s

    def measure_demands(self, now: float) -> dict[str, float]:
        """Return the demand of each flow, including the direct calls that holders report."""
        if now >= self._next_sweep:
            self._sweep(now)
        demands = {flow: use.read(now) for flow, use in self._uses.items()}
        for flow, rate in self._direct.items():
            demands[flow] = demands.get(flow, 0.0) + rate
        for flow in [flow for flow, rate in demands.items() if rate < NEGLIGIBLE]:
            del demands[flow]
            self._uses.pop(flow, None)
        return demands

    def read_direct(self) -> float:
        """Return the mean number of direct calls in the recent reports of holders."""
        return sum(self._direct.values())

    def find_over_share(
        self, demands: Mapping[str, float], shares: SubscriberShares, limit: float
    ) -> frozenset[str]:
        """Return the flows whose demand exceeds both their share and what they may borrow.

        A flow may borrow up to its max-min fair share of `SHARED_USE` of the limit.
        """
        if sum(demands.values()) <= limit * SHARED_USE:
            self._over = frozenset()
            return self._over
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

    def _add_direct(self, rates: Mapping[str, float], sign: float) -> None:
        for flow, rate in rates.items():
            self._direct[flow] = self._direct.get(flow, 0.0) + sign * rate

    def _sweep(self, now: float) -> None:
        """Drop the expired reports and recompute the sum of the others."""
        self._next_sweep = now + SWEEP_S
        stale = [node for node, report in self._reports.items() if now - report.at > MAX_PERIOD_S]
        for node in stale:
            del self._reports[node]
        self._direct = {}
        for report in self._reports.values():
            self._add_direct(report.rates, 1.0)

    def _read_tolerance(self, flow: str) -> float:
        return RETURN_TOLERANCE if flow in self._over else TOLERANCE

    def _find(self, flow: str, now: float) -> _Use:
        use = self._uses.get(flow)
        if use is None:
            use = self._uses[flow] = _Use(now, self.mean_service_s)
        return use
