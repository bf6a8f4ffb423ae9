"""A relay in front of an upstream that can silently stop forwarding on open connections."""

import asyncio
from typing import cast

from twisted.internet.defer import Deferred

from corianderwall.model.endpoint import Address


class RelayEnd(asyncio.Protocol):
    """One of the two connections that the relay joins to each other."""

    def __init__(self, relay: "UpstreamRelay") -> None:
        self.silent = False
        self.other: RelayEnd | None = None
        self.transport: asyncio.Transport | None = None
        self._relay = relay
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the relay."""
        self.transport = cast("asyncio.Transport", transport)
        self._relay.ends.add(self)

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the other end, or discard them on a silent connection."""
        if self.silent:
            return
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self._unsent.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end too, unless the connection is silent."""
        self._relay.ends.discard(self)
        if not self.silent and self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def pause_writing(self) -> None:
        """Stop reading from the other end."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the other end."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def join(self, other: "RelayEnd") -> None:
        """Forward to `other` the bytes received so far and all later ones."""
        self.other = other
        other.other = self
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self.data_received(data)


class UpstreamRelay:
    """Relays connections; `silence_connections` keeps the open ones open but forwards nothing."""

    def __init__(self) -> None:
        self.ends: set[RelayEnd] = set()
        self._loop = asyncio.get_event_loop()
        self._target: Address | None = None
        self._server: asyncio.Server | None = None
        self._joins: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of relayed connections with both ends open."""
        return sum(end.other is not None for end in self.ends) // 2

    async def listen(self, host: str, port: int, target: Address) -> Address:
        """Listen on `host` and relay its connections to `target`."""
        self._target = target
        opening = self._loop.create_server(self._accept, host, port)
        self._server = await Deferred.fromFuture(self._loop.create_task(opening))
        bound: tuple[str, int] = self._server.sockets[0].getsockname()
        return Address(host=bound[0], port=bound[1])

    def silence_connections(self) -> int:
        """Stop forwarding on the open connections and return their number."""
        for end in self.ends:
            end.silent = True
        return len(self.ends) // 2

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for end in list(self.ends):
            if end.transport is not None:
                end.transport.abort()

    def _accept(self) -> RelayEnd:
        front = RelayEnd(self)
        task = self._loop.create_task(self._join(front))
        self._joins.add(task)
        task.add_done_callback(self._joins.discard)
        return front

    async def _join(self, front: RelayEnd) -> None:
        target = self._target
        if target is None:
            return
        back = RelayEnd(self)
        try:
            await self._loop.create_connection(lambda: back, target.host, target.port)
        except OSError:
            if front.transport is not None:
                front.transport.abort()
            return
        front.join(back)
        front_closed = front.transport is None or front.transport.is_closing()
        if front_closed and back.transport is not None:
            back.transport.close()
