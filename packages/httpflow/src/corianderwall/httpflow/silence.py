"""Decides which open connections have gone silent, by comparison with a fresh one."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionView:
    """What is known of an open connection; instants in monotonic seconds.

    `waiting_since` is when its call began to wait for the first or next byte, None if it is idle
    or its receiver keeps it from being read.
    """

    key: int
    opened: float
    last_received: float
    waiting_since: float | None


@dataclass(slots=True)
class Comparison:
    """The same probe, sent at `started` on a fresh connection and on older idle ones."""

    started: float
    deadline: float
    fresh_answered: bool = False
    fresh_failed: bool = False
    old_sent: int = 0
    old_answered: int = 0

    def is_over(self, now: float) -> bool:
        """Return whether every probe was answered or has run out of time."""
        pending = self.old_answered < self.old_sent
        return now >= self.deadline or self.fresh_failed or (self.fresh_answered and not pending)

    def shows_silence(self) -> bool:
        """Return whether the fresh connection was answered and no older one was."""
        return self.fresh_answered and self.old_sent > 0 and self.old_answered == 0


def find_suspects(
    views: Iterable[ConnectionView], now: float, suspect_after_s: float
) -> list[ConnectionView]:
    """Return the connections whose calls wait without any progress."""
    return [
        view
        for view in views
        if view.waiting_since is not None and view.waiting_since + suspect_after_s <= now
    ]


def find_distrusted(idle: Iterable[ConnectionView], since: float) -> list[ConnectionView]:
    """Return the idle connections that carried no byte to us after `since`."""
    return [view for view in idle if view.last_received < since]


def find_silent(comparison: Comparison, busy: Iterable[ConnectionView]) -> list[ConnectionView]:
    """Return the busy connections that the comparison proves silent.

    Without an older idle connection to compare with, nothing tells a slow call from a silent
    connection: such a call keeps its deadline, and the keepalive of TCP finds a dead path.
    """
    if not comparison.shows_silence():
        return []
    started = comparison.started
    return [view for view in busy if view.opened < started and view.last_received < started]
