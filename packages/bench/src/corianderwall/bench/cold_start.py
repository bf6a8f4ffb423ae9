"""Compares the pace with others for endpoints that all start cold, in virtual time."""

import argparse
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from corianderwall.bench.cold_model import (
    BOUND_PER_S,
    CAPACITY_PER_S,
    WARMUP_PER_S,
    WARMUP_S,
    ModelEndpoint,
    World,
)
from corianderwall.mesh.pace import Pace

BIN_S = 0.25
FULL_SHARE = 0.9
"""Served calls of a bin, relative to the demand, from which the service has its full share."""
RAMP_S = 10.0
"""Length of the fixed ramp; usual for a slow start of load balancers."""


@dataclass(slots=True)
class FixedRamp(Pace):
    """Raises the number of calls that may run at once with the time since the start."""

    age_from: float | None = None

    def restart(self) -> None:
        """Begin again with the next announcement."""
        self.age_from = None

    def record_statement(self, left_s: float, now: float) -> None:
        """Take the first announcement as the start."""
        self.age_from = now if self.age_from is None else self.age_from

    def limit_slots(self, slots: int, now: float) -> int:
        """Return the share of the slots that the age allows."""
        age_s = now - self.age_from if self.age_from is not None else 0.0
        return max(1, min(slots, int(slots * age_s / RAMP_S)))


@dataclass(slots=True)
class KnowingPace(Pace):
    """Knows when the endpoint is cold and how many calls it bears then."""

    cold_until: Callable[[], float] = field(default=lambda: 0.0)

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold."""
        return now < self.cold_until()

    def permits(self, now: float) -> bool:
        """Return whether the endpoint bears one more call."""
        return not self.is_cold(now) or self.count_recent(now) < int(BOUND_PER_S)

    def estimate_wait(self, now: float, ahead: int) -> float:
        """Return the time until it bears one more call, or is warm."""
        if not self.is_cold(now):
            return 0.0
        missing = self.count_recent(now) + ahead + 1 - int(BOUND_PER_S)
        if missing <= 0:
            return 0.0
        freed_s = self._starts[min(missing, len(self._starts)) - 1] + 1.0 - now
        return min(freed_s, self.cold_until() - now)

    def limit_slots(self, slots: int, now: float) -> int:
        """Return all slots, as only the rate matters."""
        return slots

    def estimate_rate(self, now: float, slots: int, call_s: float) -> float | None:
        """Return how many calls a second it bears."""
        return BOUND_PER_S if self.is_cold(now) else None

    def needs_check(self, now: float) -> bool:
        """Return that nothing has to be asked."""
        return False


POLICIES: dict[str, Callable[[], Pace]] = {
    "no pacing": Pace,
    "fixed ramp": lambda: FixedRamp(warmup_s=WARMUP_S),
    "knows the limit": lambda: KnowingPace(warmup_s=WARMUP_S),
    "pace, stated rate": lambda: Pace(warmup_s=WARMUP_S, rate_per_s=WARMUP_PER_S),
    "pace, no stated rate": lambda: Pace(warmup_s=WARMUP_S),
}


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run each policy for one owner, a service of 40 and two services with nested calls."""
    parser = argparse.ArgumentParser(prog="cold-start")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=0.8)
    options = parser.parse_args(arguments)
    return {
        "mode": "virtual",
        "seed": options.seed,
        "one owner": {name: run_once(options.seed, 1, name, options.load) for name in POLICIES},
        "40 endpoints": {name: run_once(options.seed, 40, name, options.load) for name in POLICIES},
        "nested": {
            "no pacing": run_nested(options.seed, "no pacing", limits_nested=False),
            "pace alone": run_nested(options.seed, "pace, stated rate", limits_nested=False),
            "pace": run_nested(options.seed, "pace, stated rate", limits_nested=True),
        },
    }


def run_once(
    seed: int, size: int, policy: str, load: float = 0.8, seconds: float = 12.0
) -> dict[str, float]:
    """Return the figures of a service that starts cold in front of its demand."""
    world = World(Random(seed))
    add_service(world, "s", size, policy)
    demand_per_s = size * CAPACITY_PER_S * load
    world.add_demand("s", demand_per_s, seconds)
    world.run(seconds)
    return {
        "served": world.counts["s served"],
        "offered": world.counts["s calls"],
        "full_share_s": _find_full_share(world, demand_per_s, seconds),
        "crashes": world.counts["crashes"],
        "refusals": world.counts["refusals"],
        "worst_second": max(each.worst_second for each in world.endpoints["s"]),
    }


def run_nested(
    seed: int, policy: str, *, limits_nested: bool, size: int = 40, needed_size: int = 6
) -> dict[str, float]:
    """Return the figures of two services that start cold.

    All calls to the first one need the other, which is much smaller and has callers of its own. It
    suffices for all of them once it is warm.
    """
    world = World(Random(seed), limits_nested=limits_nested)
    seconds = 12.0
    add_service(world, "s", size, policy)
    add_service(world, "t", needed_size, policy)
    world.add_demand("s", needed_size * CAPACITY_PER_S * 0.6, seconds, needs="t")
    world.add_demand("t", needed_size * CAPACITY_PER_S * 0.2, seconds)
    world.run(seconds)
    calls = world.counts["s calls"] + world.counts["t calls"]
    return {
        "served": world.counts["s served"] + world.counts["t served"],
        "offered": calls,
        "wasted": world.counts["wasted"],
        "crashes": world.counts["crashes"],
    }


def add_service(world: World, name: str, size: int, policy: str) -> None:
    """Add a service with this policy at its owners."""
    world.add_service(name, size, POLICIES[policy])
    for endpoint in world.endpoints[name]:
        _tell(endpoint)


def _tell(endpoint: ModelEndpoint) -> None:
    if isinstance(endpoint.pace, KnowingPace):
        endpoint.pace.cold_until = lambda: endpoint.cold_until


def _find_full_share(world: World, demand_per_s: float, seconds: float) -> float:
    """Return when calls are served at the rate of the demand for the first time, for 0.5 s."""
    bins = [0] * int(seconds / BIN_S + 1)
    for at, _, _ in world.served_at:
        bins[int(at / BIN_S)] += 1
    needed = demand_per_s * BIN_S * FULL_SHARE * 2
    for index in range(1, len(bins)):
        if bins[index - 1] + bins[index] >= needed:
            return (index + 1) * BIN_S
    return seconds
