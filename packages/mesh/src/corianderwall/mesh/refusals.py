"""When a refused caller should come back."""

from random import Random

SHORTEST_S = 0.05
"""Least time that a refused caller is told to wait; less would only add load."""
LONGEST_S = 1.0
"""Longest such time; most callers have no more than that left."""
SPREAD = 0.5
"""Random part added, so that callers who were refused together return one after another."""
UNREADY_S = 0.3
"""Told while no configuration or no endpoint is known, about the time between two beats."""


def compute_retry_after(wait_s: float, random: Random) -> float:
    """Return seconds after which room is expected, spread over the callers."""
    bounded = min(LONGEST_S, max(SHORTEST_S, wait_s))
    return bounded * (1 + SPREAD * random.random())


def encode_seconds(seconds: float) -> bytes:
    """Return the value of a Retry-After header."""
    return b"%.3f" % seconds
