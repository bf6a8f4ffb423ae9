"""Writes answers to callers and entries, big ones one after another at the pace of the link."""

import asyncio
from collections import deque
from dataclasses import dataclass

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.uplink import Uplink

PIECE_BYTES = 8192
"""Bytes of a big answer written at once; 12 ms on the thinnest link that the users run."""


@dataclass(slots=True)
class _Sending:
    """A big answer on its way; `sent` bytes of `body` have been written."""

    call: IncomingCall
    body: bytes
    sent: int = 0
    paused: bool = False

    def pause_body(self) -> None:
        """Take note that the receiver does not keep up."""
        self.paused = True

    def resume_body(self) -> None:
        """Take note that the receiver has caught up."""
        self.paused = False


class AnswerSender:
    """Owns the big answers that this host has to send.

    An answer whose receiver is slow gives its turn to the next one, so no receiver holds up others.
    """

    def __init__(self, uplink: Uplink) -> None:
        self._uplink = uplink
        self._loop = asyncio.get_running_loop()
        self._queue: deque[_Sending] = deque()
        self._next_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def send(self, call: IncomingCall, status: int, headers: Headers, body: bytes) -> None:
        """Answer `call`, at once if the answer is short."""
        if self._uplink.is_short(len(body)) or call.method == b"HEAD":
            call.respond(status, headers, body)
            return
        sending = _Sending(call, body)
        call.start_answer(status, headers, len(body), sending)
        self._uplink.book(len(body), self._loop.time())
        self._queue.append(sending)
        if self._timer is None:
            self._turn()

    def _turn(self) -> None:
        """Write one piece and wait for as long as the link takes to send it."""
        self._timer = None
        now = self._loop.time()
        sending = self._take_next()
        if sending is None:
            return
        piece = sending.body[sending.sent : sending.sent + PIECE_BYTES]
        if not sending.paused:
            sending.sent += len(piece)
            sending.call.write_body(piece)
        if sending.sent == len(sending.body):
            sending.call.end_answer()
        elif sending.paused:
            self._queue.append(sending)
        else:
            self._queue.appendleft(sending)
        # A late timer is made up for by the next piece, but never by a burst.
        piece_s = self._uplink.compute_sending(len(piece))
        self._next_at = max(now, self._next_at + piece_s)
        self._timer = self._loop.call_at(max(self._next_at, now + piece_s / 2), self._turn)

    def _take_next(self) -> _Sending | None:
        while self._queue:
            sending = self._queue.popleft()
            if sending.call.is_open:
                return sending
            self._uplink.cancel(len(sending.body) - sending.sent)
        return None
