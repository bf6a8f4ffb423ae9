import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.moves.histogram import (
    BUCKET_COUNT,
    count_above,
    find_bucket,
    find_lower_bound,
    find_quantile,
)


@settings(derandomize=True, deadline=None)
@given(st.floats(0.001, 60))
def test_a_bucket_holds_its_latency_and_is_at_most_a_quarter_wide(latency):
    bucket = find_bucket(latency)
    assert find_lower_bound(bucket) <= latency < find_lower_bound(bucket + 1)
    assert find_lower_bound(bucket + 1) <= 1.25 * find_lower_bound(bucket) * (1 + 1e-9)


def test_latencies_out_of_range_go_to_the_first_and_last_bucket():
    assert find_bucket(0.0) == 0
    assert find_bucket(1e-9) == 0
    assert find_bucket(1e6) == BUCKET_COUNT - 1


def test_a_quantile_lies_in_the_bucket_in_which_it_ends():
    counts = [0, 3, 1, 0]
    assert find_bucket(find_quantile(counts, 0.7)) == 1
    assert find_bucket(find_quantile(counts, 0.8)) == 2
    assert find_quantile([0, 0], 0.5) == 0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.002, 30), min_size=1, max_size=60), st.floats(0.05, 0.95))
def test_the_part_of_calls_above_a_quantile_is_the_rest(latencies, quantile):
    counts = [0] * BUCKET_COUNT
    for latency in latencies:
        counts[find_bucket(latency)] += 1
    above = count_above(counts, find_quantile(counts, quantile))
    assert above == pytest.approx((1 - quantile) * len(latencies), abs=1e-6)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.floats(0.002, 30), min_size=1, max_size=60), st.floats(0.002, 30))
def test_calls_above_a_latency_are_counted_within_one_bucket(latencies, limit):
    counts = [0] * BUCKET_COUNT
    for latency in latencies:
        counts[find_bucket(latency)] += 1
    above = count_above(counts, limit)
    assert sum(latency > limit * 1.26 for latency in latencies) <= above + 1e-9
    assert above <= sum(latency > limit / 1.26 for latency in latencies) + 1e-9
