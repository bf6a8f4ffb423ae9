"""A scripted endpoint on loopback; each test decides how it responds to a request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """One request that the endpoint has received."""

    target: str
    headers: dict[str, str]


@dataclass
class ScriptedUpstream:
    """Listens on loopback; `respond` returns the raw response, or None to send none.

    While `limit_per_s` is set, each response names it as the endpoint's rate limit; while `leaving`
    is set, each one says that the endpoint is about to stop.
    """

    respond: Callable[["ReceivedRequest"], Awaitable[bytes | None]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    open_connections: int = 0
    accepted_connections: int = 0
    port: int = 0
    max_concurrent: int = 0
    limit_per_s: float | None = None
    leaving: bool = False
    _running: int = 0

    async def start(self) -> None:
        """Listen on `port`, or on a free port if it is 0."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

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
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
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
                if raw is None:
                    await reader.read()
                    return
                writer.write(self._add_notices(raw))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
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
