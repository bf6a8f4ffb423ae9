"""Weighted split of a service's calls among its versions, at random or by hash."""

import math
from bisect import bisect_right
from itertools import accumulate
from random import Random

import xxhash

from corianderwall.model.resource import PERMILLE, Service

HASH_BITS = 53
"""Number of bits of a hash that a float represents exactly."""


class VersionSplit:
    """Chooses among the versions of a service by weight.

    Choices by hash use weighted rendezvous hashing: when weights change, a value moves only from a
    version whose weight fell, or to a version whose weight rose.
    """

    __slots__ = ("_bounds", "_seeds", "_versions", "_weights")

    def __init__(self, service: str, versions: tuple[str, ...], weights: tuple[int, ...]) -> None:
        self._versions = versions
        self._weights = weights
        self._bounds = list(accumulate(weights))
        self._seeds = tuple(
            xxhash.xxh3_64_intdigest(f"{service}/{name}".encode()) for name in versions
        )

    @classmethod
    def compile(cls, service: Service, *, pinned_version: str = "") -> "VersionSplit":
        """Return the split of `service`, or one with only `pinned_version` if that is given."""
        if pinned_version:
            return cls(service.name, (pinned_version,), (PERMILLE,))
        shares = sorted(service.split, key=lambda share: share.version)
        versions = tuple(share.version for share in shares)
        return cls(service.name, versions, tuple(share.permille for share in shares))

    def draw_version(self, random: Random) -> str:
        """Return a random version by weight."""
        if len(self._versions) == 1:
            return self._versions[0]
        point = random.random() * self._bounds[-1]
        return self._versions[bisect_right(self._bounds, point)]

    def hash_version(self, value: str) -> str:
        """Return the version for all calls with the sticky value `value`."""
        if len(self._versions) == 1:
            return self._versions[0]
        scores = (
            weight / -math.log(_hash_unit(value, seed))
            for weight, seed in zip(self._weights, self._seeds, strict=True)
        )
        return max(zip(scores, self._versions, strict=True))[1]


def _hash_unit(value: str, seed: int) -> float:
    """Return the hash as a number above 0 and below 1."""
    digest = xxhash.xxh3_64_intdigest(value.encode(), seed) >> (64 - HASH_BITS)
    return max(1, digest) / (1 << HASH_BITS)
