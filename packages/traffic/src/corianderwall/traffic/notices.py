"""The rate of notices about one endpoint, so that a flapping state cannot cost many bytes."""

BURST = 4.0
"""Changes that are told at once before the rate counts."""
PERIOD_S = 4.0
"""Time per change told in the long run."""


class NoticeBudget:
    """A token bucket; a change that finds no token travels with the grants."""

    __slots__ = ("_at", "_tokens")

    def __init__(self) -> None:
        self._tokens = BURST
        self._at = float("-inf")

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self._tokens = min(BURST, self._tokens + (now - self._at) / PERIOD_S)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
