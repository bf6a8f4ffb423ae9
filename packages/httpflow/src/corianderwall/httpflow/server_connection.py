"""One caller's connection: reads requests, runs them, writes the responses in order."""

import asyncio
import math
import select
from collections import deque
from collections.abc import Iterable
from typing import cast

from absl import logging

from corianderwall.httpflow.call import CallHandler, IncomingCall
from corianderwall.httpflow.headers import CLOSE, NOT_RUN_HEADER, encode_response_head
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.pipeline import BufferCounter, Pipeline
from corianderwall.httpflow.request_parser import RequestHead, RequestParser, RequestRefusedError

EMPTY_BODY = b"content-length: 0\r\n"
BAD_GATEWAY = 502
"""Status instead of a response that was aborted before any of it was written."""


class ServerState:
    """The state that the connections of one server share."""

    def __init__(self, handler: CallHandler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.running_calls = 0
        self.ended_calls = 0
        self.connections: set[ServerConnection] = set()
        self.pipelining = BufferCounter()

    def advance_drain(self) -> None:
        """Handle the end of a call or a connection; does nothing by default."""


class ServerConnection(asyncio.Protocol):
    """One connection; it is closed if it makes no progress until `deadline`."""

    def __init__(self, state: ServerState, loop: asyncio.AbstractEventLoop) -> None:
        self.deadline = math.inf
        self.write_paused = False
        self.idle_since = loop.time()
        self._state = state
        self._loop = loop
        self._limits = state.limits
        self._parser = RequestParser(self, state.limits)
        self._running = Pipeline(self, state.limits, state.pipelining)
        self._waiting: deque[IncomingCall] = deque()
        self._incoming: IncomingCall | None = None
        self._refusal_status = 0
        self._discards_input = False
        self._dispatching = False
        self._reading = True
        self._accounts: list[object] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no request is running, waiting or partly read."""
        return self.is_answered and not self._parser.in_message

    @property
    def is_answered(self) -> bool:
        """Return whether the responses to all requests that were read whole have been written."""
        return not self._running and not self._waiting

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if there are too many."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(self._limits.write_buffer_bytes)
        self._state.connections.add(self)
        if len(self._state.connections) > self._limits.max_connections:
            self._refuse_connection()
            return
        self.deadline = self._loop.time() + self._limits.idle_timeout_s

    def data_received(self, data: bytes) -> None:
        """Parse `data` and run the calls that are ready."""
        if self._discards_input:
            return
        try:
            self._parser.feed(data)
        except RequestRefusedError as refused:
            self._refuse_request(refused.status)
        self._dispatch()

    def eof_received(self) -> bool | None:
        """Treat a caller that closed its sending side as disconnected."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the disconnect to the running and waiting calls."""
        self._discards_input = True
        self.deadline = math.inf
        self._accounts.clear()
        self._state.connections.discard(self)
        lost = [*self._running.clear(), *self._waiting]
        self._waiting.clear()
        self._state.running_calls -= len(lost)
        for call in lost:
            call.handle_disconnect()
        self._state.advance_drain()

    def pause_writing(self) -> None:
        """Pause the source of the response."""
        self.write_paused = True
        self.deadline = self._loop.time() + self._limits.write_timeout_s
        if self._running.first is not None:
            self.update_source(self._running.first)

    def resume_writing(self) -> None:
        """Resume the source of the response, and run the calls that waited for the caller."""
        self.write_paused = False
        self._release_accounts()
        self._set_deadline()
        if self._running.first is not None:
            self.update_source(self._running.first)
        self._dispatch()

    # Events of the parser.

    def receive_head(self, head: RequestHead) -> None:
        """Queue a call."""
        call = IncomingCall(self, head, self._loop.time())
        self._incoming = call
        self._waiting.append(call)
        self._state.running_calls += 1

    def receive_body(self, data: bytes) -> None:
        """Pass bytes of the body to the newest call."""
        if self._incoming is not None:
            self._incoming.receive_body(data)

    def receive_end(self) -> None:
        """Pass the end of the body to the newest call."""
        call, self._incoming = self._incoming, None
        if call is not None:
            call.receive_end()

    # Methods for calls and the server.

    def write(self, data: bytes) -> None:
        """Write to the caller, unless its end is about to be reported."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def write_all(self, buffers: Iterable[bytes]) -> None:
        """Write several buffers to the caller, unless its end is about to be reported."""
        if not self._transport.is_closing():
            self._transport.writelines(buffers)

    def write_response(self, call: IncomingCall, *buffers: bytes) -> None:
        """Write a part of the response to `call` after the responses to all calls before it."""
        self._running.write(call, buffers)

    def hold(self, account: object) -> None:
        """Hold `account` until what has been written leaves the buffers of this process.

        A rest below the limits of the write buffer does not count.
        """
        if self.write_paused or self._running.has_buffered:
            self._accounts.append(account)

    def update_source(self, call: IncomingCall) -> None:
        """Pause or resume the source of the response to `call`."""
        self._running.update_source(call, write_paused=self.write_paused)

    def is_first(self, call: IncomingCall) -> bool:
        """Return whether all calls before `call` have been answered."""
        return self._running.first is call

    def must_close_after(self, call: IncomingCall) -> bool:
        """Return whether the response to `call` must close the connection, as the server drains.

        A request that has been read behind `call` gets its own response first.
        """
        return self._state.draining and self._running.is_last(call) and not self._waiting

    def close_after(self, call: IncomingCall) -> None:
        """Run no calls behind `call`, as the response to it closes the connection."""
        self._running.close_after(call)

    def update_reading(self) -> None:
        """Pause reading while a call waits or the body's buffer is full, otherwise resume it."""
        incoming = self._incoming
        should_read = not self._waiting and (
            incoming is None or not incoming.blocks_reading(self._limits.body_buffer_bytes)
        )
        if should_read == self._reading or self._transport.is_closing():
            return
        self._reading = should_read
        if should_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
        self._set_deadline()

    def end_call(self, call: IncomingCall, keep_alive: bool) -> None:
        """Run the next calls after the response to `call` has ended, or close."""
        if not keep_alive:
            self._running.close_after(call)
        self._advance()
        self._dispatch()
        if self._state.draining:
            self._state.advance_drain()

    def abort_call(self, call: IncomingCall, keep_alive: bool) -> None:
        """Reset the connection in the middle of the response to `call`.

        If the response still waits for others, it is replaced.
        """
        if not self.is_first(call):
            self._replace_response(call, keep_alive)
            return
        self._discards_input = True
        self._drop_calls()
        self._transport.abort()

    def expire(self) -> None:
        """Close after the deadline has passed."""
        if self._running or self._waiting or self._discards_input:
            self._transport.abort()
        elif self._parser.in_message:
            self._refuse_request(408)
        elif not self._has_unread_input():
            self._close(linger=False)

    def close_if_idle(self, since: float) -> None:
        """Close unless a request is running or unread, or the connection was used after `since`."""
        if not self.is_idle or self.idle_since > since or self._discards_input:
            return
        if not self._has_unread_input():
            self.close()

    def close(self) -> None:
        """Close once the written data has been sent, even if a request is running."""
        self._close(linger=False)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def _has_unread_input(self) -> bool:
        """Return whether the kernel holds bytes that the event loop has not read yet.

        Closing the connection then would reset it, and the caller could not know whether its
        request has run.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return False
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def _dispatch(self) -> None:
        if self._dispatching:
            return
        self._dispatching = True
        while self._waiting and self._admits(self._waiting[0]):
            call = self._waiting.popleft()
            self._running.append(call)
            self._handle(call)
        self._dispatching = False
        if self._refusal_status and self.is_answered:
            self._write_refusal()
        elif not self._discards_input:
            self.update_reading()
            self._set_deadline()

    def _admits(self, call: IncomingCall) -> bool:
        """Return whether the handler may get `call` now, as the caller reads its responses."""
        return not self.write_paused and self._running.admits(call, draining=self._state.draining)

    def _advance(self) -> None:
        """Remove the first calls whose responses have ended, and write the response behind them."""
        while (first := self._running.first) is not None and not first.is_open:
            if self._running.closes_after(first):
                self._end_connection(first)
                return
            self._count_ended()
            self._running.remove_first()
            following = self._running.first
            if following is not None:
                self.update_source(following)
                following.handle_first()
        self._release_accounts()

    def _end_connection(self, call: IncomingCall) -> None:
        """Close after the response to `call`; the calls behind it get none."""
        self._count_ended()
        self._running.remove(call)
        self._drop_calls()
        self._close(linger=self._incoming is not None or not call.body_received)

    def _release_accounts(self) -> None:
        if self._accounts and not self.write_paused and not self._running.has_buffered:
            self._accounts.clear()

    def _count_ended(self) -> None:
        self._state.running_calls -= 1
        self._state.ended_calls += 1

    def _replace_response(self, call: IncomingCall, keep_alive: bool) -> None:
        keep_alive = keep_alive and not self._running.closes_after(call)
        framing = EMPTY_BODY if keep_alive else EMPTY_BODY + CLOSE
        self._running.discard_output(call)
        self.write_response(call, encode_response_head(BAD_GATEWAY, [], framing))
        self.end_call(call, keep_alive)

    def _handle(self, call: IncomingCall) -> None:
        try:
            self._state.handler.handle(call)
        except Exception:
            logging.exception("unhandled error in the handler of a call")
            if call.responded:
                call.abort_response()
            else:
                call.respond(500, [])

    def _refuse_request(self, status: int) -> None:
        self._discards_input = True
        incomplete, self._incoming = self._incoming, None
        if incomplete is not None and incomplete in self._waiting:
            self._waiting.remove(incomplete)
            self._state.running_calls -= 1
        elif incomplete is not None and not self._stop_incomplete(incomplete):
            return
        self._refusal_status = status
        self._set_deadline()
        if self.is_answered:
            self._write_refusal()

    def _stop_incomplete(self, call: IncomingCall) -> bool:
        """Stop a call whose body is refused; return whether the refusal may be its response."""
        if not call.is_open:
            # Its response, which closes the connection, waits for those before it.
            return False
        is_first = self.is_first(call)
        self._running.remove(call)
        self._state.running_calls -= 1
        call.handle_disconnect()
        if is_first and call.responded:
            self._transport.abort()
            return False
        return True

    def _refuse_connection(self) -> None:
        # After a reset the caller could not know whether its request has run.
        self._discards_input = True
        self.write(encode_response_head(503, [NOT_RUN_HEADER], EMPTY_BODY + CLOSE))
        self._close(linger=True)

    def _write_refusal(self) -> None:
        status, self._refusal_status = self._refusal_status, 0
        self.write(encode_response_head(status, [], EMPTY_BODY + CLOSE))
        self._close(linger=True)

    def _drop_calls(self) -> None:
        """Cancel the running calls, and drop those that the handler has not got."""
        self._refusal_status = 0
        running = self._running.clear()
        self._state.running_calls -= len(running) + len(self._waiting)
        self._waiting.clear()
        for call in running:
            call.handle_disconnect()

    def _close(self, *, linger: bool) -> None:
        self._discards_input = True
        unsent = self._transport.get_write_buffer_size() > 0
        limits = self._limits
        timeout_s = limits.write_timeout_s if unsent else limits.linger_timeout_s
        self.deadline = self._loop.time() + timeout_s
        is_ending = self._transport.is_closing()
        if is_ending or not linger or not self._transport.can_write_eof():
            self._transport.close()
            return
        # Closing with unread bytes would reset the connection before the response is received.
        self._transport.write_eof()
        if not self._reading:
            self._reading = True
            self._transport.resume_reading()

    def _set_deadline(self) -> None:
        if self.write_paused:
            return
        if self._discards_input:
            if self._refusal_status:
                # The refusal waits for the calls that run.
                self.deadline = math.inf
            return
        limits = self._limits
        first = self._running.first
        if self._incoming is not None and self._reading and first in (None, self._incoming):
            self.deadline = self._loop.time() + limits.body_timeout_s
        elif first is not None:
            self.deadline = math.inf
        elif self._parser.in_message:
            self.deadline = min(self.deadline, self._loop.time() + limits.head_timeout_s)
        else:
            self.idle_since = self._loop.time()
            self.deadline = self.idle_since + limits.idle_timeout_s
