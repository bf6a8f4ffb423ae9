"""The parts of a version's calls that are tested on their own, and what is tested of them."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from corianderwall.moves.detector import (
    FAILURE_EXCESSES,
    SLOW_EXCESSES,
    Detector,
    Sample,
    compute_log_clearance,
    compute_log_ratios,
)
from corianderwall.moves.evidence import Cell, CellKey
from corianderwall.moves.histogram import scale_bucket
from corianderwall.moves.reference import Reference, Stratum

SLOW_QUANTILE = 0.75
TAIL_QUANTILE = 0.95
SLOW_MARGIN = 0.03
"""Granted to the rates over a latency threshold, as the threshold itself is estimated."""

MATERIAL_FAILURE_RATE = 0.04
"""Rise of the failure rate over the tolerated one that a step must exclude."""

MATERIAL_FAILURE_FACTOR = 0.5
"""Added to that rise for each failure of the old version, as it then takes more to matter."""

RATE_FLOOR = 0.002
"""Least failure rate that a good version is granted."""

MATERIAL_SLOW_RATE = 0.2
"""The same for the part of calls that are slow."""

RECENT_DECAY = 0.85
"""Factor per window of the tallies that tell where failures come from."""


class Metric(enum.Enum):
    """What is tested of the new version against the old one."""

    FAILURES = "failures"
    SLOW = "slow calls"
    TAIL = "very slow calls"


EXCESSES: Mapping[Metric, tuple[float, ...]] = {
    Metric.FAILURES: FAILURE_EXCESSES,
    Metric.SLOW: SLOW_EXCESSES,
    Metric.TAIL: SLOW_EXCESSES,
}


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What the policy tolerates: a rise of the failure rate and a factor of latency."""

    failure_rate: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class CellSamples:
    """The samples of one cell of the new version, by metric, and the usual rates."""

    samples: Mapping[Metric, Sample]
    usual_failure_rate: float


def draw_samples(
    key: CellKey, cell: Cell, zone: str, reference: Reference, tolerance: Tolerance
) -> CellSamples:
    """Return the samples of a cell against the old version in the same stratum."""
    stratum = Stratum(key.route, zone, key.level)
    usual = reference.estimate_failure_rate(stratum)
    null = reference.bound_failure_rate(stratum) + tolerance.failure_rate
    samples = {Metric.FAILURES: Sample(cell.calls, cell.failures, null)}
    answered = sum(cell.buckets)
    for metric, quantile in ((Metric.SLOW, SLOW_QUANTILE), (Metric.TAIL, TAIL_QUANTILE)):
        bucket = reference.find_latency_bucket(stratum, quantile)
        if answered and bucket >= 0:
            over = sum(cell.buckets[scale_bucket(bucket, tolerance.slowdown) :])
            samples[metric] = Sample(answered, over, 1 - quantile + SLOW_MARGIN)
    return CellSamples(samples, usual)


@dataclass(slots=True)
class RecentTally:
    """Decaying counts of one endpoint's calls on one route."""

    calls: float = 0.0
    hits: float = 0.0
    tolerable_hits: float = 0.0

    def add(self, other: "RecentTally | Sample") -> None:
        """Add the counts of a tally or a sample."""
        self.calls += other.calls
        self.hits += other.hits
        if isinstance(other, Sample):
            self.tolerable_hits += other.calls * other.null_rate
        else:
            self.tolerable_hits += other.tolerable_hits

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


def add_tallies(tallies: Iterable[RecentTally]) -> RecentTally:
    """Return the sum of `tallies`."""
    total = RecentTally()
    for tally in tallies:
        total.add(tally)
    return total


def _start_detectors() -> dict[Metric, Detector]:
    return {metric: Detector() for metric in Metric}


@dataclass(slots=True)
class ScopeTest:
    """The tests of one scope: the whole version, one route or one endpoint.

    The clearances are log likelihood ratios for "as good as the old version" against
    "materially worse", since the last step.
    """

    detectors: dict[Metric, Detector] = field(default_factory=_start_detectors)
    failure_clearance: float = 0.0
    slow_clearance: float = 0.0
    step_calls: int = 0
    _pending: dict[Metric, list[float]] = field(default_factory=dict)

    def take_cell(self, drawn: CellSamples) -> None:
        """Count the samples of a cell within the window that is open."""
        for metric, sample in drawn.samples.items():
            ratios = compute_log_ratios(sample, EXCESSES[metric])
            before = self._pending.get(metric)
            if before is not None:
                ratios = [old + new for old, new in zip(before, ratios, strict=True)]
            self._pending[metric] = ratios
        self._take_clearance(drawn)

    def close_window(self) -> None:
        """Give the window's evidence to the detectors."""
        for metric, ratios in self._pending.items():
            self.detectors[metric].take(ratios)
        self._pending.clear()

    def start_step(self) -> None:
        """Forget the clearance of the step before; what speaks against the version stays."""
        self.failure_clearance = 0.0
        self.slow_clearance = 0.0
        self.step_calls = 0

    def _take_clearance(self, drawn: CellSamples) -> None:
        failures = drawn.samples[Metric.FAILURES]
        self.step_calls += failures.calls
        material = Sample(failures.calls, failures.hits, failures.null_rate + MATERIAL_FAILURE_RATE)
        self.failure_clearance += compute_log_clearance(material, drawn.usual_failure_rate + 0.002)
        slow = drawn.samples.get(Metric.SLOW)
        if slow is not None:
            material = Sample(slow.calls, slow.hits, slow.null_rate + MATERIAL_SLOW_RATE)
            self.slow_clearance += compute_log_clearance(material, slow.null_rate)
