"""One attempt to run a call on an upstream, and its result."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from corianderwall.httpflow.flow import BodySource, Headers
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderwall.httpflow.client_connection import ClientConnection


@dataclass(slots=True, kw_only=True)
class OutgoingCall:
    """A request to send; `deadline` is in monotonic seconds.

    Either `body` holds the whole body, or `streamed` is set and a body of `body_length` bytes
    (None: unknown) is passed to `Attempt.write_body`; `source` is paused while the connection
    can't take more. With `expects_continue` the upstream must not run the request before it has
    asked for `body`. It is sent only then, by `send_body` if that is set.
    """

    method: bytes
    target: bytes
    headers: Headers
    deadline: float
    idempotent: bool
    body: bytes = b""
    streamed: bool = False
    body_length: int | None = 0
    source: BodySource | None = None
    expects_continue: bool = False
    send_body: "Callable[[Attempt], None] | None" = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final response; `length` is None for a chunked or close-delimited body."""

    status: int
    headers: Headers
    length: int | None

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name` (lower case)."""
        for header in self.headers:
            if header[0] == name:
                return header[1]
        return None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt; `error` is None if the complete response was received.

    `refused` is set if the upstream refused the request before running it; `head` is then the
    head of the refusal.
    """

    verdict: Verdict
    status: int = 0
    error: ErrorCode | None = None
    refused: bool = False
    head: ResponseHead | None = None
    complete: bool = False


class ResponseReceiver(Protocol):
    """Receives the response of one attempt; `finish` is called exactly once and never in `send`."""

    def receive_head(self, head: ResponseHead) -> None:
        """Receive the head of the final response; not called for a refusal."""

    def receive_body(self, data: bytes) -> None:
        """Receive the next bytes of the response's body."""

    def finish(self, result: AttemptResult) -> None:
        """Receive the result; unless it is `complete`, the body is truncated."""


class NullReceiver:
    """Replaces the receiver of an attempt that has finished and ignores everything."""

    def receive_head(self, head: ResponseHead) -> None:
        """Ignore the head."""

    def receive_body(self, data: bytes) -> None:
        """Ignore the body."""

    def finish(self, result: AttemptResult) -> None:
        """Ignore the result."""


NULL_RECEIVER = NullReceiver()


@dataclass(slots=True, eq=False)
class Attempt:
    """An `OutgoingCall` being sent; sink of the request's body and source of the response's body.

    `send_started` is set before the first byte goes to the transport, or before the first byte of
    the body if the upstream has to ask for it. If it is wrong, the verdict is therefore "may have
    run" and never a false "not run".

    `rest_s` is how long its connection had rested. `dropped` is set if the connection was lost at
    once after that rest and without any byte of a response: the upstream had forgotten it.
    """

    call: OutgoingCall
    receiver: ResponseReceiver
    connection: "ClientConnection | None" = None
    head: ResponseHead | None = None
    send_started: bool = False
    refused: bool = False
    finished: bool = False
    body_ended: bool = False
    dropped: bool = False
    started: float = 0.0
    rest_s: float = 0.0
    _unsent_body: list[bytes] = field(default_factory=list)
    _paused: bool = False
    timer: asyncio.TimerHandle | None = None

    def start_on(self, connection: "ClientConnection") -> None:
        """Send the request on `connection`, with the part of the body that has arrived so far."""
        self.connection = connection
        connection.start(self)
        unsent, self._unsent_body = self._unsent_body, []
        for data in unsent:
            connection.write_body(data)
        if self.body_ended and self.call.streamed:
            connection.end_body()
        elif unsent and self.call.source is not None and not connection.write_paused:
            self.call.source.resume_body()

    def write_body(self, data: bytes) -> None:
        """Send the next bytes of a streamed request body."""
        if self.finished or not data:
            return
        if self.connection is not None:
            self.connection.write_body(data)
            return
        self._unsent_body.append(data)
        if self.call.source is not None:
            self.call.source.pause_body()

    def end_body(self) -> None:
        """End a streamed request body, which is complete."""
        self.body_ended = True
        if self.connection is not None and not self.finished:
            self.connection.end_body()

    def abort_body(self) -> None:
        """Cancel the attempt, as the rest of the request's body will not arrive."""
        self.cancel()

    def pause_body(self) -> None:
        """Stop reading the response."""
        self._paused = True
        if self.connection is not None and not self.finished:
            self.connection.pause_reading()

    def resume_body(self) -> None:
        """Resume reading the response."""
        self._paused = False
        if self.connection is not None and not self.finished:
            self.connection.resume_reading()

    @property
    def is_open(self) -> bool:
        """Return whether the upstream may still need the rest of the request's body."""
        return not self.finished

    @property
    def is_paused(self) -> bool:
        """Return whether the receiver has paused reading of the response."""
        return self._paused

    def cancel(self) -> None:
        """Close the connection, so that the upstream can stop working on the call, and finish."""
        self.fail(ErrorCode.CANCELLED)

    def expire(self) -> None:
        """Close the connection and finish, as the deadline has passed."""
        self.fail(ErrorCode.DEADLINE_EXCEEDED)

    def fail(self, error: ErrorCode) -> None:
        """Finish without a complete response; the connection can't be reused."""
        if self.finished:
            return
        connection = self.connection
        if connection is not None:
            connection.abort_attempt(self)
        self.finish(error)

    def finish(self, error: ErrorCode | None = None) -> None:
        """Pass the result to the receiver."""
        if self.finished:
            return
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
        head = self.head
        result = AttemptResult(
            verdict=self._decide_verdict(),
            status=head.status if head is not None else 0,
            error=ErrorCode.UPSTREAM_REFUSED if self.refused else error,
            refused=self.refused,
            head=head,
            complete=error is None and not self.refused,
        )
        receiver = self.receiver
        # Break the reference cycles, so that a finished call needs no garbage collection.
        self.receiver = NULL_RECEIVER
        self.connection = None
        receiver.finish(result)

    def _decide_verdict(self) -> Verdict:
        if self.refused or not self.send_started:
            return Verdict.NOT_RUN
        if self.head is not None:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN
