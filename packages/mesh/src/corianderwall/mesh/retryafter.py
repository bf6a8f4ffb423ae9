"""Computes the Retry-After value of a refused call."""

import math
from random import Random

MIN_RETRY_AFTER_S = 0.05
"""Shortest wait sent to a refused caller; a shorter one would only add load."""
MAX_RETRY_AFTER_S = 1.0
"""Longest wait; most callers have no more time left."""
JITTER = 0.5
"""Random fraction added to a wait, so that callers refused together don't retry together."""
MAX_CALLER_WAIT_FRACTION = 1 / 3
"""Fraction of their remaining time that callers wait at most, by the platform's protocol."""
MAX_WAIT_FRACTION = 0.5
"""Fraction of the time left to the objective that may be spent waiting; the rest is for work."""
DEFAULT_RETRY_AFTER_S = 0.3
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
    bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    latest_s = left_s * MAX_CALLER_WAIT_FRACTION if math.isfinite(left_s) else 0.0
    if wait_s < timely_s * MAX_WAIT_FRACTION or latest_s <= bounded:
        return bounded * (1 + JITTER * random.random())
    return bounded + (latest_s - bounded) * random.random()


def encode_seconds(seconds: float) -> bytes:
    """Return `seconds` as the value of a Retry-After header."""
    return b"%.3f" % seconds
