"""Latency histograms with a fixed number of buckets, which merge by addition."""

from collections.abc import Sequence
from math import frexp

BUCKETS_PER_OCTAVE = 4
LOWEST_EXPONENT = -9
"""Exponent, as `frexp` gives it, of the fastest octave: 1/1024 s to 1/512 s."""

OCTAVES = 16
BUCKET_COUNT = OCTAVES * BUCKETS_PER_OCTAVE
"""Buckets from about 1 ms to 64 s; faster and slower calls go to the first and the last."""

_LAST_BUCKET = BUCKET_COUNT - 1


def find_bucket(latency_s: float) -> int:
    """Return the index of the bucket that holds `latency_s`; buckets are at most 25% wide."""
    if latency_s <= 0:
        return 0
    mantissa, exponent = frexp(latency_s)
    index = (exponent - LOWEST_EXPONENT) * BUCKETS_PER_OCTAVE + int((mantissa - 0.5) * 8)
    if index < 0:
        return 0
    return index if index < BUCKET_COUNT else _LAST_BUCKET


def find_lower_bound(bucket: int) -> float:
    """Return the smallest latency of `bucket` in seconds."""
    octave, part = divmod(bucket, BUCKETS_PER_OCTAVE)
    return float((0.5 + part / 8) * 2.0 ** (octave + LOWEST_EXPONENT))


def find_quantile(counts: Sequence[int], quantile: float) -> float:
    """Return the latency in seconds below which `quantile` of the calls lie, 0 without calls.

    Within a bucket the calls are taken as spread evenly.
    """
    total = sum(counts)
    if not total:
        return 0.0
    wanted = total * quantile
    seen = 0
    for bucket, count in enumerate(counts):
        if count and seen + count >= wanted:
            lower = find_lower_bound(bucket)
            return lower + (wanted - seen) / count * (find_lower_bound(bucket + 1) - lower)
        seen += count
    return find_lower_bound(BUCKET_COUNT)


def count_above(counts: Sequence[int], latency_s: float) -> float:
    """Return how many calls took longer than `latency_s`, a part of those in its bucket."""
    bucket = find_bucket(latency_s)
    lower = find_lower_bound(bucket)
    upper = find_lower_bound(bucket + 1)
    part = min(max((upper - latency_s) / (upper - lower), 0.0), 1.0)
    return sum(counts[bucket + 1 :]) + part * counts[bucket]
