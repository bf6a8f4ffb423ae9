"""A scripted endpoint on loopback; each test decides how it responds to a request."""

import asyncio
import enum
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


class Endless(enum.Enum):
    """The part of a response that never ends."""

    HEADER = "header"
    HEADERS = "headers"
    INFORMATIONAL = "informational"
    CHUNKS = "chunks"
    UNTIL_CLOSE = "until close"
    TINY_CHUNKS = "tiny chunks"
    CHUNK_LINE = "chunk line"
    CHUNK_LINES = "chunk lines"
    TRAILERS = "trailers"
    GARBAGE = "garbage"


_PIECE_BYTES = 16 * 1024
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"transfer-encoding: chunked\r\n\r\n"
_ENDLESS_PARTS = {
    Endless.HEADER: (_OK + b"a: ", b"x" * _PIECE_BYTES),
    Endless.HEADERS: (_OK, b"a: b\r\n" * 1000),
    Endless.INFORMATIONAL: (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    Endless.CHUNKS: (
        _CHUNKED,
        b"%x\r\n%b\r\n" % (_PIECE_BYTES, b"x" * _PIECE_BYTES),
    ),
    Endless.UNTIL_CLOSE: (_OK + b"\r\n", b"x" * _PIECE_BYTES),
    Endless.TINY_CHUNKS: (_CHUNKED, b"1\r\nx\r\n" * 1000),
    Endless.CHUNK_LINE: (_CHUNKED + b"5;a=", b"x" * _PIECE_BYTES),
    Endless.CHUNK_LINES: (_CHUNKED, b"1;a=%b\r\nx\r\n" % (b"x" * 8000)),
    Endless.TRAILERS: (_CHUNKED + b"3\r\nabc\r\n0\r\n", b"a: b\r\n" * 1000),
    Endless.GARBAGE: (b"", b"x" * _PIECE_BYTES),
}


@dataclass
class ReceivedRequest:
    """One request that the endpoint has received."""

    target: str
    headers: dict[str, str]


@dataclass
class ScriptedUpstream:
    """Listens on loopback; `respond` returns the raw response, or None to send none.

    It returns the part without end for a response that goes on until the caller closes.

    While `limit_per_s` is set, each response names it as the endpoint's rate limit; while `leaving`
    is set, each one says that the endpoint is about to stop. While `endless` is set, each one goes
    on until the caller closes the connection; `sent_bytes` counts the bytes of these. A connection
    that has rested for `forget_after_s` is reset when the next request arrives on it.
    """

    respond: Callable[["ReceivedRequest"], Awaitable[bytes | Endless | None]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    open_connections: int = 0
    accepted_connections: int = 0
    port: int = 0
    max_concurrent: int = 0
    limit_per_s: float | None = None
    leaving: bool = False
    endless: Endless | None = None
    sent_bytes: int = 0
    forget_after_s: float = math.inf
    _running: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on `port`, or on a free port if it is 0."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def crash(self) -> None:
        """End as a crashed process does: all connections break and nothing listens."""
        self._server.close()
        self.break_connections()

    def break_connections(self) -> None:
        """Reset all connections, and go on listening."""
        for writer in self._writers:
            writer.transport.abort()

    async def _send_without_end(self, writer: asyncio.StreamWriter, endless: Endless) -> None:
        """Send until the caller closes the connection, which raises `ConnectionError`."""
        start, piece = _ENDLESS_PARTS[endless]
        writer.write(start)
        while True:
            writer.write(piece)
            self.sent_bytes += len(piece)
            await writer.drain()

    def _add_notices(self, raw: bytes) -> bytes:
        status, separator, rest = raw.partition(b"\r\n")
        notices = b""
        if self.limit_per_s is not None:
            notices += b"Server-Limit: %.1f\r\n" % self.limit_per_s
        if self.leaving:
            notices += b"Server-Leaving: 1\r\n"
        return status + separator + notices + rest

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self.accepted_connections += 1
        self._writers.add(writer)
        try:
            loop = asyncio.get_running_loop()
            while True:
                rested_since = loop.time()
                head = await reader.readuntil(b"\r\n\r\n")
                if loop.time() - rested_since > self.forget_after_s:
                    writer.transport.abort()
                    return
                lines = head.decode().split("\r\n")
                pairs = (line.split(": ", 1) for line in lines[1:] if line)
                headers = {name.lower(): value for name, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                request = ReceivedRequest(lines[0].split()[1], headers)
                self.requests.append(request)
                self._running += 1
                self.max_concurrent = max(self.max_concurrent, self._running)
                raw = await self.respond(request)
                self._running -= 1
                if writer.transport.is_closing():
                    return
                endless = raw if isinstance(raw, Endless) else self.endless
                if endless is not None:
                    await self._send_without_end(writer, endless)
                if not isinstance(raw, bytes):
                    await reader.read()
                    return
                writer.write(self._add_notices(raw))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()


def make_response(
    request: ReceivedRequest, status: str = "200 OK", body: bytes = b"ok", extra_headers: str = ""
) -> bytes:
    """Return a complete response that repeats the request's id."""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request.headers['request-id']}\r\n{extra_headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
