"""The order in which an endpoint leaves: no new work, running calls end, then it is gone."""

import enum

NOTICE_S = 3.0
"""Longest time until no node gives a leaving endpoint new work."""


class DrainState(enum.Enum):
    """The state of one endpoint towards new and running calls."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"


class EndpointDrain:
    """Tells the owner when its endpoint, or itself, may stop.

    Nodes that have not yet heard keep sending for `NOTICE_S` at most: their direct calls are
    known by the charge of their leases, their handed-over calls are refused as not run.
    """

    __slots__ = ("_begun_at", "_cut_at")

    def __init__(self) -> None:
        self._begun_at: float | None = None
        self._cut_at = float("inf")

    def begin(self, now: float, cut_at: float) -> None:
        """Start to drain; running calls are cut at `cut_at` if they have not ended."""
        if self._begun_at is None:
            self._begun_at = now
            self._cut_at = cut_at

    @property
    def accepts_work(self) -> bool:
        """Return whether new calls may be admitted."""
        return self._begun_at is None

    def read_state(self, running: int, charged: int, now: float) -> DrainState:
        """Return the state, from the owner's running calls and the leases still charged."""
        if self._begun_at is None:
            return DrainState.SERVING
        if now >= self._cut_at:
            return DrainState.DRAINED
        is_noticed = now >= self._begun_at + NOTICE_S
        if is_noticed and not running and not charged:
            return DrainState.DRAINED
        return DrainState.DRAINING
