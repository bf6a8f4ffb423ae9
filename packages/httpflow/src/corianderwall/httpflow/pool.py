"""The pool of connections from this process to one upstream."""

import asyncio
import select
from collections import deque

from corianderwall.httpflow.attempt import Attempt, OutgoingCall, ResponseReceiver
from corianderwall.httpflow.client_connection import ClientConnection
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.probing import SilenceDetector
from corianderwall.httpflow.resting import ConnectionHistory
from corianderwall.model.endpoint import Address
from corianderwall.model.errors import ErrorCode

TICK_INTERVAL_S = 0.25
STALE_EVENTS = select.POLLIN | select.POLLRDHUP | select.POLLHUP | select.POLLERR


class UpstreamPool:
    """Sends calls on idle or new connections, with at most `max_connections` open at once.

    A comparison that searches for silent connections may briefly open one more. Given a `history`,
    the pool learns how long connections may rest; otherwise the limits alone decide.
    """

    def __init__(
        self,
        address: Address,
        max_connections: int,
        limits: ClientLimits | None = None,
        history: ConnectionHistory | None = None,
    ) -> None:
        self.address = address
        self._max_connections = max_connections
        self.limits = limits or ClientLimits()
        self._learned = history
        self._history = history or ConnectionHistory(
            self.limits.max_idle_s, self.limits.max_non_idempotent_idle_s
        )
        self._loop = asyncio.get_event_loop()
        self._connections: set[ClientConnection] = set()
        self._idle: list[ClientConnection] = []
        self._opening: set[asyncio.Task[None]] = set()
        self._pending: deque[Attempt] = deque()
        self._closed = False
        self._poller = select.poll()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._silence_detector = SilenceDetector(self, self.limits, self._loop)

    @property
    def max_connections(self) -> int:
        """The maximum number of open connections; lowering it closes excess idle ones at once."""
        return self._max_connections

    @max_connections.setter
    def max_connections(self, limit: int) -> None:
        self._max_connections = limit
        while self._idle and self.open_connections > limit:
            self._idle[0].close()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._connections) + len(self._opening)

    @property
    def idle_connections(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that carry a call or are being opened."""
        return self.open_connections - len(self._idle)

    def send(
        self, call: OutgoingCall, receiver: ResponseReceiver, *, fresh: bool = False
    ) -> Attempt:
        """Send `call`; if no connection is free or can be opened, the attempt fails as not run.

        With `fresh` it is sent on no connection that has rested.
        """
        attempt = Attempt(call, receiver)
        loop = self._loop
        if self._closed or call.deadline <= loop.time():
            error = ErrorCode.UPSTREAM_LOST if self._closed else ErrorCode.DEADLINE_EXCEEDED
            loop.call_soon(attempt.fail, error)
            return attempt
        attempt.timer = loop.call_at(call.deadline, self._expire, attempt)
        if fresh:
            self._make_room()
        connection = None if fresh else self._take_idle(call.idempotent)
        if connection is not None:
            attempt.start_on(connection)
        elif self.open_connections < self.max_connections:
            self._pending.append(attempt)
            self._open()
        else:
            loop.call_soon(attempt.fail, ErrorCode.OVERLOADED)
        return attempt

    def warm(self, count: int) -> None:
        """Open idle connections until `count` are open."""
        for _ in range(min(count, self.max_connections) - self.open_connections):
            self._open()

    def close(self) -> None:
        """Close idle connections now and busy ones when their calls end."""
        self._closed = True
        for connection in list(self._idle):
            connection.close()

    def abort(self) -> None:
        """Close every connection; running calls fail."""
        self.close()
        for attempt in list(self._pending):
            attempt.fail(ErrorCode.CANCELLED)
        for connection in list(self._connections):
            self.fail_connection(connection)

    def fail_connection(self, connection: ClientConnection) -> None:
        """Reset a connection; its call fails with `UPSTREAM_LOST`."""
        if connection.attempt is not None:
            connection.attempt.fail(ErrorCode.UPSTREAM_LOST)
        else:
            connection.abort()

    # Events of the connections.

    def handle_opened(self, connection: ClientConnection) -> None:
        """Add a new connection and use it for the oldest pending call."""
        self._connections.add(connection)
        if self._tick_timer is None and self.limits.has_own_timer:
            self._tick_timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)
        self.handle_idle(connection)

    def handle_idle(self, connection: ClientConnection) -> None:
        """Use a free connection for the oldest pending call, or keep it as idle."""
        while self._pending:
            attempt = self._pending.popleft()
            if not attempt.finished:
                attempt.start_on(connection)
                return
        if self._closed or len(self._connections) > self.max_connections:
            connection.close()
        else:
            self._idle.append(connection)

    def handle_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    # Methods for the search for silent connections.

    @property
    def connections(self) -> set[ClientConnection]:
        """Return the open connections."""
        return self._connections

    def reserve_idle(self, connection: ClientConnection) -> None:
        """Remove an idle connection from use until `handle_idle` is called for it."""
        self._idle.remove(connection)

    def list_idle(self) -> list[ClientConnection]:
        """Return the idle connections."""
        return list(self._idle)

    def _make_room(self) -> None:
        """Close the most rested connection if no other can be opened beside it."""
        if self._idle and self.open_connections >= self.max_connections:
            self._idle[0].close()

    def _take_idle(self, idempotent: bool) -> ClientConnection | None:
        now = self._loop.time()
        max_idle_s = self._history.limit_rest_s(idempotent=True, now=now)
        max_non_idempotent_idle_s = self._history.limit_rest_s(idempotent=False, now=now)
        while self._idle:
            connection = self._idle[-1]
            idle_s = now - connection.idle_since
            if not idempotent and idle_s > max_non_idempotent_idle_s:
                # The upstream may be about to close it, and the request could not be sent again.
                if self.open_connections < self.max_connections:
                    return None
                connection.close()
                continue
            self._idle.pop()
            if connection.is_ending:
                continue
            if idle_s <= max_idle_s and not self._is_stale(connection, idle_s):
                return connection
            connection.close()
        return None

    def _is_stale(self, connection: ClientConnection, idle_s: float) -> bool:
        if idle_s < self.limits.stale_after_s:
            return False
        self._poller.register(connection.fileno, STALE_EVENTS)
        events = self._poller.poll(0)
        self._poller.unregister(connection.fileno)
        return bool(events)

    def _open(self) -> None:
        self._history.opened += 1
        task = self._loop.create_task(self._connect())
        self._opening.add(task)

    async def _connect(self) -> None:
        task = asyncio.current_task()
        error: OSError | None = None
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                await self._loop.create_connection(
                    self._make_connection, self.address.host, self.address.port
                )
        except OSError as caught:
            error = caught
        finally:
            if task is not None:
                self._opening.discard(task)
        if error is not None:
            self._fail_pending()

    def _fail_pending(self) -> None:
        while self._pending:
            attempt = self._pending.popleft()
            if not attempt.finished:
                attempt.fail(ErrorCode.UPSTREAM_LOST)
                return

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self, self.limits, self._loop, self._learned)

    def _expire(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is not None and connection.last_received < attempt.started:
            # Compare before the receiver hears of the timeout and sends its next call: that call
            # must not be sent on a connection under suspicion.
            self._silence_detector.compare(since=attempt.started)
        attempt.expire()

    def tick(self) -> None:
        """Close connections that were idle for too long, and check for calls without progress."""
        now = self._loop.time()
        max_idle_s = self._history.limit_rest_s(idempotent=True, now=now)
        for connection in list(self._idle):
            if now - connection.idle_since > max_idle_s:
                connection.close()
        self._silence_detector.tick()

    def _tick(self) -> None:
        self._tick_timer = None
        self.tick()
        if self._connections:
            self._tick_timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)
