"""Sends big bodies to other nodes one after another at the link's rate."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from corianderwall.httpflow.attempt import Attempt
from corianderwall.httpflow.call import IncomingCall
from corianderwall.mesh.exchange import Response
from corianderwall.mesh.uplink import Uplink

CHUNK_BYTES = 8192
"""Bytes of a big body written at once; 12 ms on the slowest link that the users run."""


class _Destination(Protocol):
    """The receiver of a body."""

    @property
    def is_open(self) -> bool:
        """Return whether the body is still wanted."""

    def write_body(self, data: bytes) -> None:
        """Write the next bytes."""

    def end_body(self) -> None:
        """End the body, which is complete."""


@dataclass(frozen=True, slots=True)
class _ResponseDestination:
    """The caller that gets a response."""

    call: IncomingCall

    @property
    def is_open(self) -> bool:
        return self.call.is_open

    def write_body(self, data: bytes) -> None:
        self.call.write_body(data)

    def end_body(self) -> None:
        self.call.end_response()


@dataclass(slots=True)
class _Transfer:
    """A big body that is being sent; `sent` bytes of `body` have been written.

    `account` holds the memory of the body.
    """

    destination: _Destination
    body: bytes
    sent: int = 0
    paused: bool = False
    account: object = None

    def pause_body(self) -> None:
        """Pause, as the receiver does not keep up."""
        self.paused = True

    def resume_body(self) -> None:
        """Resume, as the receiver has caught up."""
        self.paused = False


class LinkSender:
    """Queues the big bodies that leave this host and sends them at the rate of the link.

    A body with a slow receiver goes to the end of the queue, so it does not block others.
    """

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._loop = asyncio.get_running_loop()
        self._queue: deque[_Transfer] = deque()
        self._next_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def respond(self, call: IncomingCall, response: Response) -> None:
        """Respond to `call`, at once if the response is small."""
        status, headers, body = response.status, response.headers, response.body
        if self._uplink.is_small(len(body)) or call.method == b"HEAD":
            call.respond(status, headers, body, response.account)
            return
        transfer = _Transfer(_ResponseDestination(call), body, account=response.account)
        call.start_response(status, headers, len(body), transfer)
        self._enqueue(transfer)

    def send_request_body(self, attempt: Attempt) -> None:
        """Send the body of an attempt that has been asked for, at once if it is small."""
        body = attempt.call.body
        if self._uplink.is_small(len(body)):
            attempt.write_body(body)
            attempt.end_body()
            return
        transfer = _Transfer(attempt, body)
        attempt.call.source = transfer
        self._enqueue(transfer)

    def _enqueue(self, transfer: _Transfer) -> None:
        self._uplink.reserve(len(transfer.body), self._loop.time())
        self._queue.append(transfer)
        if self._timer is None:
            self._send_chunk()

    def _send_chunk(self) -> None:
        """Write one chunk and schedule the next for when the link will have sent it."""
        self._timer = None
        now = self._loop.time()
        transfer = self._take_next()
        if transfer is None:
            return
        chunk = transfer.body[transfer.sent : transfer.sent + CHUNK_BYTES]
        if not transfer.paused:
            transfer.sent += len(chunk)
            transfer.destination.write_body(chunk)
        if transfer.sent == len(transfer.body):
            transfer.destination.end_body()
        elif transfer.paused:
            self._queue.append(transfer)
        else:
            self._queue.appendleft(transfer)
        # After a late timer the next chunk is sent earlier, but never in a burst.
        chunk_s = self._uplink.compute_sending_s(len(chunk))
        self._next_at = max(now, self._next_at + chunk_s)
        self._timer = self._loop.call_at(max(self._next_at, now + chunk_s / 2), self._send_chunk)

    def _take_next(self) -> _Transfer | None:
        while self._queue:
            transfer = self._queue.popleft()
            if transfer.destination.is_open:
                return transfer
            self._uplink.release(len(transfer.body) - transfer.sent)
        return None
