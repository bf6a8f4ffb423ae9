"""One caller's connection: reads requests, hands them on in order, writes the answers."""

import asyncio
import math
from collections import deque
from collections.abc import Iterable
from typing import cast

from absl import logging

from corianderwall.httpflow.call import CallHandler, IncomingCall
from corianderwall.httpflow.headers import CLOSE, NOT_RUN_HEADER, encode_answer_head
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.request_parser import RequestHead, RequestParser, RequestRefusedError


class ServerState:
    """What the connections of one server share."""

    def __init__(self, handler: CallHandler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.running_calls = 0
        self.ended_calls = 0
        self.connections: set[ServerConnection] = set()

    def note_change(self) -> None:
        """Take note that a call or a connection has ended."""


class ServerConnection(asyncio.Protocol):
    """The state of one connection; `deadline` is when it is closed without progress."""

    def __init__(self, state: ServerState, loop: asyncio.AbstractEventLoop) -> None:
        self.deadline = math.inf
        self.write_paused = False
        self.quiet_since = loop.time()
        self._state = state
        self._loop = loop
        self._limits = state.limits
        self._parser = RequestParser(self, state.limits)
        self._active: IncomingCall | None = None
        self._waiting: deque[IncomingCall] = deque()
        self._incoming: IncomingCall | None = None
        self._refusal = 0
        self._deaf = False
        self._dispatching = False
        self._reading = True

    @property
    def draining(self) -> bool:
        """Return whether answers have to tell the caller to leave."""
        return self._state.draining

    @property
    def is_quiet(self) -> bool:
        """Return whether no request is running, waiting or partly read."""
        return self._active is None and not self._waiting and not self._parser.in_message

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(self._limits.write_buffer_bytes)
        self._state.connections.add(self)
        if len(self._state.connections) > self._limits.max_connections:
            self._refuse_connection()
            return
        self.deadline = self._loop.time() + self._limits.idle_timeout_s

    def data_received(self, data: bytes) -> None:
        """Parse what has come and hand on the calls that it completes."""
        if self._deaf:
            return
        try:
            self._parser.feed(data)
        except RequestRefusedError as refused:
            self._refuse(refused.status)
        self._dispatch()

    def eof_received(self) -> bool | None:
        """Treat a closed sending side as a caller that left."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running call that its caller has left."""
        self._deaf = True
        self.deadline = math.inf
        self._state.connections.discard(self)
        lost = [*([self._active] if self._active else []), *self._waiting]
        self._active = None
        self._waiting.clear()
        self._state.running_calls -= len(lost)
        for call in lost:
            call.lose_caller()
        self._state.note_change()

    def pause_writing(self) -> None:
        """Keep the source of the answer from going on."""
        self.write_paused = True
        self.deadline = self._loop.time() + self._limits.write_timeout_s
        if self._active is not None and self._active.answer_source is not None:
            self._active.answer_source.pause_body()

    def resume_writing(self) -> None:
        """Let the source of the answer go on."""
        self.write_paused = False
        self._set_deadline()
        if self._active is not None and self._active.answer_source is not None:
            self._active.answer_source.resume_body()

    # Events of the parser.

    def take_head(self, head: RequestHead) -> None:
        """Queue a call."""
        call = IncomingCall(self, head)
        self._incoming = call
        self._waiting.append(call)
        self._state.running_calls += 1

    def take_body(self, data: bytes) -> None:
        """Pass on bytes of the newest call's body."""
        if self._incoming is not None:
            self._incoming.receive_chunk(data)

    def take_end(self) -> None:
        """Pass on the end of the newest call's body."""
        call, self._incoming = self._incoming, None
        if call is not None:
            call.receive_end()

    # What calls and the server ask for.

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        self._transport.write(data)

    def write_all(self, buffers: Iterable[bytes]) -> None:
        """Write several buffers to the caller."""
        self._transport.writelines(buffers)

    def update_reading(self) -> None:
        """Read from the caller, or not, as the queue of calls and the body allow."""
        incoming = self._incoming
        wanted = not self._waiting and (
            incoming is None or not incoming.holds_back(self._limits.body_buffer_bytes)
        )
        if wanted == self._reading or self._transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
        self._set_deadline()

    def end_call(self, call: IncomingCall, keep: bool) -> None:
        """Go on to the next call after `call` was answered, or close."""
        self._active = None
        self._state.running_calls -= 1
        self._state.ended_calls += 1
        if keep:
            self._dispatch()
        else:
            self._drop_waiting()
            self._close(linger=self._incoming is not None or not call.body_done)
        if self._state.draining:
            self._state.note_change()

    def abort_call(self, call: IncomingCall) -> None:
        """Reset the connection in the middle of the answer to `call`."""
        self._active = None
        self._state.running_calls -= 1
        self._drop_waiting()
        self._deaf = True
        self._transport.abort()

    def expire(self) -> None:
        """Close after the deadline has passed."""
        if self._active is not None or self._waiting or self._deaf:
            self._transport.abort()
        elif self._parser.in_message:
            self._refuse(408)
        else:
            self._close(linger=False)

    def close_if_quiet(self, since: float) -> None:
        """Close unless a request is under way or may be: none has been since `since`."""
        if self.is_quiet and self.quiet_since <= since and not self._deaf:
            self.close()

    def close(self) -> None:
        """Close after what has been written, whatever is under way."""
        self._close(linger=False)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def _dispatch(self) -> None:
        if self._dispatching:
            return
        self._dispatching = True
        while self._active is None and self._waiting:
            call = self._waiting.popleft()
            self._active = call
            self._handle(call)
        self._dispatching = False
        if self._refusal and self._active is None:
            self._write_refusal()
        elif not self._deaf:
            self.update_reading()
            self._set_deadline()

    def _handle(self, call: IncomingCall) -> None:
        try:
            self._state.handler.handle(call)
        except Exception:
            logging.exception("the handler of a call failed")
            if call.answered:
                call.abort_answer()
            else:
                call.respond(500, [])

    def _refuse(self, status: int) -> None:
        self._deaf = True
        failing, self._incoming = self._incoming, None
        if failing is not None and failing is self._active:
            self._active = None
            self._state.running_calls -= 1
            failing.lose_caller()
            if failing.answered:
                self._transport.abort()
                return
        elif failing is not None:
            self._waiting.remove(failing)
            self._state.running_calls -= 1
        self._refusal = status
        self.deadline = math.inf
        if self._active is None and not self._waiting:
            self._write_refusal()

    def _refuse_connection(self) -> None:
        # A reset would leave it open whether the request that is coming has run.
        self._deaf = True
        framing = b"content-length: 0\r\n" + CLOSE
        self.write(encode_answer_head(503, [NOT_RUN_HEADER], framing))
        self._close(linger=True)

    def _write_refusal(self) -> None:
        status, self._refusal = self._refusal, 0
        self.write(encode_answer_head(status, [], b"content-length: 0\r\n" + CLOSE))
        self._close(linger=True)

    def _drop_waiting(self) -> None:
        self._refusal = 0
        self._state.running_calls -= len(self._waiting)
        self._waiting.clear()

    def _close(self, *, linger: bool) -> None:
        self._deaf = True
        unsent = self._transport.get_write_buffer_size() > 0
        limits = self._limits
        timeout_s = limits.write_timeout_s if unsent else limits.linger_timeout_s
        self.deadline = self._loop.time() + timeout_s
        if not linger or not self._transport.can_write_eof():
            self._transport.close()
            return
        # Unread bytes would reset the connection and take the answer with them.
        self._transport.write_eof()
        if not self._reading:
            self._reading = True
            self._transport.resume_reading()

    def _set_deadline(self) -> None:
        if self._deaf:
            return
        limits = self._limits
        if self.write_paused:
            return
        if self._incoming is not None and self._reading:
            self.deadline = self._loop.time() + limits.body_timeout_s
        elif self._active is not None:
            self.deadline = math.inf
        elif self._parser.in_message:
            self.deadline = min(self.deadline, self._loop.time() + limits.head_timeout_s)
        else:
            self.quiet_since = self._loop.time()
            self.deadline = self.quiet_since + limits.idle_timeout_s
