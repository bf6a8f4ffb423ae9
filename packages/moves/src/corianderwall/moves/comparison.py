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

_MIN_RATE = 1e-4


@dataclass(slots=True)
class RecentTally:
    """Exponentially decaying counts of all calls and of those that failed or were slow."""

    calls: float = 0.0
    bad_calls: float = 0.0
    tolerable_bad_calls: float = 0.0

    def add(self, other: "RecentTally") -> None:
        """Add the counts of another tally."""
        self.calls += other.calls
        self.bad_calls += other.bad_calls
        self.tolerable_bad_calls += other.tolerable_bad_calls

    def add_sample(self, sample: Sample) -> None:
        """Add the counts of a sample."""
        self.calls += sample.calls
        self.bad_calls += sample.bad_calls
        self.tolerable_bad_calls += sample.calls * sample.null_rate

    def decay(self) -> None:
        """Decay the counts by one window."""
        self.calls *= RECENT_DECAY
        self.bad_calls *= RECENT_DECAY
        self.tolerable_bad_calls *= RECENT_DECAY

    @property
    def rate(self) -> float:
        """Return the fraction of the calls that failed or were slow."""
        return self.bad_calls / self.calls if self.calls else 0.0

    @property
    def null_rate(self) -> float:
        """Return the highest tolerable rate."""
        return self.tolerable_bad_calls / self.calls if self.calls else 0.0


class CallGroup(NamedTuple):
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
class VersionComparison:
    """Recent calls for one metric: by endpoint for the new version, by zone for the old one."""

    new: dict[CallGroup, RecentTally] = field(default_factory=dict)
    old: dict[CallGroup, RecentTally] = field(default_factory=dict)

    def decay(self) -> None:
        """Decay all counts by one window."""
        for tallies in (self.new, self.old):
            for tally in tallies.values():
                tally.decay()

    def add_sample(self, group: CallGroup, sample: Sample, *, is_new: bool) -> None:
        """Count a sample of either version."""
        tallies = self.new if is_new else self.old
        tally = tallies.get(group)
        if tally is None:
            tally = tallies[group] = RecentTally()
        tally.add_sample(sample)

    def remove_endpoints(self, endpoints: Iterable[str]) -> None:
        """Drop the counts of these endpoints of the new version."""
        removed = set(endpoints)
        self.new = {group: each for group, each in self.new.items() if group.place not in removed}

    def sum_endpoints(self, route: str = "") -> dict[str, RecentTally]:
        """Return the new version's tally of each endpoint, on all routes or on one."""
        return _sum_places(self.new, route)

    def compute_log_ratio(
        self, zones: Mapping[str, str], route: str = "", endpoint: str = ""
    ) -> float:
        """Return the log likelihood ratio of a worse new version against equally good versions.

        The ratio is summed over the zones; an empty `route` or `endpoint` means all.
        """
        old = _sum_places(self.old, route)
        all_zones = add_tallies(old.values())
        new: dict[str, RecentTally] = {}
        for name, tally in self.sum_endpoints(route).items():
            if not endpoint or name == endpoint:
                new.setdefault(zones.get(name, OTHERS), RecentTally()).add(tally)
        total = 0.0
        for zone, tally in new.items():
            control = old.get(zone)
            if control is None or control.calls < MIN_ZONE_CALLS:
                control = all_zones
            total += _compute_log_ratio(tally, control)
        return total


def _sum_places(tallies: Mapping[CallGroup, RecentTally], route: str) -> dict[str, RecentTally]:
    places: dict[str, RecentTally] = {}
    for group, tally in tallies.items():
        if not route or group.route == route:
            places.setdefault(group.place, RecentTally()).add(tally)
    return places


def _compute_log_ratio(new: RecentTally, old: RecentTally) -> float:
    if new.rate <= old.rate:
        return 0.0
    pooled_rate = (new.bad_calls + old.bad_calls) / (new.calls + old.calls)
    separate = _compute_log_likelihood(new, new.rate) + _compute_log_likelihood(old, old.rate)
    return (
        separate
        - _compute_log_likelihood(new, pooled_rate)
        - _compute_log_likelihood(old, pooled_rate)
    )


def _compute_log_likelihood(tally: RecentTally, rate: float) -> float:
    bounded = min(max(rate, _MIN_RATE), 1 - _MIN_RATE)
    return tally.bad_calls * log(bounded) + (tally.calls - tally.bad_calls) * log(1 - bounded)
