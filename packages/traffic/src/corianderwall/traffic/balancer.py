"""Load balancing of calls among the endpoints of a service version."""

from collections.abc import Set
from random import Random

from corianderwall.model.endpoint import Endpoint, Locality
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.traffic.endpoint_pool import EndpointPool
from corianderwall.traffic.endpoint_stat import EndpointStat


class Balancer:
    """Balances the calls of a node at `locality` over the announced endpoints."""

    def __init__(self, locality: Locality, random: Random) -> None:
        self._locality = locality
        self._random = random
        self._stats: dict[str, EndpointStat] = {}
        self._pools: dict[tuple[str, str], EndpointPool] = {}

    def upsert(self, endpoint: Endpoint, now: float, unix_ms: int) -> None:
        """Add or update an announced endpoint; an announcement older than the last is ignored."""
        known = self._stats.get(endpoint.name)
        if known is not None and endpoint.incarnation < known.endpoint.incarnation:
            return
        if known is not None and _is_same_instance(known.endpoint, endpoint):
            known.endpoint = endpoint
            self._update_eligibility(known)
            return
        self.remove(endpoint.name)
        age_s = max(0.0, (unix_ms - endpoint.started_unix_ms) / 1000)
        tier = self._find_tier(endpoint.locality)
        stat = EndpointStat(endpoint, tier=tier, ramp_start=now - age_s)
        self._stats[endpoint.name] = stat
        self._find_pool(endpoint).add(stat)
        self._update_eligibility(stat)

    def remove(self, name: str) -> None:
        """Remove an endpoint that has left."""
        stat = self._stats.pop(name, None)
        if stat is None:
            return
        pool = self._find_pool(stat.endpoint)
        pool.remove(stat)
        if not pool.size:
            del self._pools[stat.endpoint.service, stat.endpoint.version]

    def set_suspected(self, name: str, *, suspected: bool) -> None:
        """Stop or resume sending calls to an endpoint whose node is suspected to have failed."""
        stat = self._stats.get(name)
        if stat is not None:
            stat.suspected = suspected
            self._update_eligibility(stat)

    def set_leased(self, name: str, *, leased: bool) -> None:
        """Record whether this node holds a free connection lease of the endpoint."""
        stat = self._stats.get(name)
        if stat is not None:
            stat.leased = leased

    def report_load(self, name: str, running: int, now: float) -> None:
        """Record the number of running calls that the endpoint or its node reports."""
        stat = self._stats.get(name)
        if stat is not None:
            stat.report_load(running, now)

    def choose(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Set[str] = frozenset(),
        over_share: Set[str] = frozenset(),
    ) -> Endpoint | None:
        """Return the endpoint for a call, or None if none outside `exclude` accepts calls.

        `over_share` holds the endpoints at which the subscriber is over its share. A call that
        would go to one of them goes to a random endpoint of the region, since its wait depends on
        the subscriber's share and not on the load of the endpoint.
        """
        pool = self._pools.get((service, version))
        if pool is None:
            return None
        stat = pool.choose(now, exclude)
        if stat is not None and stat.endpoint.name in over_share:
            stat = pool.draw_from_region(now, exclude) or stat
        return None if stat is None else stat.endpoint

    def start(self, name: str) -> int:
        """Record the start of an attempt; return the outstanding attempts, including this one."""
        stat = self._stats.get(name)
        if stat is None:
            return 0
        stat.outstanding += 1
        return stat.outstanding

    def count_outstanding(self, name: str) -> int:
        """Return the number of outstanding attempts of this node at an endpoint."""
        stat = self._stats.get(name)
        return 0 if stat is None else stat.outstanding

    def finish(
        self,
        outcome: AttemptOutcome,
        now: float,
        *,
        retry_after_s: float = 0.0,
        is_handed_over: bool = False,
    ) -> None:
        """Record the outcome of an attempt begun with `start`.

        Only a failure counts if the attempt `is_handed_over` to the owner: a wait or a refusal
        there may be due to the share of the subscriber and not to the endpoint.
        """
        stat = self._stats.get(outcome.endpoint)
        if stat is None:
            return
        stat.outstanding = max(0, stat.outstanding - 1)
        if outcome.cancelled or (outcome.refused and is_handed_over):
            return
        if outcome.refused:
            stat.back_off(retry_after_s, self._random.uniform(0.5, 1.0), now)
            return
        pool = self._find_pool(stat.endpoint)
        pool.observe(stat, outcome, now, use_latency=not is_handed_over)

    def list_endpoints(self, service: str, version: str) -> tuple[Endpoint, ...]:
        """Return the announced endpoints, including those that accept no calls."""
        pool = self._pools.get((service, version))
        return () if pool is None else tuple(stat.endpoint for stat in pool.members)

    def _find_pool(self, endpoint: Endpoint) -> EndpointPool:
        key = (endpoint.service, endpoint.version)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = EndpointPool(self._random)
        return pool

    def _update_eligibility(self, stat: EndpointStat) -> None:
        self._find_pool(stat.endpoint).update_eligibility(stat)

    def _find_tier(self, locality: Locality) -> int:
        if locality.region != self._locality.region:
            return 2
        return 0 if locality.zone == self._locality.zone else 1


def _is_same_instance(known: Endpoint, announced: Endpoint) -> bool:
    """Return whether an announcement updates the known instance instead of replacing it."""
    return (
        known.started_unix_ms == announced.started_unix_ms
        and known.address == announced.address
        and known.service == announced.service
        and known.version == announced.version
        and known.locality == announced.locality
    )
