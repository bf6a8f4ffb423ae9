"""Graceful drain of an endpoint: refuse new calls, let running calls end, then stop."""

import enum

DRAIN_PROPAGATION_S = 3.0
"""Longest time until every node has stopped sending calls to a draining endpoint."""


class DrainState(enum.Enum):
    """Whether an endpoint accepts calls, lets running calls end, or may stop."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class EndpointDrain:
    """The drain of an endpoint, or of the owner itself.

    Nodes that do not yet know of the drain may send calls for up to `DRAIN_PROPAGATION_S`. Their
    direct calls are covered by the leases charged to them; the calls that they hand over are
    refused as not run.
    """

    __slots__ = ("_deadline", "_started_at")

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._deadline = float("inf")

    def begin(self, now: float, deadline: float) -> None:
        """Start the drain, unless it has started; it ends at `deadline` even if calls still run."""
        if self._started_at is None:
            self._started_at = now
            self._deadline = deadline

    @property
    def accepts_work(self) -> bool:
        """Whether new calls may be admitted."""
        return self._started_at is None

    def read_state(self, running: int, charged: int, now: float) -> DrainState:
        """Return the state, given the owner's running calls and the leases still charged."""
        if self._started_at is None:
            return DrainState.SERVING
        if now >= self._deadline:
            return DrainState.DRAINED
        is_propagated = now >= self._started_at + DRAIN_PROPAGATION_S
        if is_propagated and not running and not charged:
            return DrainState.DRAINED
        return DrainState.DRAINING
