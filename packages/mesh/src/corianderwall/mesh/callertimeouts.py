"""Estimates how long a caller has already spent on earlier attempts of a call."""

import math


class CallerTimeouts:
    """The longest timeout that callers have sent on each route.

    A caller that retries sends the time left of its first timeout, so the difference from the
    longest timeout is the time already spent. It counts towards the latency objective.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def estimate_elapsed_s(self, route: str, timeout_s: float) -> float:
        """Return the seconds spent on earlier attempts; record `timeout_s` if it is the longest."""
        if math.isinf(timeout_s):
            return 0.0
        longest_s = max(self._longest_s.get(route, 0.0), timeout_s)
        self._longest_s[route] = longest_s
        return longest_s - timeout_s
