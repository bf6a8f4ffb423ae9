import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred

from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.limits import ClientLimits, ServerLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.server_connection import ServerConnection, ServerState
from corianderwall.model.endpoint import Address


class FakeTransport(asyncio.Transport):
    """Records what is written, and whether reading is paused and the transport is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.reading = True
        self.eof = False
        self.closed = False
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        self.written += b"".join(list_of_data)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.eof = True

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = self.aborted = True

    def is_closing(self) -> bool:
        return self.closed


class RecordingHandler:
    """A handler that records its calls; `respond`, if set, is applied to each at once."""

    def __init__(self) -> None:
        self.calls: list[IncomingCall] = []
        self.respond: Callable[[IncomingCall], None] | None = None

    def handle(self, call: IncomingCall) -> None:
        self.calls.append(call)
        if self.respond is not None:
            self.respond(call)


class Sink:
    """Records the body that is written to it."""

    def __init__(self) -> None:
        self.body = b""
        self.ended = False
        self.aborted = False

    def write_body(self, data: bytes) -> None:
        self.body += data

    def end_body(self) -> None:
        self.ended = True

    def abort_body(self) -> None:
        self.aborted = True


class ServerHarness:
    """A server connection on a fake transport, with its handler."""

    def __init__(self, limits: ServerLimits) -> None:
        self.handler = RecordingHandler()
        self.state = ServerState(self.handler, limits)
        self.transport = FakeTransport()
        self.connection = ServerConnection(self.state, asyncio.get_event_loop())
        self.connection.connection_made(self.transport)

    def feed(self, *parts: bytes) -> None:
        for part in parts:
            self.connection.data_received(part)

    @property
    def calls(self) -> list[IncomingCall]:
        return self.handler.calls

    @property
    def written(self) -> bytes:
        return self.transport.written


@pytest.fixture
def make_server_harness() -> Callable[..., ServerHarness]:
    return lambda **limits: ServerHarness(ServerLimits(**limits))


@pytest.fixture
def harness(make_server_harness: Callable[..., ServerHarness]) -> ServerHarness:
    return make_server_harness()


@pytest.fixture
def make_sink() -> type[Sink]:
    return Sink


class ScriptedUpstream:
    """An upstream that runs one script per connection, and the last one for all further ones."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.connections = 0
        self.requests: list[bytes] = []
        self.ended = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Address:
        loop = asyncio.get_event_loop()
        opening = loop.create_task(asyncio.start_server(self._accept, "127.0.0.1", 0))
        self._server = await Deferred.fromFuture(opening)
        return Address(host="127.0.0.1", port=self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def read_request(self, reader: asyncio.StreamReader) -> bytes:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        return head

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        script = self.scripts[min(self.connections, len(self.scripts) - 1)]
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await script(self, reader, writer)
        self.ended += 1
        writer.close()


Script = Callable[[ScriptedUpstream, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def respond_with(*responses: bytes) -> Script:
    """Write the next of `responses` after each request, and close after the last."""

    async def run(
        upstream: ScriptedUpstream, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for response in responses:
            await upstream.read_request(reader)
            writer.write(response)
            await writer.drain()

    return run


def keep_responding(response: bytes) -> Script:
    """Write `response` after each request."""

    async def run(
        upstream: ScriptedUpstream, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await upstream.read_request(reader)
            writer.write(response)
            await writer.drain()

    return run


class Receiver:
    """Records the response; `done` fires with the result."""

    def __init__(self) -> None:
        self.heads: list[ResponseHead] = []
        self.body = b""
        self.results: list[AttemptResult] = []
        self.done: Deferred[AttemptResult] = Deferred()

    def receive_head(self, head: ResponseHead) -> None:
        self.heads.append(head)

    def receive_body(self, data: bytes) -> None:
        self.body += data

    def finish(self, result: AttemptResult) -> None:
        self.results.append(result)
        self.done.callback(result)


async def pause(seconds: float) -> None:
    # The reactor must not be imported here: this file is loaded before it is installed.
    await Deferred.fromFuture(asyncio.get_event_loop().create_task(asyncio.sleep(seconds)))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let the reactor run until `condition` holds; fail after 10 seconds instead of hanging."""
    for _ in range(2000):
        if condition():
            return
        await pause(0.005)
    raise AssertionError("the condition never held")


def make_call(method: bytes = b"GET", **changes: object) -> OutgoingCall:
    fields: dict[str, object] = {
        "target": b"/",
        "headers": [(b"host", b"h")],
        "deadline": asyncio.get_event_loop().time() + 20,
        "idempotent": method == b"GET",
    }
    return OutgoingCall(method=method, **(fields | changes))


class PoolHarness:
    """A pool in front of a scripted upstream."""

    def __init__(self) -> None:
        self.upstream = ScriptedUpstream()
        self.pools: list[UpstreamPool] = []

    async def open(self, *scripts: Script, size: int = 4, **limits: float) -> UpstreamPool:
        self.upstream.scripts = list(scripts)
        address = await self.upstream.start()
        pool = UpstreamPool(address, size, ClientLimits(**limits))
        self.pools.append(pool)
        return pool

    async def call(
        self, pool: UpstreamPool, method: bytes = b"GET", **changes: object
    ) -> tuple[AttemptResult, Receiver]:
        receiver = Receiver()
        pool.send(make_call(method, **changes), receiver)
        assert not receiver.results
        result = await receiver.done
        return result, receiver


@pytest.fixture
def pool_harness():
    harness = PoolHarness()
    yield harness
    for pool in harness.pools:
        pool.abort()
    harness.upstream.stop()


@pytest.fixture
def tools() -> SimpleNamespace:
    return SimpleNamespace(
        respond_with=respond_with,
        keep_responding=keep_responding,
        wait_until=wait_until,
        pause=pause,
        make_call=make_call,
        Receiver=Receiver,
    )
