"""One connection to an upstream, which carries at most one request at a time."""

import asyncio
import socket
from typing import TYPE_CHECKING, Protocol, cast

from corianderwall.httpflow.attempt import Attempt, ResponseHead
from corianderwall.httpflow.headers import (
    CHUNKED,
    EXPECT_CONTINUE,
    LAST_CHUNK,
    NOT_RUN_HEADER,
    encode_chunk,
    encode_request_head,
)
from corianderwall.httpflow.response_parser import InvalidResponseError, ResponseParser
from corianderwall.httpflow.resting import DROP_WITHIN_S, MIN_REST_S, ConnectionHistory
from corianderwall.model.errors import ErrorCode

if TYPE_CHECKING:
    from corianderwall.httpflow.limits import ClientLimits

REFUSAL_STATUS = 503


class ConnectionOwner(Protocol):
    """The events that a connection reports to its pool."""

    def handle_opened(self, connection: "ClientConnection") -> None:
        """Handle a connection that has opened and is idle."""

    def handle_idle(self, connection: "ClientConnection") -> None:
        """Handle a connection whose call has ended and which may carry another one."""

    def handle_closed(self, connection: "ClientConnection") -> None:
        """Handle a connection that is closed."""


class ClientConnection(asyncio.Protocol):
    """One connection; `last_received` is when the last byte was received.

    Its rests and their ends are recorded in `history` if that is given.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        limits: "ClientLimits",
        loop: asyncio.AbstractEventLoop,
        history: ConnectionHistory | None = None,
    ) -> None:
        self.owner = owner
        self.attempt: Attempt | None = None
        self.opened_at = 0.0
        self.last_received = 0.0
        self.idle_since = 0.0
        self.closed = False
        self.fileno = -1
        self.write_paused = False
        self._limits = limits
        self._loop = loop
        self._history = history
        self._parser = ResponseParser(self, limits)
        self._body_sent = True
        self._chunked_request = False

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect a dead path, and report the connection as open."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(self._limits.write_buffer_bytes)
        sock: socket.socket = transport.get_extra_info("socket")
        self.fileno = sock.fileno()
        self._set_options(sock)
        now = self._loop.time()
        self.opened_at = self.last_received = self.idle_since = now
        self.owner.handle_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; unexpected data resets the connection."""
        self.last_received = self._loop.time()
        if self.attempt is None:
            self.abort()
            return
        try:
            self._parser.feed(data)
        except InvalidResponseError:
            self._handle_invalid_response()
            return
        if self._parser.responded:
            self._end_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the running call, as complete only if the close marks the end of the response."""
        self.closed = True
        attempt, self.attempt = self.attempt, None
        self.owner.handle_closed(self)
        if attempt is None:
            return
        self._check_dropped(attempt)
        whole = exc is None and (self._parser.until_close or self._parser.responded)
        attempt.finish(None if whole else ErrorCode.UPSTREAM_LOST)

    def pause_writing(self) -> None:
        """Pause the source of the request's body."""
        self.write_paused = True
        if self.attempt is not None and self.attempt.call.source is not None:
            self.attempt.call.source.pause_body()

    def resume_writing(self) -> None:
        """Resume the source of the request's body."""
        self.write_paused = False
        if self.attempt is not None and self.attempt.call.source is not None:
            self.attempt.call.source.resume_body()

    # Events of the parser.

    def receive_head(self, head: ResponseHead) -> None:
        """Forward the head of a final response to the receiver, unless it is a refusal."""
        attempt = self.attempt
        if attempt is None:
            return
        attempt.head = head
        if self._history is not None:
            self._history.record_response(attempt.rest_s, attempt.started)
        attempt.refused = head.status == REFUSAL_STATUS and NOT_RUN_HEADER in head.headers
        if not attempt.refused:
            attempt.receiver.receive_head(head)

    def receive_body(self, data: bytes) -> None:
        """Forward bytes of the response's body to the receiver."""
        attempt = self.attempt
        if attempt is not None and not attempt.refused:
            attempt.receiver.receive_body(data)

    def receive_continue(self) -> None:
        """Send the body that the upstream has asked for."""
        attempt = self.attempt
        if attempt is None or attempt.send_started:
            return
        attempt.send_started = True
        call = attempt.call
        if call.send_body is not None:
            call.send_body(attempt)
        else:
            attempt.write_body(call.body)
            attempt.end_body()

    # Methods for attempts and the pool.

    @property
    def is_ending(self) -> bool:
        """Return whether the connection has ended, though `connection_lost` may be still to come.

        A write would then raise an error or be lost without one.
        """
        return self._transport.is_closing()

    def start(self, attempt: Attempt) -> None:
        """Send the head, with the body unless it is streamed or has to be asked for."""
        call = attempt.call
        self.attempt = attempt
        self._parser.expect(head_only=call.method == b"HEAD")
        self._chunked_request = call.streamed and call.body_length is None
        self._body_sent = not call.streamed and not call.expects_continue
        attempt.started = self._loop.time()
        attempt.rest_s = attempt.started - self.idle_since
        if self.is_ending:
            return
        framing = self._make_framing(attempt)
        head = encode_request_head(call.method, call.target, call.headers, framing)
        attempt.send_started = not call.expects_continue
        self._transport.write(head if call.expects_continue else head + call.body)
        if attempt.is_paused:
            self._transport.pause_reading()

    def write_body(self, data: bytes) -> None:
        """Send bytes of a streamed request body."""
        if self.is_ending:
            return
        if self._chunked_request:
            self._transport.writelines(encode_chunk(data))
        else:
            self._transport.write(data)

    def end_body(self) -> None:
        """End a streamed request body."""
        self._body_sent = True
        if self._chunked_request and not self.is_ending:
            self._transport.write(LAST_CHUNK)

    def pause_reading(self) -> None:
        """Stop reading the response."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def abort_attempt(self, attempt: Attempt) -> None:
        """Reset the connection, so that a late response to `attempt` can't reach another call."""
        if self.attempt is attempt:
            self.attempt = None
            self.abort()

    def abort(self) -> None:
        """Reset the connection and remove it from the pool at once."""
        if self.closed:
            return
        self.closed = True
        self.owner.handle_closed(self)
        self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self.closed = True
        self.owner.handle_closed(self)
        self._transport.close()

    def _check_dropped(self, attempt: Attempt) -> None:
        """Record that the upstream had forgotten the connection, if it looks like that."""
        now = self._loop.time()
        attempt.dropped = (
            attempt.rest_s >= MIN_REST_S
            and self.last_received < attempt.started
            and now - attempt.started <= DROP_WITHIN_S
        )
        if attempt.dropped and self._history is not None:
            self._history.record_drop(attempt.rest_s, now)

    def _make_framing(self, attempt: Attempt) -> bytes:
        call = attempt.call
        if call.expects_continue:
            return EXPECT_CONTINUE + b"content-length: %d\r\n" % len(call.body)
        if self._chunked_request:
            return CHUNKED
        if call.streamed:
            return b"content-length: %d\r\n" % (call.body_length or 0)
        if call.body or call.method in (b"POST", b"PUT", b"PATCH"):
            return b"content-length: %d\r\n" % len(call.body)
        return b""

    def _end_response(self) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        # The rest of a body that the upstream has not read would delay the next request.
        all_sent = self._body_sent and not self._transport.get_write_buffer_size()
        # A second copy of a refusal would be taken for that of the next request, which may run.
        if self._parser.reusable and all_sent and not attempt.refused:
            if attempt.is_paused:
                self.resume_reading()
            self.idle_since = self._loop.time()
            self.owner.handle_idle(self)
        elif self._body_sent:
            self.close()
        else:
            self.abort()
        attempt.finish()

    def _handle_invalid_response(self) -> None:
        attempt, self.attempt = self.attempt, None
        whole = self._parser.responded
        self.abort()
        if attempt is not None:
            attempt.finish(None if whole else ErrorCode.UPSTREAM_LOST)

    def _set_options(self, sock: socket.socket) -> None:
        if sock.family != socket.AF_INET:
            return
        limits = self._limits
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.keepalive_idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.keepalive_interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.keepalive_probes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.user_timeout_ms)
