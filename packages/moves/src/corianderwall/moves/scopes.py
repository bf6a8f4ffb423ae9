"""Tests of a scope: all calls of the new version, or those of one route or one endpoint."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from corianderwall.moves.baseline import Baseline, Stratum
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

SLOW_MARGIN = 0.03
"""Margin on the rate of calls over a latency threshold, as the threshold is an estimate."""

MATERIAL_FAILURE_RATE = 0.04
"""Rise of the failure rate above the tolerated one that must be ruled out at large shares."""

SMALL_SHARE_MATERIAL_FAILURE_RATE = 0.2
"""The same at the smallest shares, where there are few calls and few are at risk."""

LARGE_SHARE_PERMILLE = 500

MATERIAL_FAILURE_FACTOR = 0.5
"""Increase of that rise per unit of the old version's failure rate, as a rise matters less if the
old version already fails often."""

MIN_GOOD_FAILURE_RATE = 0.002
"""Failure rate that is always allowed to a good version."""

MATERIAL_SLOW_RATE = 0.2
"""Rise of the rate of slow calls above the tolerated one that must be ruled out."""

MAX_SLOW_LOG_RATIO = 4.0
"""Maximum log likelihood ratio of slowness counted per window, since a single stall of the host can
slow all calls of a window. The cap keeps the error rate; an alarm usually takes four windows."""


class Metric(enum.Enum):
    """The metrics in which the new version is compared with the old one."""

    FAILURES = "failures"
    SLOW = "slow calls"
    TAIL = "very slow calls"


QUANTILES: Mapping[Metric, float] = {Metric.SLOW: 0.75, Metric.TAIL: 0.95}
"""The old version's latency quantiles from which the latency thresholds are computed."""

EXCESSES: Mapping[Metric, tuple[float, ...]] = {
    Metric.FAILURES: FAILURE_EXCESSES,
    Metric.SLOW: SLOW_EXCESSES,
    Metric.TAIL: SLOW_EXCESSES,
}


@dataclass(frozen=True, slots=True)
class Tolerance:
    """The rise of the failure rate and the latency factor that the policy tolerates."""

    failure_rate: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class CellEvidence:
    """The evidence from the calls of one cell: samples and log likelihood ratios by metric.

    The clearances are log likelihood ratios of "as good as the old version" against
    "materially worse".
    """

    samples: Mapping[Metric, Sample]
    log_ratios: Mapping[Metric, Sequence[float]]
    failure_clearance: float
    slow_clearance: float


def choose_material_rate(share_permille: int) -> float:
    """Return the rise of the failure rate that must be ruled out before the share is raised."""
    rest = max(0.0, 1 - share_permille / LARGE_SHARE_PERMILLE)
    return MATERIAL_FAILURE_RATE + rest * (
        SMALL_SHARE_MATERIAL_FAILURE_RATE - MATERIAL_FAILURE_RATE
    )


def evaluate_cell(
    key: CellKey,
    cell: Cell,
    zone: str,
    baseline: Baseline,
    tolerance: Tolerance,
    material_rate: float,
) -> CellEvidence:
    """Return the evidence of a cell, compared with the old version in the same stratum."""
    stratum = Stratum(key.route, zone, key.level)
    samples = build_samples(cell, stratum, baseline, tolerance)
    usual = baseline.estimate_failure_rate(stratum)
    return CellEvidence(
        samples=samples,
        log_ratios={
            metric: compute_log_ratios(sample, EXCESSES[metric])
            for metric, sample in samples.items()
        },
        failure_clearance=_compute_failure_clearance(
            samples[Metric.FAILURES], usual, material_rate
        ),
        slow_clearance=_compute_slow_clearance(samples.get(Metric.SLOW)),
    )


def build_samples(
    cell: Cell, stratum: Stratum, baseline: Baseline, tolerance: Tolerance
) -> dict[Metric, Sample]:
    """Return the samples of a cell of either version, with null rates from `stratum`."""
    samples = {Metric.FAILURES: _build_failure_sample(cell, stratum, baseline, tolerance)}
    responses = sum(cell.buckets)
    for metric, quantile in QUANTILES.items():
        usual_latency_s = baseline.find_latency(stratum, quantile)
        if responses and usual_latency_s > 0:
            slow_calls = count_above(cell.buckets, usual_latency_s * tolerance.slowdown)
            samples[metric] = Sample(responses, slow_calls, 1 - quantile + SLOW_MARGIN)
    return samples


def _build_failure_sample(
    cell: Cell, stratum: Stratum, baseline: Baseline, tolerance: Tolerance
) -> Sample:
    null = baseline.bound_failure_rate(stratum) + tolerance.failure_rate
    return Sample(cell.calls, cell.failures, null)


def _compute_failure_clearance(sample: Sample, usual_rate: float, material_rate: float) -> float:
    worse = sample.null_rate + material_rate + MATERIAL_FAILURE_FACTOR * usual_rate
    return compute_log_clearance(
        Sample(sample.calls, sample.bad_calls, worse), usual_rate + MIN_GOOD_FAILURE_RATE
    )


def _compute_slow_clearance(sample: Sample | None) -> float:
    if sample is None:
        return 0.0
    worse = Sample(sample.calls, sample.bad_calls, sample.null_rate + MATERIAL_SLOW_RATE)
    return compute_log_clearance(worse, sample.null_rate)


def _start_detectors() -> dict[Metric, Detector]:
    return {metric: Detector() for metric in Metric}


@dataclass(slots=True)
class ScopeTest:
    """The tests of one scope: the whole version, one route or one endpoint.

    The clearances and `step_calls` are reset at each step.
    """

    detectors: dict[Metric, Detector] = field(default_factory=_start_detectors)
    failure_clearance: float = 0.0
    slow_clearance: float = 0.0
    step_calls: int = 0
    _pending: dict[Metric, list[float]] = field(default_factory=dict)

    def add_cell(self, cell_evidence: CellEvidence) -> None:
        """Add the evidence of a cell to the current window."""
        for metric, ratios in cell_evidence.log_ratios.items():
            pending = self._pending.get(metric)
            if pending is None:
                self._pending[metric] = list(ratios)
            else:
                for index, ratio in enumerate(ratios):
                    pending[index] += ratio
        self.step_calls += cell_evidence.samples[Metric.FAILURES].calls
        self.failure_clearance += cell_evidence.failure_clearance
        self.slow_clearance += cell_evidence.slow_clearance

    def close_window(self) -> None:
        """Update the detectors with the evidence of the window."""
        for metric, ratios in self._pending.items():
            if metric is not Metric.FAILURES:
                ratios = [min(ratio, MAX_SLOW_LOG_RATIO) for ratio in ratios]
            self.detectors[metric].update(ratios)
        self._pending.clear()

    def start_step(self) -> None:
        """Reset the clearances; the detectors keep the evidence against the version."""
        self.failure_clearance = 0.0
        self.slow_clearance = 0.0
        self.step_calls = 0
