"""Announces an upstream stand-in to the node beside it."""

import asyncio

import msgspec

from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address, EndpointState

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.9
TARGET = b"/upstream/announcement"


class Announcement(msgspec.Struct, frozen=True):
    """What the node is told every second."""

    service: str
    version: str
    host: str
    port: int
    slots: int
    connections: int
    state: EndpointState


class IgnoredResponse:
    """Takes an answer that changes nothing; the next announcement follows anyway."""

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
        """Announce now and from now on."""
        self._send(b"PUT", msgspec.json.encode(self._announcement))
        self._timer = self._loop.call_later(ANNOUNCE_INTERVAL_S, self.start)

    def leave(self) -> None:
        """Tell the node that the upstream leaves."""
        self.stop()
        self._send(b"DELETE", b"")

    def stop(self) -> None:
        """Announce nothing more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Stop and close the connections to the node."""
        self.stop()
        self._pool.abort()

    def _send(self, method: bytes, body: bytes) -> None:
        call = OutgoingCall(
            method=method,
            target=TARGET,
            headers=[
                (b"host", str(self._node).encode()),
                (b"content-type", b"application/json"),
            ],
            deadline=self._loop.time() + ANNOUNCE_TIMEOUT_S,
            idempotent=True,
            body=body,
        )
        self._pool.send(call, IgnoredResponse())
