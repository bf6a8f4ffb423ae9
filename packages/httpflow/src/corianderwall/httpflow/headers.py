"""Encodes message heads and defines the hop-by-hop headers."""

from collections.abc import Callable
from http import HTTPStatus

from corianderwall.httpflow.flow import Headers

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
"""Headers that apply to one connection or to the framing and are never forwarded."""

CHUNKED = b"transfer-encoding: chunked\r\n"
CLOSE = b"connection: close\r\n"
EXPECT_CONTINUE = b"expect: 100-continue\r\n"
NOT_RUN_HEADER = (b"x-not-run", b"1")
"""Together with status 503, states that the request was refused before it was run."""
LAST_CHUNK = b"0\r\n\r\n"
NO_BODY_STATUSES = frozenset((204, 304))

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b\r\n" % (status.value, status.phrase.encode())
    for status in HTTPStatus
}


class UnsafeHeaderError(ValueError):
    """A header contains a line break, which would change the framing of its message."""


def make_header_callback(
    received: Headers, max_headers: int, error: Callable[[], Exception]
) -> Callable[[bytes, bytes], None]:
    """Return the parser's callback for headers, which raises `error` if there are too many.

    Otherwise it only appends, as it runs once per header. A peer can send thousands of headers
    before the parser sees the end of a head, and again in the trailers.
    """

    def on_header(name: bytes, value: bytes) -> None:
        if len(received) >= max_headers:
            raise error()
        received.append((name.lower(), value))

    return on_header


def strip_connection_headers(headers: Headers, connection: bytes) -> Headers:
    """Return `headers` without those that the value of the `connection` header lists."""
    named = {name.strip().lower() for name in connection.split(b",")}
    return [header for header in headers if header[0] not in named]


def encode_response_head(status: int, headers: Headers, framing: bytes) -> bytes:
    """Return a status line, `headers` without the hop-by-hop ones, and the lines of `framing`."""
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
    return _encode_head(line, headers, framing)


def encode_request_head(method: bytes, target: bytes, headers: Headers, framing: bytes) -> bytes:
    """Return a request line, `headers` without the hop-by-hop ones, and the lines of `framing`."""
    return _encode_head(b"%b %b HTTP/1.1\r\n" % (method, target), headers, framing)


def encode_chunk(data: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the buffers of one chunk; `data` must not be empty."""
    return (b"%x\r\n" % len(data), data, b"\r\n")


def _encode_head(line: bytes, headers: Headers, framing: bytes) -> bytes:
    lines = [b"%b: %b\r\n" % header for header in headers if header[0] not in HOP_BY_HOP]
    head = b"%b%b%b\r\n" % (line, b"".join(lines), framing)
    line_breaks = len(lines) + framing.count(b"\n") + 2
    if head.count(b"\n") != line_breaks or head.count(b"\r") != line_breaks:
        raise UnsafeHeaderError("a header contains a line break")
    return head
