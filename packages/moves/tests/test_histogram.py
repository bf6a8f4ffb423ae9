from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.moves.histogram import (
    BUCKET_COUNT,
    find_bucket,
    find_lower_bound,
    find_quantile,
    scale_bucket,
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


def test_a_quantile_is_the_bucket_in_which_it_ends():
    counts = [0, 3, 1, 0]
    assert find_quantile(counts, 0.75) == 1
    assert find_quantile(counts, 0.8) == 2
    assert find_quantile([0, 0], 0.5) == -1


@settings(derandomize=True, deadline=None)
@given(st.integers(0, BUCKET_COUNT - 8), st.floats(1.0, 3.0))
def test_calls_at_a_bucket_slowed_by_no_more_than_the_factor_stay_below(bucket, factor):
    slowest = find_lower_bound(bucket + 1) * factor * 0.999
    assert find_bucket(slowest) < scale_bucket(bucket, factor)
