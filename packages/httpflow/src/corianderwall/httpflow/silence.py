"""Finds silent connections: still open, but their peer no longer responds on them."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionSnapshot:
    """The state of an open connection at one moment; timestamps in monotonic seconds.

    `waiting_since` is when its call began to wait for the first or next byte. It is None if the
    connection is idle or the receiver has paused reading.
    """

    key: int
    opened_at: float
    last_received: float
    waiting_since: float | None


@dataclass(slots=True)
class ProbeComparison:
    """The results of probes, sent at `started` on a fresh connection and on older idle ones."""

    started: float
    deadline: float
    fresh_responded: bool = False
    fresh_failed: bool = False
    old_probes_sent: int = 0
    old_responded: int = 0

    def is_over(self, now: float) -> bool:
        """Return whether all probes got responses, the fresh one failed or time has run out."""
        pending = self.old_responded < self.old_probes_sent
        return now >= self.deadline or self.fresh_failed or (self.fresh_responded and not pending)

    def shows_silence(self) -> bool:
        """Return whether the fresh connection got a response and none of the older ones did."""
        return self.fresh_responded and self.old_probes_sent > 0 and self.old_responded == 0


def find_stalled(
    snapshots: Iterable[ConnectionSnapshot], now: float, stalled_after_s: float
) -> list[ConnectionSnapshot]:
    """Return the connections whose calls have made no progress for `stalled_after_s`."""
    return [
        snapshot
        for snapshot in snapshots
        if snapshot.waiting_since is not None and snapshot.waiting_since + stalled_after_s <= now
    ]


def find_suspect_idle(idle: Iterable[ConnectionSnapshot], since: float) -> list[ConnectionSnapshot]:
    """Return the idle connections on which nothing was received since `since`."""
    return [snapshot for snapshot in idle if snapshot.last_received < since]


def find_silent(
    comparison: ProbeComparison, busy: Iterable[ConnectionSnapshot]
) -> list[ConnectionSnapshot]:
    """Return the busy connections that the comparison proves silent.

    Without an older idle connection to compare with, a slow call can't be told from a silent
    connection. Such a call runs until its deadline, and TCP keepalive detects a dead path.
    """
    if not comparison.shows_silence():
        return []
    started = comparison.started
    return [
        snapshot
        for snapshot in busy
        if snapshot.opened_at < started and snapshot.last_received < started
    ]
