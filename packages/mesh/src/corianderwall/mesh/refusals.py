"""When a refused caller should come back."""

import math
from random import Random

SHORTEST_S = 0.05
"""Least time that a refused caller is told to wait; less would only add load."""
LONGEST_S = 1.0
"""Longest such time; most callers have no more than that left."""
SPREAD = 0.5
"""Random part added, so that callers who were refused together return one after another."""
RETURN_PART = 1 / 3
"""Part of the time left for which callers wait to come back, by the platform's protocol."""
TIMELY_PART = 0.5
"""Part of the time until an answer would be late that may pass in waiting; the rest is for work."""
UNREADY_S = 0.3
"""Told while no configuration or no endpoint is known, about the time between two beats."""


def compute_retry_after(
    wait_s: float, random: Random, *, left_s: float = 0.0, timely_s: float = math.inf
) -> float:
    """Return seconds after which the caller should come back, spread over the callers.

    `wait_s` is when room is expected, `left_s` the time until the caller's deadline, `timely_s`
    that until which an answer is timely. A caller that can't be answered in time any more gains
    nothing by coming soon, while those that can are served before it: its return is spread over
    the part of its time that callers wait, in which the overload may pass.
    """
    bounded = min(LONGEST_S, max(SHORTEST_S, wait_s))
    latest_s = left_s * RETURN_PART if math.isfinite(left_s) else 0.0
    if wait_s < timely_s * TIMELY_PART or latest_s <= bounded:
        return bounded * (1 + SPREAD * random.random())
    return bounded + (latest_s - bounded) * random.random()


def encode_seconds(seconds: float) -> bytes:
    """Return the value of a Retry-After header."""
    return b"%.3f" % seconds
