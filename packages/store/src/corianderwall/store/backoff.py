"""Exponential backoff with full jitter."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True, slots=True, kw_only=True)
class Backoff:
    """Random delays between zero and a limit that doubles with each failed attempt."""

    base_s: float = 0.05
    cap_s: float = 5.0

    def compute_delay(self, attempt: int, random: Random) -> float:
        """Return the seconds to wait after `attempt` consecutive failures."""
        exponent = min(max(attempt - 1, 0), 30)
        return random.uniform(0, min(self.cap_s, self.base_s * 2**exponent))
