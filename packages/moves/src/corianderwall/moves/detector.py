"""Sequential tests that hold their error rate however often they are looked at.

Each test is a Shiryaev-Roberts e-detector: under the null hypothesis its value less the number
of windows is a supermartingale, so it passes `windows / error` with a probability of at most
`error` within `windows` looks (Shin, Ramdas and Rinaldo, 2023). It restarts by itself, so that a
version that turns bad late is found as fast as one that is bad at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log

FAILURE_EXCESSES = (0.04, 0.2, 0.6)
"""Parts of the rest above the null rate at which alternatives stand, for failures."""

SLOW_EXCESSES = (0.12, 0.35, 0.7)
"""The same for calls over a latency threshold."""

_MAX_LOG = 600.0
_MIN_RATE = 1e-4
_MAX_RATE = 0.98


@dataclass(frozen=True, slots=True)
class Sample:
    """`hits` of `calls` independent calls, and the highest rate that is still tolerable.

    Calls in the bucket of a latency threshold are hits in part.
    """

    calls: int
    hits: float
    null_rate: float


def compute_log_ratios(sample: Sample, excesses: Sequence[float]) -> list[float]:
    """Return the log likelihood ratio of each alternative against the null rate.

    The expectation of each ratio is at most 1 for every rate up to the null rate.
    """
    null = min(max(sample.null_rate, _MIN_RATE), _MAX_RATE)
    misses = sample.calls - sample.hits
    ratios = []
    for excess in excesses:
        rate = null + excess * (1 - null)
        ratio = sample.hits * log(rate / null) + misses * log((1 - rate) / (1 - null))
        ratios.append(ratio)
    return ratios


def compute_log_clearance(sample: Sample, usual_rate: float) -> float:
    """Return the log likelihood ratio of `usual_rate` against `null_rate` or anything worse."""
    null = min(max(sample.null_rate, 2 * _MIN_RATE), _MAX_RATE)
    usual = min(max(usual_rate, _MIN_RATE), null)
    misses = sample.calls - sample.hits
    return sample.hits * log(usual / null) + misses * log((1 - usual) / (1 - null))


def _start_values() -> list[float]:
    return [0.0, 0.0, 0.0]


@dataclass(slots=True)
class Detector:
    """One e-detector: the mean over its alternatives of `R <- (1 + R) * ratio`."""

    _values: list[float] = field(default_factory=_start_values)

    def take(self, log_ratios: Sequence[float]) -> None:
        """Count the log likelihood ratios of one window."""
        self._values = [
            (1 + value) * exp(min(ratio, _MAX_LOG - log(1 + value)))
            for value, ratio in zip(self._values, log_ratios, strict=True)
        ]

    @property
    def log_value(self) -> float:
        """Return the logarithm of the detector's value."""
        return log(sum(self._values) / len(self._values) + 1e-300)


def compute_log_threshold(windows: float, tests: float, error: float) -> float:
    """Return the log value at which `tests` detectors err with `error` in all `windows`."""
    return log(max(windows, 1) * tests / error)
