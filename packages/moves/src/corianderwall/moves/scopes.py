"""The parts of a version's calls that are tested on their own, and what is tested of them."""

import enum
from collections.abc import Mapping, Sequence
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
from corianderwall.moves.histogram import count_above
from corianderwall.moves.reference import Reference, Stratum

SLOW_MARGIN = 0.03
"""Granted to the rates over a latency threshold, as the threshold itself is estimated."""

MATERIAL_FAILURE_RATE = 0.04
"""Rise of the failure rate over the tolerated one that must be excluded at large shares."""

SMALL_SHARE_FAILURE_RATE = 0.2
"""The same at the smallest shares, where few calls come and few are at risk."""

LARGE_SHARE_PERMILLE = 500

MATERIAL_FAILURE_FACTOR = 0.5
"""Added to that rise for each failure of the old version, as it then takes more to matter."""

RATE_FLOOR = 0.002
"""Least failure rate that a good version is granted."""

MATERIAL_SLOW_RATE = 0.2
"""The same for the part of calls that are slow."""

STALL_LOG_RATIO = 4.0
"""Most evidence of slowness, a log likelihood ratio, that one window gives: its calls may share one
stall of their host. Less evidence keeps the error rate; usual thresholds then take four windows."""


class Metric(enum.Enum):
    """What is tested of the new version against the old one."""

    FAILURES = "failures"
    SLOW = "slow calls"
    TAIL = "very slow calls"


QUANTILES: Mapping[Metric, float] = {Metric.SLOW: 0.75, Metric.TAIL: 0.95}
"""The old version's quantiles from which the latency thresholds are made."""

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
class CellEvidence:
    """What the calls of one cell say: samples and log likelihood ratios by metric.

    The clearances are log likelihood ratios for "as good as the old version" against
    "materially worse".
    """

    samples: Mapping[Metric, Sample]
    log_ratios: Mapping[Metric, Sequence[float]]
    failure_clearance: float
    slow_clearance: float


def choose_material_rate(share_permille: int) -> float:
    """Return the rise of the failure rate that must be excluded before the share is raised."""
    rest = max(0.0, 1 - share_permille / LARGE_SHARE_PERMILLE)
    return MATERIAL_FAILURE_RATE + rest * (SMALL_SHARE_FAILURE_RATE - MATERIAL_FAILURE_RATE)


def weigh_cell(
    key: CellKey,
    cell: Cell,
    zone: str,
    reference: Reference,
    tolerance: Tolerance,
    material_rate: float,
) -> CellEvidence:
    """Return what a cell says against the old version in the same stratum."""
    stratum = Stratum(key.route, zone, key.level)
    samples = draw_samples(cell, stratum, reference, tolerance)
    usual = reference.estimate_failure_rate(stratum)
    return CellEvidence(
        samples=samples,
        log_ratios={
            metric: compute_log_ratios(sample, EXCESSES[metric])
            for metric, sample in samples.items()
        },
        failure_clearance=_clear_failures(samples[Metric.FAILURES], usual, material_rate),
        slow_clearance=_clear_slow(samples.get(Metric.SLOW)),
    )


def draw_samples(
    cell: Cell, stratum: Stratum, reference: Reference, tolerance: Tolerance
) -> dict[Metric, Sample]:
    """Return the samples of a cell of either version by the standard of `stratum`."""
    samples = {Metric.FAILURES: _draw_failures(cell, stratum, reference, tolerance)}
    answered = sum(cell.buckets)
    for metric, quantile in QUANTILES.items():
        usual_latency_s = reference.find_latency(stratum, quantile)
        if answered and usual_latency_s > 0:
            over = count_above(cell.buckets, usual_latency_s * tolerance.slowdown)
            samples[metric] = Sample(answered, over, 1 - quantile + SLOW_MARGIN)
    return samples


def _draw_failures(
    cell: Cell, stratum: Stratum, reference: Reference, tolerance: Tolerance
) -> Sample:
    null = reference.bound_failure_rate(stratum) + tolerance.failure_rate
    return Sample(cell.calls, cell.failures, null)


def _clear_failures(sample: Sample, usual_rate: float, material_rate: float) -> float:
    worse = sample.null_rate + material_rate + MATERIAL_FAILURE_FACTOR * usual_rate
    return compute_log_clearance(Sample(sample.calls, sample.hits, worse), usual_rate + RATE_FLOOR)


def _clear_slow(sample: Sample | None) -> float:
    if sample is None:
        return 0.0
    worse = Sample(sample.calls, sample.hits, sample.null_rate + MATERIAL_SLOW_RATE)
    return compute_log_clearance(worse, sample.null_rate)


def _start_detectors() -> dict[Metric, Detector]:
    return {metric: Detector() for metric in Metric}


@dataclass(slots=True)
class ScopeTest:
    """The tests of one scope: the whole version, one route or one endpoint.

    The clearances and `step_calls` count from the last step.
    """

    detectors: dict[Metric, Detector] = field(default_factory=_start_detectors)
    failure_clearance: float = 0.0
    slow_clearance: float = 0.0
    step_calls: int = 0
    _pending: dict[Metric, list[float]] = field(default_factory=dict)

    def take_cell(self, weighed: CellEvidence) -> None:
        """Count the evidence of a cell within the window that is open."""
        for metric, ratios in weighed.log_ratios.items():
            before = self._pending.get(metric)
            if before is None:
                self._pending[metric] = list(ratios)
            else:
                for index, ratio in enumerate(ratios):
                    before[index] += ratio
        self.step_calls += weighed.samples[Metric.FAILURES].calls
        self.failure_clearance += weighed.failure_clearance
        self.slow_clearance += weighed.slow_clearance

    def close_window(self) -> None:
        """Give the window's evidence to the detectors."""
        for metric, ratios in self._pending.items():
            if metric is not Metric.FAILURES:
                ratios = [min(ratio, STALL_LOG_RATIO) for ratio in ratios]
            self.detectors[metric].take(ratios)
        self._pending.clear()

    def start_step(self) -> None:
        """Forget the clearance of the step before; what speaks against the version stays."""
        self.failure_clearance = 0.0
        self.slow_clearance = 0.0
        self.step_calls = 0
