"""Limits one node to its share of the call rate that the platform accepts."""

from dataclasses import dataclass

ROLE_HOLDERS_FRACTION = 0.6
"""Fraction of the platform's rate that is divided among the role holders."""

ALL_NODES_FRACTION = 0.3
"""Fraction divided among all nodes; the rest is a reserve for roles briefly held by two nodes."""

READ_BURST = 6.0
"""Maximum burst of reads; small because all nodes read at once when a fleet restarts."""

WRITE_BURST = 60.0
"""Maximum burst of writes; a restarting fleet makes none and operators make few at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformRates:
    """Calls per second that the platform accepts from the whole fleet."""

    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0


def compute_share(platform_rate: float, *, nodes: int, holders: int, is_holder: bool) -> float:
    """Return the calls per second that one node may make.

    Every node knows the number of nodes and of role holders, so the sum of all shares stays below
    the platform's rate without coordination.
    """
    share = platform_rate * ALL_NODES_FRACTION / max(nodes, 1)
    if is_holder:
        share += platform_rate * ROLE_HOLDERS_FRACTION / max(holders, 1)
    return share


class CallBudget:
    """Token bucket that starts with `initial_tokens`.

    It holds up to `burst` tokens, or the tokens of one second if they are more.
    """

    def __init__(
        self,
        rate_per_s: float,
        *,
        now: float,
        burst: float = READ_BURST,
        initial_tokens: float = 1.0,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = initial_tokens
        self._updated_s = now

    def set_rate(self, rate_per_s: float, *, now: float) -> None:
        """Change the rate and keep the accumulated tokens."""
        self._refill(now)
        self._rate_per_s = rate_per_s

    def reserve(self, now: float, *, max_wait_s: float) -> float | None:
        """Reserve a call and return the seconds until it may start, or None if that is too long."""
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate_per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens -= 1.0
        return wait_s

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a new call could start."""
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._updated_s) * self._rate_per_s
        capacity = max(self._burst, self._rate_per_s)
        self._tokens = min(capacity, self._tokens + added)
        self._updated_s = max(now, self._updated_s)
