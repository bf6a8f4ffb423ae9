"""Parses the requests on one connection and refuses ambiguous or oversized ones."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import httptools

from corianderwall.httpflow.headers import (
    HOP_BY_HOP,
    make_header_callback,
    strip_connection_headers,
)

if TYPE_CHECKING:
    from corianderwall.httpflow.flow import Headers
    from corianderwall.httpflow.limits import ServerLimits


class RequestRefusedError(Exception):
    """The request violates the protocol or exceeds a limit; `status` is the response's status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class RequestHead:
    """The head of a request; `is_http11` is set for HTTP/1.1, `body_length` is None if chunked."""

    method: bytes
    target: bytes
    headers: "Headers"
    host: bytes
    keep_alive: bool
    is_http11: bool
    body_length: int | None
    expects_continue: bool


class RequestEvents(Protocol):
    """The events that the parser reports to its connection."""

    def receive_head(self, head: RequestHead) -> None:
        """Receive the head of the next request."""

    def receive_body(self, data: bytes) -> None:
        """Receive bytes of the newest request's body."""

    def receive_end(self) -> None:
        """Receive the end of the newest request."""


class RequestParser:
    """Parses one request at a time; `in_message` is set from its first byte until its end.

    It buffers at most one head, of limited size. The codec refuses duplicate or conflicting
    lengths, invalid chunks, folded headers and bare CR or LF.
    """

    def __init__(self, events: RequestEvents, limits: "ServerLimits") -> None:
        self.in_message = False
        self._events = events
        self._limits = limits
        self._received: Headers = []
        self.on_header = make_header_callback(
            self._received, limits.max_headers, lambda: RequestRefusedError(431)
        )
        self._codec = httptools.HttpRequestParser(self)
        self._bytes_since_event = 0
        self._body_bytes = 0
        self._target = b""
        self._host: bytes | None = None
        self._connection_header = b""
        self._body_length: int | None = 0
        self._expects_continue = False

    def feed(self, data: bytes) -> None:
        """Parse `data`; after a `RequestRefusedError` the parser must not be used again."""
        self._bytes_since_event += len(data)
        while data:
            data = self._feed_once(data)
        if self._bytes_since_event > self._limits.max_head_bytes + len(data):
            raise RequestRefusedError(431)

    # Events of the codec.

    def on_message_begin(self) -> None:
        """Start a new head."""
        self.in_message = True
        self._received.clear()
        self._target = b""
        self._host = None
        self._connection_header = b""
        self._body_length = 0
        self._expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Report the head."""
        self._bytes_since_event = 0
        self._body_bytes = 0
        self._events.receive_head(self._make_head())

    def on_body(self, data: bytes) -> None:
        """Report bytes of the body."""
        self._bytes_since_event = 0
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise RequestRefusedError(413)
        self._events.receive_body(data)

    def on_message_complete(self) -> None:
        """Report the end of the request."""
        self._bytes_since_event = 0
        self.in_message = False
        # Drop the trailers.
        self._received.clear()
        self._events.receive_end()

    def _feed_once(self, data: bytes) -> bytes:
        try:
            self._codec.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not supported: handle it as an ordinary request.
            offset: int = upgrade.args[0]
            return data[offset:]
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None
        except httptools.HttpParserError:
            raise RequestRefusedError(400) from None
        return b""

    def _split_headers(self) -> "Headers":
        received = self._received
        headers: Headers = []
        size = len(self._target)
        for header in received:
            name, value = header
            size += len(name) + len(value)
            if name in HOP_BY_HOP:
                self._parse_hop_header(name, value)
                continue
            if name == b"host":
                if self._host is not None:
                    raise RequestRefusedError(400)
                self._host = value
            headers.append(header)
        if size > self._limits.max_head_bytes:
            raise RequestRefusedError(431)
        received.clear()
        return headers

    def _parse_hop_header(self, name: bytes, value: bytes) -> None:
        if name == b"content-length":
            self._body_length = int(value)
            if self._body_length > self._limits.max_body_bytes:
                raise RequestRefusedError(413)
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise RequestRefusedError(501)
            self._body_length = None
        elif name == b"connection":
            self._connection_header += value + b","
        elif name == b"expect":
            if value.lower() != b"100-continue":
                raise RequestRefusedError(417)
            self._expects_continue = True

    def _make_head(self) -> RequestHead:
        headers = self._split_headers()
        codec = self._codec
        version = codec.get_http_version()
        is_http11 = version == "1.1"
        self._check_version(version, is_http11)
        method: bytes = codec.get_method()
        if method == b"CONNECT":
            raise RequestRefusedError(501)
        if codec.should_upgrade() and self._body_length != 0:
            # The codec ends an upgrade request at its head, so its body would be ambiguous.
            raise RequestRefusedError(400)
        if self._connection_header:
            headers = strip_connection_headers(headers, self._connection_header)
        return RequestHead(
            method,
            self._target,
            headers,
            self._host or b"",
            is_http11 and codec.should_keep_alive(),
            is_http11,
            self._body_length,
            self._expects_continue,
        )

    def _check_version(self, version: str, is_http11: bool) -> None:
        if not is_http11 and version != "1.0":
            raise RequestRefusedError(505)
        if is_http11 and self._host is None:
            raise RequestRefusedError(400)
        if not is_http11 and self._body_length is None:
            raise RequestRefusedError(400)
