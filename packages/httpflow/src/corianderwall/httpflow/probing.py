"""Probes the connections of one pool to find silent ones."""

import asyncio
from typing import Protocol

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.client_connection import ClientConnection
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.silence import (
    ConnectionSnapshot,
    ProbeComparison,
    find_silent,
    find_stalled,
    find_suspect_idle,
)
from corianderwall.model.endpoint import Address

PROBE_TARGET = b"/health"
MAX_OLD_PROBES = 2


class ProbedPool(Protocol):
    """The methods of a pool that `SilenceDetector` uses."""

    address: Address

    @property
    def connections(self) -> set[ClientConnection]:
        """Return the open connections."""

    def list_idle(self) -> list[ClientConnection]:
        """Return the idle connections."""

    def reserve_idle(self, connection: ClientConnection) -> None:
        """Remove an idle connection from use until `handle_idle` is called for it."""

    def handle_idle(self, connection: ClientConnection) -> None:
        """Use a free connection for a call, or keep it as idle."""

    def handle_opened(self, connection: ClientConnection) -> None:
        """Add a new connection."""

    def handle_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def fail_connection(self, connection: ClientConnection) -> None:
        """Reset a connection; its call fails with `UPSTREAM_LOST`."""


class ProbeReceiver:
    """Receives the response to one probe; any final response proves that the connection works."""

    def __init__(self, comparison: ProbeComparison, *, fresh: bool) -> None:
        self._comparison = comparison
        self._fresh = fresh

    def receive_head(self, head: ResponseHead) -> None:
        """Ignore the head."""

    def receive_body(self, data: bytes) -> None:
        """Ignore the body."""

    def finish(self, result: AttemptResult) -> None:
        """Record whether the probe got a response."""
        responded = result.head is not None
        if not self._fresh:
            self._comparison.old_responded += responded
        elif responded:
            self._comparison.fresh_responded = True
        else:
            self._comparison.fresh_failed = True


class FreshConnectionOwner:
    """Owns a fresh connection until its probe gets a response, then passes it to the pool."""

    def __init__(self, pool: ProbedPool, comparison: ProbeComparison, probe: OutgoingCall) -> None:
        self._pool = pool
        self._comparison = comparison
        self._probe = probe

    def handle_opened(self, connection: ClientConnection) -> None:
        """Send the probe."""
        receiver = ProbeReceiver(self._comparison, fresh=True)
        send_probe(connection, self._probe, receiver)

    def handle_idle(self, connection: ClientConnection) -> None:
        """Pass the connection to the pool."""
        connection.owner = self._pool
        self._pool.handle_opened(connection)

    def handle_closed(self, connection: ClientConnection) -> None:
        """Record that the fresh connection failed, unless its probe had got a response."""
        self._comparison.fresh_failed = not self._comparison.fresh_responded


def send_probe(
    connection: ClientConnection, probe: OutgoingCall, receiver: ProbeReceiver
) -> Attempt:
    """Send `probe` on `connection`; its deadline closes the connection."""
    attempt = Attempt(probe, receiver)
    attempt.timer = asyncio.get_event_loop().call_at(probe.deadline, attempt.expire)
    attempt.start_on(connection)
    return attempt


class SilenceDetector:
    """Searches a pool for silent connections, with at most one comparison at a time."""

    def __init__(
        self, pool: ProbedPool, limits: ClientLimits, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._pool = pool
        self._limits = limits
        self._loop = loop
        self._comparison: ProbeComparison | None = None
        self._opening: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Evaluate a comparison that is over, and start one if a call has made no progress."""
        now = self._loop.time()
        comparison = self._comparison
        if comparison is not None:
            if not comparison.is_over(now):
                return
            self._comparison = None
            self._fail_silent(comparison)
        stalled = find_stalled(self._snapshot_busy(), now, self._limits.stalled_after_s)
        if stalled:
            self.compare(since=min(snapshot.waiting_since or now for snapshot in stalled))

    def compare(self, *, since: float) -> None:
        """Compare a fresh connection with the idle ones that received nothing since `since`.

        Only the most recently used of these are probed. The others are closed, as the current
        rate of calls doesn't need them.
        """
        if self._comparison is not None:
            return
        idle = {id(connection): connection for connection in self._pool.list_idle()}
        suspects = find_suspect_idle([_take_snapshot(each) for each in idle.values()], since)
        if not suspects:
            return
        now = self._loop.time()
        comparison = ProbeComparison(started=now, deadline=now + self._limits.probe_timeout_s)
        self._comparison = comparison
        for snapshot in suspects[:-MAX_OLD_PROBES]:
            idle[snapshot.key].close()
        for snapshot in suspects[-MAX_OLD_PROBES:]:
            connection = idle[snapshot.key]
            self._pool.reserve_idle(connection)
            comparison.old_probes_sent += 1
            send_probe(connection, self._make_probe(), ProbeReceiver(comparison, fresh=False))
        self._opening = self._loop.create_task(self._open_fresh(comparison))

    async def _open_fresh(self, comparison: ProbeComparison) -> None:
        owner = FreshConnectionOwner(self._pool, comparison, self._make_probe())
        address = self._pool.address
        try:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                await self._loop.create_connection(
                    lambda: ClientConnection(owner, self._limits, self._loop),
                    address.host,
                    address.port,
                )
        except OSError:
            comparison.fresh_failed = True

    def _make_probe(self) -> OutgoingCall:
        return OutgoingCall(
            method=b"GET",
            target=PROBE_TARGET,
            headers=[(b"host", str(self._pool.address).encode())],
            deadline=self._loop.time() + self._limits.probe_timeout_s,
            idempotent=True,
        )

    def _fail_silent(self, comparison: ProbeComparison) -> None:
        busy = {id(each): each for each in self._pool.connections if each.attempt is not None}
        for snapshot in find_silent(comparison, [_take_snapshot(each) for each in busy.values()]):
            self._pool.fail_connection(busy[snapshot.key])

    def _snapshot_busy(self) -> list[ConnectionSnapshot]:
        return [_take_snapshot(each) for each in self._pool.connections if each.attempt is not None]


def _take_snapshot(connection: ClientConnection) -> ConnectionSnapshot:
    attempt = connection.attempt
    waiting_since = None
    if attempt is not None and not attempt.is_paused:
        waiting_since = max(attempt.started, connection.last_received)
    return ConnectionSnapshot(
        id(connection), connection.opened_at, connection.last_received, waiting_since
    )
