"""The share of this node in the retry budget of the fleet."""

from collections import deque
from dataclasses import dataclass, field

RATIO_SAFETY_FACTOR = 0.6
"""Fraction of the allowed ratio that is used. The rest covers nested calls of retried calls, which
are always made, also by a node without budget left, and counts that are lost in a restart."""
SLACK_SAFETY_FACTOR = 0.5
"""Fraction of the fleet's slack that the nodes share, for the same reason."""


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Allows a retry while the retries in the window stay under ratio x requests + slack / nodes.

    Each node counts only its own calls, so the shares of all nodes add up to the fleet's budget.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._slack = slack * SLACK_SAFETY_FACTOR
        self._window_s = window_s
        self._services: dict[str, _Window] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first send of a request to `service`."""
        window = self._services.setdefault(service, _Window())
        window.requests.append(now)
        self._drop_expired(window, now)

    def take(self, service: str, now: float, nodes: int) -> bool:
        """Return whether one more retry is allowed, and count it if so."""
        if not self.has_room(service, now, nodes):
            return False
        self.charge(service, now)
        return True

    def has_room(self, service: str, now: float, nodes: int) -> bool:
        """Return whether one more retry is allowed, without counting it."""
        window = self._services.setdefault(service, _Window())
        self._drop_expired(window, now)
        allowed = self._ratio * len(window.requests) + self._slack / max(1, nodes)
        return len(window.retries) + 1 <= allowed

    def charge(self, service: str, now: float) -> None:
        """Count a retry that is made anyway, as a nested call of a retried call, or was made."""
        self._services.setdefault(service, _Window()).retries.append(now)

    def _drop_expired(self, window: _Window, now: float) -> None:
        oldest = now - self._window_s
        for times in (window.requests, window.retries):
            while times and times[0] < oldest:
                times.popleft()
