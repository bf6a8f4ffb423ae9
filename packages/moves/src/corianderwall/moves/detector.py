"""Sequential tests whose error rate holds however often they are evaluated.

Each test is a Shiryaev-Roberts e-detector: under the null hypothesis its value minus the number
of windows is a supermartingale, so it exceeds `windows / error` with a probability of at most
`error` within `windows` windows (Shin, Ramdas and Rinaldo, 2023). Past good windows don't slow it
down, so it detects a version that turns bad late as fast as one that is bad from the start.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, log

FAILURE_EXCESSES = (0.04, 0.2, 0.6)
"""Failure rates of the alternative hypotheses, as fractions of the range from the null rate
to 1."""

SLOW_EXCESSES = (0.12, 0.35, 0.7)
"""The same for the rates of calls over a latency threshold."""

_MAX_LOG = 600.0
_MIN_RATE = 1e-4
_MAX_RATE = 0.98


@dataclass(frozen=True, slots=True)
class Sample:
    """The failed or slow calls (`bad_calls`) among `calls` independent calls, and the null rate.

    `null_rate` is the highest tolerable rate of bad calls. `bad_calls` may be fractional, as calls
    in the histogram bucket that contains the latency threshold are counted in proportion.
    """

    calls: int
    bad_calls: float
    null_rate: float


def compute_log_ratios(sample: Sample, excesses: Sequence[float]) -> list[float]:
    """Return the log likelihood ratio of each alternative against the null rate.

    The expected likelihood ratio is at most 1 for every true rate up to the null rate.
    """
    null = min(max(sample.null_rate, _MIN_RATE), _MAX_RATE)
    good_calls = sample.calls - sample.bad_calls
    ratios = []
    for excess in excesses:
        rate = null + excess * (1 - null)
        ratio = sample.bad_calls * log(rate / null) + good_calls * log((1 - rate) / (1 - null))
        ratios.append(ratio)
    return ratios


def compute_log_clearance(sample: Sample, usual_rate: float) -> float:
    """Return the log likelihood ratio of `usual_rate` against `null_rate` or any higher rate."""
    null = min(max(sample.null_rate, 2 * _MIN_RATE), _MAX_RATE)
    usual = min(max(usual_rate, _MIN_RATE), null)
    good_calls = sample.calls - sample.bad_calls
    return sample.bad_calls * log(usual / null) + good_calls * log((1 - usual) / (1 - null))


def _start_values() -> list[float]:
    return [0.0, 0.0, 0.0]


@dataclass(slots=True)
class Detector:
    """One e-detector: the mean of `R <- (1 + R) * ratio` over its alternatives."""

    _values: list[float] = field(default_factory=_start_values)

    def update(self, log_ratios: Sequence[float]) -> None:
        """Update the detector with the log likelihood ratios of one window."""
        self._values = [
            (1 + value) * exp(min(ratio, _MAX_LOG - log(1 + value)))
            for value, ratio in zip(self._values, log_ratios, strict=True)
        ]

    @property
    def log_value(self) -> float:
        """Return the logarithm of the detector's value."""
        return log(sum(self._values) / len(self._values) + 1e-300)


def compute_log_threshold(windows: float, tests: float, error: float) -> float:
    """Return the log threshold at which `tests` detectors have `error` in total over `windows`."""
    return log(max(windows, 1) * tests / error)
