"""A rate limit on the notices about one endpoint, in case its state flaps."""

BURST = 4.0
"""Number of notices that may be sent in a burst."""
TOKEN_INTERVAL_S = 4.0
"""Time in which one token is added."""


class NoticeLimiter:
    """A token bucket; a change without a token reaches the holders with their next grants."""

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self) -> None:
        self._tokens = BURST
        self._updated_at = float("-inf")

    def take_token(self, now: float) -> bool:
        """Take a token, if there is one; return whether there was."""
        self._tokens = min(BURST, self._tokens + (now - self._updated_at) / TOKEN_INTERVAL_S)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
