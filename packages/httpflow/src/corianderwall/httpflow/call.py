"""The server side of a call, as its handler receives it."""

from typing import TYPE_CHECKING, Protocol

from corianderwall.httpflow.flow import BodySink, BodySource, Headers
from corianderwall.httpflow.headers import (
    CHUNKED,
    CLOSE,
    LAST_CHUNK,
    NO_BODY_STATUSES,
    encode_chunk,
    encode_response_head,
)
from corianderwall.httpflow.request_parser import RequestHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderwall.httpflow.server_connection import ServerConnection


MAX_COPIED_BYTES = 64 * 1024
"""Size of a body up to which it is sent in one buffer with its head."""


class IncomingCall:
    """A request and the methods to respond to it; responses to a disconnected caller are dropped.

    `body_length` is 0 without a body and None for a chunked one. `received_at` is when its head was
    read, in monotonic seconds, which is earlier than when it is handled if it had to wait for calls
    before it. `on_disconnect` is called once if
    the caller disconnects before the response has ended.

    If the server's limits allow it, calls of one connection run at the same time, and their
    responses are sent in the order of the requests. A handler that must not run a call beside
    others calls `run_alone` before `handle` returns.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunked_response",
        "_chunks",
        "_connection",
        "_on_first",
        "_paused",
        "_remaining",
        "_sink",
        "blocks_following",
        "body_length",
        "body_received",
        "expects_continue",
        "headers",
        "host",
        "is_http11",
        "keep_alive",
        "method",
        "on_disconnect",
        "received_at",
        "responded",
        "response_source",
        "target",
    )

    def __init__(
        self, connection: "ServerConnection", head: RequestHead, received_at: float
    ) -> None:
        self.method = head.method
        self.target = head.target
        self.headers = head.headers
        self.host = head.host
        self.keep_alive = head.keep_alive
        self.is_http11 = head.is_http11
        self.body_length = head.body_length
        self.expects_continue = head.expects_continue
        self.received_at = received_at
        self.body_received = False
        self.responded = False
        self.response_source: BodySource | None = None
        self.on_disconnect: Callable[[], None] | None = None
        # The handler gets nothing behind a request that ends the connection.
        self.blocks_following = not head.keep_alive
        self._on_first: Callable[[], None] | None = None
        self._connection: ServerConnection | None = connection
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._sink: BodySink | None = None
        self._paused = False
        self._chunked_response = False
        self._remaining: int | None = None

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name` (lower case)."""
        for header in self.headers:
            if header[0] == name:
                return header[1]
        return None

    @property
    def is_open(self) -> bool:
        """Return whether the caller is connected and the response has not ended."""
        return self._connection is not None

    @property
    def connection(self) -> "ServerConnection | None":
        """Return the caller's connection, None after the end of the response or a disconnect."""
        return self._connection

    def run_alone(self, start: "Callable[[], None]") -> None:
        """Call `start` once all calls before this one have been answered.

        The handler gets no call behind this one before the response to it has ended.
        """
        self.blocks_following = True
        connection = self._connection
        if connection is None or connection.is_first(self):
            start()
        else:
            self._on_first = start

    def handle_first(self) -> None:
        """Run what waits until all calls before this one have been answered."""
        start, self._on_first = self._on_first, None
        if start is not None:
            start()

    def take_body(self) -> bytes | None:
        """Return the body if all of it has been received and it is not streamed, otherwise None."""
        if not self.body_received or self._sink is not None:
            return None
        chunks, self._chunks = self._chunks, []
        return b"".join(chunks) if chunks else b""

    def read_body(self, sink: BodySink) -> None:
        """Stream the body to `sink`, after sending `100 Continue` if the caller expects it."""
        self._sink = sink
        chunks, self._chunks = self._chunks, []
        self._buffered_bytes = 0
        connection = self._connection
        if connection is not None and self.expects_continue and not self.body_received:
            self.expects_continue = False
            connection.write_response(self, b"HTTP/1.1 100 Continue\r\n\r\n")
        for chunk in chunks:
            sink.write_body(chunk)
        if self.body_received:
            sink.end_body()
        elif connection is None:
            sink.abort_body()
        else:
            connection.update_reading()

    def pause_body(self) -> None:
        """Stop reading the request's body from the caller."""
        self._paused = True
        if self._connection is not None:
            self._connection.update_reading()

    def resume_body(self) -> None:
        """Resume reading the request's body from the caller."""
        self._paused = False
        if self._connection is not None:
            self._connection.update_reading()

    def respond(
        self, status: int, headers: Headers, body: bytes = b"", account: object = None
    ) -> None:
        """Send a complete response in one write; `account` is held until it has been sent."""
        connection = self._begin_response()
        if connection is None:
            return
        has_body = status not in NO_BODY_STATUSES
        framing = b"content-length: %d\r\n" % len(body) if has_body else b""
        keep_alive = self._keeps_alive(connection)
        head = encode_response_head(status, headers, framing if keep_alive else framing + CLOSE)
        if not has_body or self.method == b"HEAD":
            buffers: tuple[bytes, ...] = (head,)
        elif len(body) > MAX_COPIED_BYTES:
            buffers = (head, body)
        else:
            buffers = (head + body,)
        if not keep_alive:
            connection.close_after(self)
        connection.write_response(self, *buffers)
        if account is not None:
            connection.hold(account)
        self._end_call(connection, keep_alive)

    def start_response(
        self,
        status: int,
        headers: Headers,
        length: int | None,
        source: BodySource | None = None,
    ) -> None:
        """Start a response of `length` bytes (None: unknown); `source` is paused if need be."""
        connection = self._begin_response()
        if connection is None:
            return
        framing = b""
        if status in NO_BODY_STATUSES:
            pass
        elif length is not None:
            framing = b"content-length: %d\r\n" % length
            self._remaining = length
        elif self.is_http11:
            framing = CHUNKED
            self._chunked_response = self.method != b"HEAD"
        else:
            self.keep_alive = False
        if not self._keeps_alive(connection):
            self.keep_alive = False
            framing += CLOSE
        head = encode_response_head(status, headers, framing)
        if not self.keep_alive:
            connection.close_after(self)
        self.response_source = source
        connection.write_response(self, head)
        connection.update_source(self)

    def write_body(self, data: bytes) -> None:
        """Write the next bytes of the streamed response."""
        connection = self._connection
        if connection is None or not data or self.method == b"HEAD":
            return
        if self._chunked_response:
            connection.write_response(self, *encode_chunk(data))
            return
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                self.abort_response()
                return
        connection.write_response(self, data)

    def end_response(self) -> None:
        """End the streamed response, or abort it if it is shorter than its announced length."""
        connection = self._connection
        if connection is None:
            return
        if self._remaining and self.method != b"HEAD":
            self.abort_response()
            return
        if self._chunked_response:
            connection.write_response(self, LAST_CHUNK)
        self._end_call(connection, self.keep_alive)

    def abort_response(self) -> None:
        """Reset the connection, so that a truncated response never looks complete.

        If nothing of the response has been written yet, it is replaced by one with status 502.
        """
        connection = self._connection
        if connection is not None:
            keep_alive = self._keeps_alive(connection)
            self._release()
            connection.abort_call(self, keep_alive)

    def receive_body(self, data: bytes) -> None:
        """Receive bytes of the request's body, and buffer them until a sink is set."""
        if self._sink is not None:
            self._sink.write_body(data)
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)

    def receive_end(self) -> None:
        """Receive the end of the request's body."""
        self.body_received = True
        if self._sink is not None:
            self._sink.end_body()

    def blocks_reading(self, buffer_bytes: int) -> bool:
        """Return whether reading must stop because the sink is paused or the buffer is full."""
        return self._paused or (self._sink is None and self._buffered_bytes > buffer_bytes)

    def handle_disconnect(self) -> None:
        """Abort the body's sink and run `on_disconnect`, as the caller has disconnected."""
        sink = self._sink if not self.body_received else None
        callback = self.on_disconnect
        self._release()
        if sink is not None:
            sink.abort_body()
        if callback is not None:
            callback()

    def _begin_response(self) -> "ServerConnection | None":
        if self.responded:
            raise RuntimeError("a response to this call has already been started")
        self.responded = True
        return self._connection

    def _release(self) -> None:
        self._connection = None
        self._sink = None
        self.response_source = None
        self.on_disconnect = None
        self._on_first = None

    def _keeps_alive(self, connection: "ServerConnection") -> bool:
        return self.keep_alive and self.body_received and not connection.must_close_after(self)

    def _end_call(self, connection: "ServerConnection", keep_alive: bool) -> None:
        self._release()
        connection.end_call(self, keep_alive and self.body_received)


class CallHandler(Protocol):
    """Responds to calls; `handle` must not block and may respond at once or later."""

    def handle(self, call: IncomingCall) -> None:
        """Start handling `call`."""
