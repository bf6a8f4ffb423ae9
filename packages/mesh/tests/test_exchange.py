"""A random upstream against the connection and the collector of responses, without network."""

import asyncio
import os
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall
from corianderwall.httpflow.client_connection import ClientConnection
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.mesh.exchange import Echo, ResponseCollector

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


class Owner:
    """Keeps nothing of the events of a connection."""

    def handle_opened(self, connection: ClientConnection) -> None:
        pass

    def handle_idle(self, connection: ClientConnection) -> None:
        pass

    def handle_closed(self, connection: ClientConnection) -> None:
        pass


# Guards against a success with an empty or short body, after a response that broke off anywhere.
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("informational", [True, False])
@pytest.mark.parametrize("kept", [True, False])
def test_a_response_that_breaks_off_anywhere_is_not_complete(
    framing: str, reset: bool, informational: bool, kept: bool
) -> None:
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" if informational else b""
    whole = interim + encode_response(2, framing)
    head_end = whole.index(b"\r\n\r\n", len(interim)) + 4
    for size in range(len(whole)):
        connection = ClientConnection(Owner(), ClientLimits(), Clock())  # type: ignore[arg-type]
        connection.connection_made(FakeTransport())
        for number in (1, 2) if kept else (2,):
            name = b"q%d" % number
            call = OutgoingCall(
                method=b"GET",
                target=b"/",
                headers=[(b"request-id", name)],
                deadline=1.0,
                idempotent=True,
            )
            collector = ResponseCollector(Echo(b"request-id", name))
            attempt = collector.attempt = Attempt(call, collector)
            attempt.start_on(connection)
            results: list[AttemptResult] = []
            collector.done.addCallback(results.append)
            if number == 1:
                connection.data_received(encode_response(1, "length"))
                assert results[0].complete
        if size:
            connection.data_received(whole[:size])
        if not connection.closed:
            connection.connection_lost(ConnectionResetError() if reset else None)
        # Without a length, only a reset shows that the body is not whole.
        may_be_whole = framing == "close" and not reset and size >= head_end
        assert [result.complete for result in results] == [may_be_whole]


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
        self.refusals: list[bytes] = []
        self.refused: int | None = None

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
        self.collector = ResponseCollector(Echo(b"request-id", name, not_run=b"not-executed"))
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

    @precondition(lambda self: self.attempt is not None)
    @rule(copies=st.integers(0, 2), has_id=st.booleans())
    def refuse(self, copies: int, has_id: bool) -> None:
        """Refuse the request, and send the refusal again behind it or later."""
        identity = b"request-id: q%d\r\n" % self.number if has_id else b""
        refusal = b"HTTP/1.1 503 Busy\r\n%bnot-executed: 1\r\ncontent-length: 0\r\n\r\n" % identity
        self.refusals.append(refusal)
        self.refused = self.number if has_id else None
        self.deliver(refusal * (1 + copies), [])

    @precondition(lambda self: bool(self.refusals))
    @rule(number=st.integers(0, 3))
    def repeat_refusal(self, number: int) -> None:
        """Send a late copy of an earlier refusal, whether the connection is in use or not."""
        self.deliver(self.refusals[number % len(self.refusals)], [])

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
            if collector.attempt is not None and result.status == 503:
                self.responses.append((True, self.refused == self.number))
                return
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
