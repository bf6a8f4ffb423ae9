"""A scripted endpoint on loopback: each test says what it does with a request."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Seen:
    """One request as the endpoint read it."""

    target: str
    headers: dict[str, str]


@dataclass
class ScriptedUpstream:
    """Listens on loopback; `respond` returns raw bytes, or None to keep silent."""

    respond: Callable[["Seen"], Awaitable[bytes | None]]
    seen: list[Seen] = field(default_factory=list)
    open_connections: int = 0
    accepted: int = 0
    port: int = 0
    most_at_once: int = 0
    _running: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self.accepted += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                pairs = (line.split(": ", 1) for line in lines[1:] if line)
                headers = {name.lower(): value for name, value in pairs}
                await reader.readexactly(int(headers.get("content-length", "0")))
                request = Seen(lines[0].split()[1], headers)
                self.seen.append(request)
                self._running += 1
                self.most_at_once = max(self.most_at_once, self._running)
                raw = await self.respond(request)
                self._running -= 1
                if raw is None:
                    await reader.read()
                    return
                writer.write(raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


def make_response(
    request: Seen, status: str = "200 OK", body: bytes = b"ok", more: str = ""
) -> bytes:
    """Return a whole answer that echoes the request's id."""
    head = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request.headers['request-id']}\r\n{more}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
