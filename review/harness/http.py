"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response; the names of headers are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


@dataclass
class Reply:
    """A response to send; `close` ends the connection after it."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    close: bool = False


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended within a head") from error
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended within a body") from error
    return Message(start, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {reply.status} Status", f"Content-Length: {len(reply.body)}"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if reply.close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + reply.body


Handler = Callable[[Message], Awaitable[Reply | None]]


class Server:
    """Serves one request at a time on a connection; a request ends with its connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop to listen and reset all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            work = asyncio.ensure_future(self._handler(request))
            gone = asyncio.ensure_future(_wait_for_end(reader))
            try:
                await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
            finally:
                gone.cancel()
                if not work.done():
                    work.cancel()
            if work.cancelled() or not work.done():
                return
            reply = work.result()
            if reply is None:
                writer.transport.abort()
                return
            writer.write(encode_reply(reply))
            await writer.drain()
            if reply.close:
                return


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return once the other side has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def send(
    host: str, port: int, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Message:
    """Send a request on a new connection and return the whole response."""
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        response = await read_message(reader)
        if response is None:
            raise ConnectionResetError("the connection ended without a response")
        return response
    finally:
        writer.close()
