"""Computes the Retry-After value of a refused call."""

import math
from random import Random

SHORTEST_S = 0.05
"""Shortest wait sent to a refused caller; a shorter one would only add load."""
LONGEST_S = 1.0
"""Longest wait; most callers have no more time left."""
SPREAD = 0.5
"""Random fraction added to a wait, so that callers refused together don't retry together."""
RETURN_PART = 1 / 3
"""Fraction of their remaining time that callers wait at most, by the platform's protocol."""
TIMELY_PART = 0.5
"""Fraction of the time left to the objective that may be spent waiting; the rest is for work."""
UNREADY_S = 0.3
"""Wait sent while no configuration or endpoint is known; about the heartbeat interval."""


def compute_retry_after(
    wait_s: float, random: Random, *, left_s: float = 0.0, timely_s: float = math.inf
) -> float:
    """Return the seconds after which the caller should retry, with jitter.

    `wait_s` is the time until a slot is expected to be free, `left_s` the time until the caller's
    deadline and `timely_s` the time until a response misses the latency objective. A caller that
    will miss it anyway gains nothing by an early retry, since timely calls are served first. Its
    retry is spread over the whole time that callers may wait, in which the overload may pass.
    """
    bounded = min(LONGEST_S, max(SHORTEST_S, wait_s))
    latest_s = left_s * RETURN_PART if math.isfinite(left_s) else 0.0
    if wait_s < timely_s * TIMELY_PART or latest_s <= bounded:
        return bounded * (1 + SPREAD * random.random())
    return bounded + (latest_s - bounded) * random.random()


def encode_seconds(seconds: float) -> bytes:
    """Return `seconds` as the value of a Retry-After header."""
    return b"%.3f" % seconds
