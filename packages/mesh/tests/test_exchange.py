"""A random upstream against the connection and the collector of responses, without network."""

import asyncio
import os
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall
from corianderwall.httpflow.client_connection import ClientConnection
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.mesh.exchange import ResponseCollector

EXAMPLES = int(os.environ.get("EXCHANGE_EXAMPLES", "100"))
"""Random series that are played; the long run by hand sets a hundred times as many."""


class FakeTransport(asyncio.Transport):
    """Records whether the connection was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return FakeSocket()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert not self.closed

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True


class FakeSocket:
    family = None

    def fileno(self) -> int:
        return 0


class Clock:
    def time(self) -> float:
        return 0.0


def make_body(number: int) -> bytes:
    return b"body of q%d;" % number * 3


def encode_response(number: int, framing: str) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nrequest-id: q%d\r\n" % number
    body = make_body(number)
    if framing == "length":
        return head + b"content-length: %d\r\n\r\n" % len(body) + body
    if framing == "chunks":
        half = len(body) // 2
        parts = (body[:half], body[half:])
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    return head + b"\r\n" + body


class ExchangeMachine(RuleBasedStateMachine):
    """Requests one after another, on a connection that is kept while the product keeps it."""

    def __init__(self) -> None:
        super().__init__()
        self.number = 0
        self.idle: list[ClientConnection] = []
        self.connection: ClientConnection | None = None
        self.attempt: Attempt | None = None
        self.collector: ResponseCollector | None = None
        self.sent_whole = False
        self.until_close = False
        self.responses: list[tuple[bool, bool]] = []

    # The owner of the connection.

    def handle_opened(self, connection: ClientConnection) -> None:
        self.idle.append(connection)

    def handle_idle(self, connection: ClientConnection) -> None:
        self.idle.append(connection)

    def handle_closed(self, connection: ClientConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    # What happens.

    @initialize()
    def open(self) -> None:
        connection = ClientConnection(self, ClientLimits(), Clock())  # type: ignore[arg-type]
        connection.connection_made(FakeTransport())
        self.connection = connection

    @precondition(lambda self: self.attempt is None)
    @rule()
    def send(self) -> None:
        if not self.idle:
            self.open()
        self.connection = self.idle.pop()
        self.number += 1
        name = b"q%d" % self.number
        call = OutgoingCall(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"h"), (b"request-id", name)],
            deadline=1.0,
            idempotent=False,
        )
        self.collector = ResponseCollector((b"request-id", name))
        self.attempt = self.collector.attempt = Attempt(call, self.collector)
        self.sent_whole = self.until_close = False
        self.collector.done.addCallback(self.check)
        self.attempt.start_on(self.connection)

    @precondition(lambda self: self.attempt is not None)
    @rule(
        framing=st.sampled_from(["length", "chunks", "close"]),
        part=st.one_of(st.just(1.0), st.floats(0.0, 1.0)),
        cuts=st.lists(st.integers(1, 40), max_size=6),
        informational=st.booleans(),
        copy=st.booleans(),
    )
    def respond(
        self, framing: str, part: float, cuts: list[int], informational: bool, copy: bool
    ) -> None:
        """Respond with all of the response or its first part, a copy of it behind the whole.

        Without a length the copy would be part of the body for every HTTP client.
        """
        whole = encode_response(self.number, framing)
        size = int(len(whole) * part)
        self.sent_whole = size == len(whole)
        self.until_close = framing == "close"
        data = (b"HTTP/1.1 100 Continue\r\n\r\n" if informational else b"") + whole[:size]
        self.deliver(
            data + (whole if copy and self.sent_whole and not self.until_close else b""), cuts
        )
        if not self.sent_whole or self.until_close:
            self.close(reset=not self.sent_whole)

    @rule(back=st.integers(1, 3), framing=st.sampled_from(["length", "chunks"]))
    def repeat_earlier_response(self, back: int, framing: str) -> None:
        """Send a late copy of an earlier response, whether the connection is in use or not."""
        if self.number > back:
            self.deliver(encode_response(self.number - back, framing), [])

    @rule(reset=st.booleans())
    def close(self, reset: bool) -> None:
        connection = self.connection
        if connection is not None and not connection.closed:
            connection.connection_lost(ConnectionResetError() if reset else None)

    def deliver(self, data: bytes, cuts: list[int]) -> None:
        connection = self.connection
        assert connection is not None
        for cut in [*cuts, len(data)]:
            if data and not connection.closed:
                connection.data_received(data[:cut])
            data = data[cut:]

    def check(self, result: AttemptResult) -> None:
        collector, self.attempt = self.collector, None
        assert collector is not None
        if result.complete and not collector.mismatched:
            # A failure inside a Deferred would go unnoticed, so it is kept for the invariant.
            own = b"".join(collector.body) == make_body(self.number)
            self.responses.append((self.sent_whole, own))

    @invariant()
    def every_complete_response_is_whole_and_belongs_to_its_request(self) -> None:
        assert all(response == (True, True) for response in self.responses)

    @invariant()
    def no_connection_in_use_is_idle(self) -> None:
        assert self.attempt is None or self.connection not in self.idle


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=40, derandomize=EXAMPLES == 100, deadline=None
)
