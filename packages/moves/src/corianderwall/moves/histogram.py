"""Latency histograms with fixed buckets, which are merged by adding their counts."""

from collections.abc import Sequence
from math import frexp

BUCKETS_PER_OCTAVE = 4
LOWEST_EXPONENT = -9
"""Exponent, as returned by `frexp`, of the lowest octave: 1/1024 s to 1/512 s."""

OCTAVES = 16
BUCKET_COUNT = OCTAVES * BUCKETS_PER_OCTAVE
"""Buckets cover about 1 ms to 64 s; latencies outside go to the first or the last bucket."""

_LAST_BUCKET = BUCKET_COUNT - 1


def find_bucket(latency_s: float) -> int:
    """Return the index of the bucket of `latency_s`; a bucket is at most 25% wide."""
    if latency_s <= 0:
        return 0
    mantissa, exponent = frexp(latency_s)
    index = (exponent - LOWEST_EXPONENT) * BUCKETS_PER_OCTAVE + int((mantissa - 0.5) * 8)
    if index < 0:
        return 0
    return index if index < BUCKET_COUNT else _LAST_BUCKET


def find_lower_bound(bucket: int) -> float:
    """Return the lower bound of `bucket` in seconds."""
    octave, step = divmod(bucket, BUCKETS_PER_OCTAVE)
    return float((0.5 + step / 8) * 2.0 ** (octave + LOWEST_EXPONENT))


def find_quantile(counts: Sequence[int], quantile: float) -> float:
    """Return a quantile of the latencies in seconds, or 0 without calls.

    Calls are assumed to be evenly distributed within a bucket.
    """
    total = sum(counts)
    if not total:
        return 0.0
    target = total * quantile
    cumulative = 0
    for bucket, count in enumerate(counts):
        if count and cumulative + count >= target:
            lower = find_lower_bound(bucket)
            return lower + (target - cumulative) / count * (find_lower_bound(bucket + 1) - lower)
        cumulative += count
    return find_lower_bound(BUCKET_COUNT)


def count_above(counts: Sequence[int], latency_s: float) -> float:
    """Return the number of calls slower than `latency_s`, interpolated within its bucket."""
    bucket = find_bucket(latency_s)
    lower = find_lower_bound(bucket)
    upper = find_lower_bound(bucket + 1)
    fraction = min(max((upper - latency_s) / (upper - lower), 0.0), 1.0)
    return sum(counts[bucket + 1 :]) + fraction * counts[bucket]
