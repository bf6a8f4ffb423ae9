"""How long callers had been waiting before the attempt at hand."""

import math


class PatienceMemory:
    """Remembers the longest time that callers of each route have given an attempt.

    A caller that comes back has that much less left than one that comes first, so the difference
    is what it has spent; its answer is late by what the first attempt would have been.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def read_used_s(self, route: str, given_s: float) -> float:
        """Return the seconds that the caller has used before, and learn from `given_s`."""
        if math.isinf(given_s):
            return 0.0
        longest_s = max(self._longest_s.get(route, 0.0), given_s)
        self._longest_s[route] = longest_s
        return longest_s - given_s
