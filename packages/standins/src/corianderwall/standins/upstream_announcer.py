"""Announces an upstream stand-in to the node on its host."""

import asyncio

import msgspec

from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address, EndpointState

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.9
ANNOUNCEMENT_TARGET = b"/upstream/announcement"


class Announcement(msgspec.Struct, frozen=True):
    """The announcement that is sent to the node every second."""

    service: str
    version: str
    host: str
    port: int
    slots: int
    connections: int
    state: EndpointState


class IgnoredResponse:
    """Discards the response, since the next announcement follows in any case."""

    def receive_head(self, head: ResponseHead) -> None:
        """Ignore the head."""

    def receive_body(self, data: bytes) -> None:
        """Ignore the body."""

    def finish(self, result: AttemptResult) -> None:
        """Ignore the result."""


class Announcer:
    """Repeats the announcement until the upstream leaves."""

    def __init__(self, node: Address, announcement: Announcement) -> None:
        self._node = node
        self._announcement = announcement
        self._pool = UpstreamPool(node, 2)
        self._loop = asyncio.get_event_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Send the announcement now and at every interval."""
        self._send(b"PUT", msgspec.json.encode(self._announcement))
        self._timer = self._loop.call_later(ANNOUNCE_INTERVAL_S, self.start)

    def withdraw(self) -> None:
        """Stop announcing and withdraw the announcement at the node."""
        self.stop()
        self._send(b"DELETE", b"")

    def stop(self) -> None:
        """Stop announcing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop announcing and close the connections to the node."""
        self.stop()
        self._pool.abort()

    def _send(self, method: bytes, body: bytes) -> None:
        call = OutgoingCall(
            method=method,
            target=ANNOUNCEMENT_TARGET,
            headers=[
                (b"host", str(self._node).encode()),
                (b"content-type", b"application/json"),
            ],
            deadline=self._loop.time() + ANNOUNCE_TIMEOUT_S,
            idempotent=True,
            body=body,
        )
        self._pool.send(call, IgnoredResponse())
