"""Sends responses to entries on other nodes, big ones one after another at the link's rate."""

import asyncio
from collections import deque
from dataclasses import dataclass

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.uplink import Uplink

CHUNK_BYTES = 8192
"""Bytes of a big response written at once; 12 ms on the slowest link that the users run."""


@dataclass(slots=True)
class _Transfer:
    """A big response that is being sent; `sent` bytes of `body` have been written."""

    call: IncomingCall
    body: bytes
    sent: int = 0
    paused: bool = False

    def pause_body(self) -> None:
        """Pause, as the receiver does not keep up."""
        self.paused = True

    def resume_body(self) -> None:
        """Resume, as the receiver has caught up."""
        self.paused = False


class ResponseSender:
    """Queues the big responses of this host and sends them at the rate of the link.

    A response with a slow receiver goes to the end of the queue, so it does not block others.
    """

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._loop = asyncio.get_running_loop()
        self._queue: deque[_Transfer] = deque()
        self._next_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def send(self, call: IncomingCall, status: int, headers: Headers, body: bytes) -> None:
        """Respond to `call`, at once if the response is small."""
        if self._uplink.is_small(len(body)) or call.method == b"HEAD":
            call.respond(status, headers, body)
            return
        transfer = _Transfer(call, body)
        call.start_response(status, headers, len(body), transfer)
        self._uplink.reserve(len(body), self._loop.time())
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
            transfer.call.write_body(chunk)
        if transfer.sent == len(transfer.body):
            transfer.call.end_response()
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
            if transfer.call.is_open:
                return transfer
            self._uplink.release(len(transfer.body) - transfer.sent)
        return None
