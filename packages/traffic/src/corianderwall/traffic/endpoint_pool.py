"""The endpoints of one service version, grouped by distance, and the choice among them."""

from collections.abc import Iterator, Set
from itertools import chain
from random import Random

from corianderwall.model.outcome import AttemptOutcome
from corianderwall.traffic.endpoint_stat import EndpointStat
from corianderwall.traffic.outliers import OutlierDetector, start_probing

TIER_COST_FACTORS = (1.0, 1.25, 12.0)
"""Cost factors of endpoints in the same zone, the same region and another region."""
SPILLOVER_LOAD = 0.8
"""Cost of an endpoint, in weighted calls per slot, from which farther tiers are considered."""
OWNER_HOP_COST_FACTOR = 1.5
"""Cost factor of an endpoint without a free lease, since its calls take a hop via the owner."""
MAX_DRAWS = 4
"""Number of random draws before all endpoints of a tier are scanned."""
ROUTE_LATENCY_GAIN = 0.02


class EndpointPool:
    """Balances calls by the power of two choices; updates take constant time."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._outliers = OutlierDetector(random)
        self._members: dict[str, EndpointStat] = {}
        self._tiers: tuple[list[EndpointStat], ...] = tuple([] for _ in TIER_COST_FACTORS)
        self._route_latency_s: dict[str, float] = {}

    @property
    def size(self) -> int:
        """The number of announced endpoints."""
        return len(self._members)

    @property
    def members(self) -> Iterator[EndpointStat]:
        """The announced endpoints, including those that accept no calls."""
        return iter(self._members.values())

    def add(self, stat: EndpointStat) -> None:
        """Add an endpoint; call `update_eligibility` afterwards to make it eligible."""
        self._members[stat.endpoint.name] = stat

    def remove(self, stat: EndpointStat) -> None:
        """Remove an endpoint."""
        self._remove_from_tier(stat)
        self._members.pop(stat.endpoint.name, None)
        self._outliers.remove(stat.endpoint.name)

    def update_eligibility(self, stat: EndpointStat) -> None:
        """Add the endpoint to its tier if it is eligible for calls, else remove it from there."""
        eligible = stat.accepts_work and not self._outliers.is_ejected(stat.endpoint.name)
        if not eligible:
            self._remove_from_tier(stat)
        elif stat.tier_index < 0:
            tier = self._tiers[stat.tier]
            stat.tier_index = len(tier)
            tier.append(stat)

    def observe(
        self, stat: EndpointStat, outcome: AttemptOutcome, now: float, *, use_latency: bool
    ) -> None:
        """Record an attempt, with its latency if `use_latency`; eject an outlier."""
        latency_ratio = self._compute_latency_ratio(outcome) if use_latency else None
        stat.observe(failed=outcome.is_failure, latency_ratio=latency_ratio, now=now)
        if not outcome.is_failure:
            self._outliers.count_probe_success(stat)
        if self._outliers.eject_if_outlier(stat, self.size, now):
            self.update_eligibility(stat)

    def choose(self, now: float, exclude: Set[str]) -> EndpointStat | None:
        """Return the endpoint for one call, or None if there is none."""
        self._start_due_probes(now)
        best: EndpointStat | None = None
        best_cost = float("inf")
        for tier, cost_factor in zip(self._tiers, TIER_COST_FACTORS, strict=True):
            stat = self._choose_in_tier(tier, now, exclude)
            if stat is None:
                continue
            cost = self._estimate_cost(stat, now) * cost_factor
            if cost < best_cost:
                best, best_cost = stat, cost
            if stat.estimate_cost(now) < SPILLOVER_LOAD:
                return best
        return best or self._choose_fallback(now, exclude)

    def draw_from_region(self, now: float, exclude: Set[str]) -> EndpointStat | None:
        """Return a random available endpoint of this region, or None if no draw finds one."""
        zone_tier, region_tier = self._tiers[0], self._tiers[1]
        for _ in range(MAX_DRAWS if zone_tier or region_tier else 0):
            index = int(self._random.random() * (len(zone_tier) + len(region_tier)))
            stat = (
                zone_tier[index] if index < len(zone_tier) else region_tier[index - len(zone_tier)]
            )
            if self._accepts_call(stat, now, exclude):
                return stat
        return None

    def _compute_latency_ratio(self, outcome: AttemptOutcome) -> float:
        """Return the ratio of the latency to the route's mean, which successes update."""
        mean_s = self._route_latency_s.get(outcome.route, outcome.latency_s)
        if not outcome.is_failure:
            change_s = ROUTE_LATENCY_GAIN * (outcome.latency_s - mean_s)
            self._route_latency_s[outcome.route] = mean_s + change_s
        return outcome.latency_s / mean_s if mean_s > 0 else 1.0

    def _choose_in_tier(
        self, tier: list[EndpointStat], now: float, exclude: Set[str]
    ) -> EndpointStat | None:
        for _ in range(MAX_DRAWS if tier else 0):
            pair = self._draw_pair(tier)
            accepting = [stat for stat in pair if self._accepts_call(stat, now, exclude)]
            if len(accepting) == 1:
                return accepting[0]
            if accepting:
                return min(accepting, key=lambda stat: self._estimate_cost(stat, now))
        return self._scan_tier(tier, now, exclude)

    def _draw_pair(self, tier: list[EndpointStat]) -> tuple[EndpointStat, EndpointStat]:
        """Return two random endpoints, distinct if the tier has more than one."""
        size = len(tier)
        first = int(self._random.random() * size)
        step = 1 + int(self._random.random() * (size - 1)) if size > 1 else 0
        return tier[first], tier[(first + step) % size]

    def _accepts_call(self, stat: EndpointStat, now: float, exclude: Set[str]) -> bool:
        if not _is_available(stat, now, exclude):
            return False
        ramp = stat.estimate_ramp(now)
        return ramp >= 1.0 or self._random.random() < ramp

    def _scan_tier(
        self, tier: list[EndpointStat], now: float, exclude: Set[str]
    ) -> EndpointStat | None:
        available = [stat for stat in tier if _is_available(stat, now, exclude)]
        return min(available, key=lambda stat: self._estimate_cost(stat, now), default=None)

    def _choose_fallback(self, now: float, exclude: Set[str]) -> EndpointStat | None:
        """Return the endpoint whose backoff ends first; ejected ones come last."""
        listed = chain.from_iterable(self._tiers)
        accepting = (stat for stat in self._members.values() if stat.accepts_work)
        for candidates in (listed, accepting):
            left = (stat for stat in candidates if stat.endpoint.name not in exclude)
            best = min(left, key=lambda stat: (stat.backoff_until, stat.outstanding), default=None)
            if best is not None:
                return best
        return None

    def _estimate_cost(self, stat: EndpointStat, now: float) -> float:
        cost = stat.estimate_cost(now)
        return cost if stat.leased else cost * OWNER_HOP_COST_FACTOR

    def _start_due_probes(self, now: float) -> None:
        for name in self._outliers.pop_due(now):
            stat = self._members.get(name)
            if stat is not None:
                start_probing(stat)
                self.update_eligibility(stat)

    def _remove_from_tier(self, stat: EndpointStat) -> None:
        if stat.tier_index < 0:
            return
        tier = self._tiers[stat.tier]
        last = tier.pop()
        if last is not stat:
            tier[stat.tier_index] = last
            last.tier_index = stat.tier_index
        stat.tier_index = -1


def _is_available(stat: EndpointStat, now: float, exclude: Set[str]) -> bool:
    if stat.endpoint.name in exclude or stat.backoff_until > now:
        return False
    return not (stat.probing and stat.outstanding)
