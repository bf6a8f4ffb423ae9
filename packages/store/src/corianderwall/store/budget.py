"""The share of the platform's call rate that one node may use."""

from dataclasses import dataclass

HOLDERS_PART = 0.6
"""Part of the platform's rate that the role holders divide among themselves."""

OTHERS_PART = 0.3
"""Part that all nodes divide; the rest is kept for roles that are held twice for a while."""

READ_BURST = 6.0
"""Reads that a node may save up; small, as a returning fleet reads all at once."""

WRITE_BURST = 60.0
"""Writes that a node may save up; a returning fleet makes none, operators make few at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformRates:
    """Calls a second that the platform accepts from the whole fleet."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0


def compute_share(platform_rate: float, *, nodes: int, holders: int, is_holder: bool) -> float:
    """Return the calls a second of one node.

    Every node knows the number of nodes and of role holders, so all shares together stay below
    the platform's rate without any exchange.
    """
    share = platform_rate * OTHERS_PART / max(nodes, 1)
    if is_holder:
        share += platform_rate * HOLDERS_PART / max(holders, 1)
    return share


class CallBudget:
    """Token bucket that starts with `saved` calls and keeps up to `burst`."""

    def __init__(
        self, rate_per_s: float, *, now: float, burst: float = READ_BURST, saved: float = 1.0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = saved
        self._updated_s = now

    def set_rate(self, rate_per_s: float, *, now: float) -> None:
        """Use another rate from now on; what is saved up stays."""
        self._refill(now)
        self._rate_per_s = rate_per_s

    def reserve(self, now: float, *, max_wait_s: float) -> float | None:
        """Take one call and return the seconds to wait before it, None if that is too long."""
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate_per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a call would be free."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def _refill(self, now: float) -> None:
        earned = max(0.0, now - self._updated_s) * self._rate_per_s
        ceiling = max(self._burst, self._rate_per_s)
        self._tokens = min(ceiling, self._tokens + earned)
        self._updated_s = max(now, self._updated_s)
