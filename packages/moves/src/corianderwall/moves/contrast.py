"""Compares both versions over the same last seconds, zone by zone.

An alarm says that the new version does worse than the old one usually does. This tells whether
the old one does as badly at the moment, so that the cause concerns both.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

from corianderwall.moves.detector import Sample
from corianderwall.moves.evidence import OTHERS

RECENT_DECAY = 0.92
"""Factor per window by which older calls fade."""

MIN_ZONE_CALLS = 8.0
"""Calls of the old version from which a zone is compared with itself, not with all zones."""

_LEAST_RATE = 1e-4


@dataclass(slots=True)
class RecentTally:
    """Decaying counts of calls and of those that failed or were slow."""

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
        """Let the counts fade by one window."""
        self.calls *= RECENT_DECAY
        self.hits *= RECENT_DECAY
        self.tolerable_hits *= RECENT_DECAY

    @property
    def rate(self) -> float:
        """Return the part of the calls that were hits."""
        return self.hits / self.calls if self.calls else 0.0

    @property
    def null_rate(self) -> float:
        """Return the rate that is tolerable."""
        return self.tolerable_hits / self.calls if self.calls else 0.0


class Origin(NamedTuple):
    """Where calls were answered, an endpoint or a zone, and the route by which they came."""

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
    """Recent calls of the new version by endpoint and of the old one by zone, for one metric."""

    new: dict[Origin, RecentTally] = field(default_factory=dict)
    old: dict[Origin, RecentTally] = field(default_factory=dict)

    def decay(self) -> None:
        """Let all counts fade by one window."""
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
        """Leave out the calls of these endpoints of the new version."""
        gone = set(endpoints)
        self.new = {origin: each for origin, each in self.new.items() if origin.place not in gone}

    def sum_endpoints(self, route: str = "") -> dict[str, RecentTally]:
        """Return the new version's tally of each endpoint, on all routes or on one."""
        return _sum_places(self.new, route)

    def measure(self, zones: Mapping[str, str], route: str = "", endpoint: str = "") -> float:
        """Return the log likelihood ratio for "the new version does worse" against "both alike".

        It is summed over the zones; an empty `route` or `endpoint` stands for all.
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
