"""The HTTP server: accepts connections, enforces their deadlines, drains."""

import asyncio
import os
import socket
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from corianderwall.httpflow.call import CallHandler
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.server_connection import ServerConnection, ServerState
from corianderwall.model.endpoint import Address

SWEEP_INTERVAL_S = 1.0
"""Interval at which deadlines of connections are checked; the shortest timeouts are seconds."""
DRAIN_SWEEP_INTERVAL_S = 0.1
"""Interval during a drain; shorter, because a sweep ends the drain."""
BACKLOG = 1024
IDLE_GRACE_S = 0.5
"""How long a request may be in transit on a connection that was just opened or used."""


@dataclass(frozen=True, slots=True)
class DrainReport:
    """How many calls completed since the drain began, and how many a forced stop aborted."""

    completed: int
    aborted: int


class CallServer(ServerState):
    """Serves HTTP/1.1 to callers on the loop of the asyncio reactor."""

    def __init__(self, handler: CallHandler, limits: ServerLimits | None = None) -> None:
        super().__init__(handler, limits or ServerLimits())
        self._loop = asyncio.get_event_loop()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._accept_tasks: set[asyncio.Task[tuple[asyncio.Transport, ServerConnection]]] = set()
        self._accept_until = 0.0
        self._ended_before_drain = 0
        self._drained: Deferred[DrainReport] | None = None

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    async def listen(self, host: str, port: int) -> Address:
        """Start to accept connections at `host`; port 0 picks a free one."""
        opening = self._loop.create_server(
            self._make_connection, host, port, backlog=BACKLOG, reuse_address=True
        )
        task = self._loop.create_task(opening)
        server = await Deferred.fromFuture(task)
        self._server = server
        self._sweep()
        bound: tuple[str, int] = server.sockets[0].getsockname()
        return Address(host=bound[0], port=bound[1])

    def drain(self, accept_until: float) -> Deferred[DrainReport]:
        """Finish all calls and close; the result reports how many calls completed.

        Until `accept_until` (monotonic seconds) the server still accepts calls, as their senders
        may not know of the drain yet, and closes each connection after its response.
        """
        if self._drained is None:
            self._drained = Deferred()
            self.draining = True
            self._accept_until = accept_until
            self._ended_before_drain = self.ended_calls
            self._stop_sweep()
            self._sweep()
        result: Deferred[DrainReport] = Deferred()
        self._drained.addCallback(_forward_report, result)
        return result

    def stop_now(self) -> DrainReport:
        """Close everything at once and report how many calls that aborted."""
        aborted = self.running_calls
        self.draining = True
        self._close_listener()
        for connection in list(self.connections):
            connection.abort()
        self._stop_sweep()
        report = DrainReport(completed=self.ended_calls - self._ended_before_drain, aborted=aborted)
        self._complete_drain(report)
        return report

    def advance_drain(self) -> None:
        """Close idle connections during a drain, and end it once none is left."""
        if not self.draining or self._drained is None:
            return
        if self._loop.time() < self._accept_until:
            return
        self._close_listener()
        since = self._loop.time() - IDLE_GRACE_S
        for connection in list(self.connections):
            connection.close_if_idle(since)
        if not self._accept_tasks and not self.connections:
            self._stop_sweep()
            completed = self.ended_calls - self._ended_before_drain
            self._complete_drain(DrainReport(completed=completed, aborted=0))

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(self, self._loop)

    def _sweep(self) -> None:
        now = self._loop.time()
        for connection in list(self.connections):
            if connection.deadline <= now:
                connection.expire()
        interval_s = DRAIN_SWEEP_INTERVAL_S if self.draining else SWEEP_INTERVAL_S
        self._sweep_timer = self._loop.call_later(interval_s, self._sweep)
        if self.draining:
            self.advance_drain()

    def _stop_sweep(self) -> None:
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _close_listener(self) -> None:
        server, self._server = self._server, None
        if server is None:
            return
        # Closing the socket would reset the connections in the kernel's accept queue, so a
        # duplicate keeps it open until they have been accepted.
        listener = socket.socket(fileno=os.dup(server.sockets[0].fileno()))
        listener.setblocking(False)
        server.close()
        self._accept_backlog(listener)
        listener.close()

    def _accept_backlog(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return
            connecting = self._loop.connect_accepted_socket(self._make_connection, accepted)
            task = self._loop.create_task(connecting)
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)

    def _complete_drain(self, report: DrainReport) -> None:
        drained = self._drained
        if drained is not None and not drained.called:
            drained.callback(report)


def _forward_report(report: DrainReport, result: "Deferred[DrainReport]") -> DrainReport:
    result.callback(report)
    return report
