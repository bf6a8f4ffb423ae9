"""Limits the rate of calls that start at an endpoint."""

import math
from dataclasses import dataclass

BURST_CALLS = 2.0
"""Calls that may start at once after a pause."""
MIN_RATE_PER_S = 0.25
"""Lowest rate that is applied; without any calls, the end of a limit would not be noticed."""


@dataclass(slots=True)
class RateLimit:
    """A token bucket for an optional rate; times are monotonic seconds."""

    rate_per_s: float | None = None
    _tokens: float = BURST_CALLS
    _updated_at: float = -math.inf

    def set_rate(self, rate_per_s: float | None, now: float) -> None:
        """Change the rate, or remove it with None; a new limit starts with one call."""
        if rate_per_s is None:
            self.rate_per_s = None
            return
        if self.rate_per_s is None:
            self._tokens = 1.0
        else:
            self._refill(now)
        self._updated_at = now
        self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)

    def permits(self, now: float) -> bool:
        """Return whether a call may start."""
        return self.estimate_wait(now, 0) <= 0.0

    def take(self, now: float) -> None:
        """Count the start of a call."""
        if self.rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def estimate_wait(self, now: float, ahead: int) -> float:
        """Return the seconds until a call may start that has `ahead` other calls before it."""
        if self.rate_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        if self.rate_per_s is not None and now > self._updated_at:
            gained = (now - self._updated_at) * self.rate_per_s
            self._tokens = min(BURST_CALLS, self._tokens + gained)
            self._updated_at = now


def parse_rate(raw: bytes | None) -> float | None:
    """Return the rate in a header, or None if there is no valid one."""
    try:
        rate_per_s = float(raw) if raw is not None else math.nan
    except ValueError:
        return None
    return rate_per_s if 0.0 <= rate_per_s < math.inf else None
