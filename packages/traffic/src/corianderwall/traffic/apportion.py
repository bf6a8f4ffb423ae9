"""Weighted max-min fair division of a capacity among competing demands."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf, isinf


@dataclass(frozen=True, slots=True)
class Claim:
    """A weighted demand, in the unit of the capacity; `held` is what the claimant already has."""

    name: str
    demand: float
    weight: float
    held: int = 0


def find_fair_level(claims: Sequence[Claim], capacity: float) -> float:
    """Return the level at which the sum of `min(demand, level * weight)` equals `capacity`.

    The level is infinite if the capacity covers all demands.
    """
    remaining = capacity
    weight = sum(claim.weight for claim in claims)
    for claim in sorted(claims, key=lambda claim: claim.demand / claim.weight):
        level = remaining / weight
        if claim.demand / claim.weight > level:
            return max(0.0, level)
        remaining -= claim.demand
        weight -= claim.weight
    return inf


def apportion_integers(claims: Sequence[Claim], capacity: int) -> dict[str, int]:
    """Return integer shares by claim, none above its demand and with a sum of `capacity` at most.

    The units left by rounding down go first to claims that held more before, then to the claims
    with the largest remainder.
    """
    level = find_fair_level(claims, capacity)
    if isinf(level):
        return {claim.name: int(claim.demand) for claim in claims}
    exact = {claim.name: min(claim.demand, level * claim.weight) for claim in claims}
    counts = {name: int(share) for name, share in exact.items()}
    remaining = capacity - sum(counts.values())

    def rank(claim: Claim) -> tuple[bool, float, str]:
        held_more = claim.held > counts[claim.name]
        return (not held_more, counts[claim.name] - exact[claim.name], claim.name)

    for claim in sorted(claims, key=rank):
        if remaining <= 0:
            break
        if counts[claim.name] < int(claim.demand):
            counts[claim.name] += 1
            remaining -= 1
    return counts
