"""Parses the responses on one connection to an upstream."""

from typing import TYPE_CHECKING, Protocol

import httptools

from corianderwall.httpflow.attempt import ResponseHead
from corianderwall.httpflow.headers import (
    HOP_BY_HOP,
    NO_BODY_STATUSES,
    make_header_callback,
    strip_connection_headers,
)

if TYPE_CHECKING:
    from corianderwall.httpflow.flow import Headers
    from corianderwall.httpflow.limits import ClientLimits


MAX_STATUS = 599
"""The greatest status that the protocol defines; the parser of bytes takes any three digits."""
MIN_BODY_PER_FRAMING = 8
"""Bytes of a body for each byte of its framing beyond the limit; chunks of 40 bytes have that."""
CONTINUE = 100
"""The status with which an upstream asks for the body of a request."""


class InvalidResponseError(Exception):
    """The response violates the protocol or exceeds a limit."""


class ResponseEvents(Protocol):
    """The events that the parser reports to its connection."""

    def receive_continue(self) -> None:
        """Receive the request of the upstream for the body of the call."""

    def receive_head(self, head: ResponseHead) -> None:
        """Receive the head of the final response."""

    def receive_body(self, data: bytes) -> None:
        """Receive bytes of the response's body."""


class ResponseParser:
    """Parses one response after each `expect`; extra bytes make the connection unusable.

    `responded` is set once the response is complete, `until_close` if its body ends when the
    connection is closed, `reusable` as long as the connection may carry another request.
    """

    def __init__(self, events: ResponseEvents, limits: "ClientLimits") -> None:
        self.responded = False
        self.until_close = False
        self.reusable = True
        self._events = events
        self._limits = limits
        self._received: Headers = []
        self.on_header = make_header_callback(
            self._received, limits.max_headers, lambda: InvalidResponseError("too many headers")
        )
        self._codec = httptools.HttpResponseParser(self)
        self._head_only = False
        self._bytes_since_event = 0
        self._framing_bytes = 0
        self._allowed_framing = limits.max_framing_bytes
        self._length: int | None = None
        self._chunked = False
        self._connection_header = b""
        self._informational = False

    def expect(self, *, head_only: bool) -> None:
        """Prepare for the response to a request; `head_only` for the method HEAD."""
        if self._head_only:
            # The codec still waits for the body that the head of the HEAD response announced.
            self._codec = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self.responded = False
        self.until_close = False
        self._bytes_since_event = 0
        self._framing_bytes = 0
        self._allowed_framing = self._limits.max_framing_bytes

    def feed(self, data: bytes) -> None:
        """Parse `data`, or raise `InvalidResponseError`."""
        self._bytes_since_event += len(data)
        self._framing_bytes += len(data)
        try:
            self._codec.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise InvalidResponseError("upgrade that was not requested") from None
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None
        except httptools.HttpParserError as error:
            raise InvalidResponseError(str(error)) from None
        if self._bytes_since_event > self._limits.max_head_bytes + len(data):
            raise InvalidResponseError("framing exceeds the size limit")
        if self._framing_bytes > self._allowed_framing:
            raise InvalidResponseError("framing exceeds its share of the response")

    # Events of the codec.

    def on_message_begin(self) -> None:
        """Start a new head; a second response to one request is an error."""
        if self.responded:
            raise InvalidResponseError("more than one response to a request")
        self._received.clear()
        self._length = None
        self._chunked = False
        self._connection_header = b""
        self._informational = False

    def on_headers_complete(self) -> None:
        """Report the head of a final response."""
        status: int = self._codec.get_status_code()
        self._informational = 100 <= status < 200
        if self._informational:
            # These count towards the head, as an endpoint may send them without end.
            if status == CONTINUE:
                self._events.receive_continue()
            return
        self._bytes_since_event = 0
        if not 100 <= status <= MAX_STATUS or self._codec.get_http_version() not in ("1.1", "1.0"):
            raise InvalidResponseError("invalid status line")
        headers = self._split_headers()
        if self._connection_header:
            headers = strip_connection_headers(headers, self._connection_header)
        bodiless = self._head_only or status in NO_BODY_STATUSES
        self.until_close = not bodiless and self._length is None and not self._chunked
        self._events.receive_head(ResponseHead(status, headers, self._length))
        if self._head_only:
            self._end()

    def on_body(self, data: bytes) -> None:
        """Report bytes of the response's body."""
        size = len(data)
        self._bytes_since_event = 0
        self._framing_bytes -= size
        self._allowed_framing += size // MIN_BODY_PER_FRAMING
        if self.responded:
            raise InvalidResponseError("body after the end of the response")
        self._events.receive_body(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it was informational."""
        if not self._informational:
            self._bytes_since_event = 0
            self._end()

    def _split_headers(self) -> "Headers":
        received = self._received
        headers: Headers = []
        size = 0
        for header in received:
            name, value = header
            size += len(name) + len(value)
            if name in HOP_BY_HOP:
                self._parse_hop_header(name, value)
            else:
                headers.append(header)
        if size > self._limits.max_head_bytes:
            raise InvalidResponseError("head exceeds the size limit")
        received.clear()
        return headers

    def _parse_hop_header(self, name: bytes, value: bytes) -> None:
        if name == b"content-length":
            self._length = int(value)
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise InvalidResponseError("unsupported transfer encoding")
            self._chunked = True
        elif name == b"connection":
            self._connection_header += value + b","

    def _end(self) -> None:
        self.responded = True
        self.reusable = self.reusable and self._codec.should_keep_alive()
