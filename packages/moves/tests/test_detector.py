import random
from math import exp

import pytest

from corianderwall.moves.detector import (
    FAILURE_EXCESSES,
    Detector,
    Sample,
    compute_log_clearance,
    compute_log_ratios,
    compute_log_threshold,
)


@pytest.mark.parametrize("rate", [0.0, 0.01, 0.05])
def test_the_expected_ratio_is_at_most_one_up_to_the_null_rate(rate):
    for index in range(len(FAILURE_EXCESSES)):
        bad = exp(compute_log_ratios(Sample(1, 1, 0.05), FAILURE_EXCESSES)[index])
        good = exp(compute_log_ratios(Sample(1, 0, 0.05), FAILURE_EXCESSES)[index])
        assert rate * bad + (1 - rate) * good <= 1 + 1e-9


def test_a_detector_keeps_its_error_rate_when_evaluated_after_every_window():
    rng = random.Random(11)
    threshold = compute_log_threshold(100, 1, 0.2)
    false = 0
    for _ in range(300):
        detector = Detector()
        for _ in range(100):
            bad_calls = sum(rng.random() < 0.05 for _ in range(4))
            detector.update(compute_log_ratios(Sample(4, bad_calls, 0.05), FAILURE_EXCESSES))
            if detector.log_value >= threshold:
                false += 1
                break
    assert false <= 0.2 * 300


def test_a_late_change_is_found_as_fast_as_an_early_one():
    def count_windows(quiet):
        detector = Detector()
        for _ in range(quiet):
            detector.update(compute_log_ratios(Sample(5, 0, 0.02), FAILURE_EXCESSES))
        for window in range(1, 100):
            detector.update(compute_log_ratios(Sample(5, 3, 0.02), FAILURE_EXCESSES))
            if detector.log_value >= compute_log_threshold(500, 10, 0.001):
                return window
        raise AssertionError("never found")

    assert count_windows(400) <= count_windows(0)


def test_no_call_is_no_evidence():
    assert compute_log_ratios(Sample(0, 0, 0.02), FAILURE_EXCESSES) == [0, 0, 0]
    assert compute_log_clearance(Sample(0, 0, 0.06), 0.01) == 0


def test_overwhelming_evidence_does_not_overflow():
    detector = Detector()
    for _ in range(50):
        detector.update(compute_log_ratios(Sample(10_000, 10_000, 0.01), FAILURE_EXCESSES))
    assert detector.log_value > 100
