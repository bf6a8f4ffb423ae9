import asyncio
from collections.abc import Callable, Iterable

import pytest

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.server_connection import ServerConnection, ServerState


class FakeTransport(asyncio.Transport):
    """Keeps what is written and whether the other side is read."""

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


class Recorder:
    """A handler that keeps its calls; `answer` is applied to each at once, if set."""

    def __init__(self) -> None:
        self.calls: list[IncomingCall] = []
        self.answer: Callable[[IncomingCall], None] | None = None

    def handle(self, call: IncomingCall) -> None:
        self.calls.append(call)
        if self.answer is not None:
            self.answer(call)


class Sink:
    """Keeps the body that it is given."""

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


class ServerSide:
    """One connection without sockets, with its handler."""

    def __init__(self, limits: ServerLimits) -> None:
        self.handler = Recorder()
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
def make_server_side() -> Callable[..., ServerSide]:
    return lambda **limits: ServerSide(ServerLimits(**limits))


@pytest.fixture
def side(make_server_side: Callable[..., ServerSide]) -> ServerSide:
    return make_server_side()


@pytest.fixture
def make_sink() -> type[Sink]:
    return Sink
