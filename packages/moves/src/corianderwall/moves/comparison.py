"""Compares the recent calls of both versions, zone by zone.

An alarm means that the new version is worse than the old one usually is. This comparison shows
whether the old version is currently just as bad, in which case the cause affects both.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

from corianderwall.moves.detector import Sample
from corianderwall.moves.evidence import OTHERS

RECENT_DECAY = 0.92
"""Factor by which the weight of older calls shrinks with each window."""

MIN_ZONE_CALLS = 8.0
"""Minimum calls of the old version in a zone; with fewer, its calls in all zones are used."""

_LEAST_RATE = 1e-4


@dataclass(slots=True)
class RecentTally:
    """Exponentially decaying counts of all calls and of those that failed or were slow."""

    calls: float = 0.0
    hits: float = 0.0
    tolerable_hits: float = 0.0

    def add(self, other: "RecentTally") -> None:
        """Add the counts of another tally."""
        self.calls += other.calls
        self.hits += other.hits
        self.tolerable_hits += other.tolerable_hits

    def take(self, sample: Sample) -> None:
        """Add the counts of a sample."""
        self.calls += sample.calls
        self.hits += sample.hits
        self.tolerable_hits += sample.calls * sample.null_rate

    def decay(self) -> None:
        """Decay the counts by one window."""
        self.calls *= RECENT_DECAY
        self.hits *= RECENT_DECAY
        self.tolerable_hits *= RECENT_DECAY

    @property
    def rate(self) -> float:
        """Return the fraction of the calls that failed or were slow."""
        return self.hits / self.calls if self.calls else 0.0

    @property
    def null_rate(self) -> float:
        """Return the highest tolerable rate."""
        return self.tolerable_hits / self.calls if self.calls else 0.0


class Origin(NamedTuple):
    """The place that served calls, an endpoint or a zone, and the route of the calls."""

    place: str
    route: str


def add_tallies(tallies: Iterable[RecentTally]) -> RecentTally:
    """Return the sum of `tallies`."""
    total = RecentTally()
    for tally in tallies:
        total.add(tally)
    return total


@dataclass(slots=True)
class Contrast:
    """Recent calls for one metric: by endpoint for the new version, by zone for the old one."""

    new: dict[Origin, RecentTally] = field(default_factory=dict)
    old: dict[Origin, RecentTally] = field(default_factory=dict)

    def decay(self) -> None:
        """Decay all counts by one window."""
        for tallies in (self.new, self.old):
            for tally in tallies.values():
                tally.decay()

    def take(self, origin: Origin, sample: Sample, *, is_new: bool) -> None:
        """Count a sample of either version."""
        tallies = self.new if is_new else self.old
        tally = tallies.get(origin)
        if tally is None:
            tally = tallies[origin] = RecentTally()
        tally.take(sample)

    def forget(self, endpoints: Iterable[str]) -> None:
        """Drop the counts of these endpoints of the new version."""
        gone = set(endpoints)
        self.new = {origin: each for origin, each in self.new.items() if origin.place not in gone}

    def sum_endpoints(self, route: str = "") -> dict[str, RecentTally]:
        """Return the new version's tally of each endpoint, on all routes or on one."""
        return _sum_places(self.new, route)

    def measure(self, zones: Mapping[str, str], route: str = "", endpoint: str = "") -> float:
        """Return the log likelihood ratio of a worse new version against equally good versions.

        The ratio is summed over the zones; an empty `route` or `endpoint` means all.
        """
        old = _sum_places(self.old, route)
        everywhere = add_tallies(old.values())
        new: dict[str, RecentTally] = {}
        for name, tally in self.sum_endpoints(route).items():
            if not endpoint or name == endpoint:
                new.setdefault(zones.get(name, OTHERS), RecentTally()).add(tally)
        total = 0.0
        for zone, tally in new.items():
            control = old.get(zone)
            if control is None or control.calls < MIN_ZONE_CALLS:
                control = everywhere
            total += _compare(tally, control)
        return total


def _sum_places(tallies: Mapping[Origin, RecentTally], route: str) -> dict[str, RecentTally]:
    places: dict[str, RecentTally] = {}
    for origin, tally in tallies.items():
        if not route or origin.route == route:
            places.setdefault(origin.place, RecentTally()).add(tally)
    return places


def _compare(new: RecentTally, old: RecentTally) -> float:
    if new.rate <= old.rate:
        return 0.0
    both = (new.hits + old.hits) / (new.calls + old.calls)
    apart = _weigh(new, new.rate) + _weigh(old, old.rate)
    return apart - _weigh(new, both) - _weigh(old, both)


def _weigh(tally: RecentTally, rate: float) -> float:
    bounded = min(max(rate, _LEAST_RATE), 1 - _LEAST_RATE)
    return tally.hits * log(bounded) + (tally.calls - tally.hits) * log(1 - bounded)
