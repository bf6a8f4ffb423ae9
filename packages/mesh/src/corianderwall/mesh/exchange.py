"""Sends a request on a pooled connection and collects the response, as a Twisted coroutine."""

import asyncio
from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.flow import Headers
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.errors import ErrorCode

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Size of a response body from which the response is given up; an endpoint may send without end.
All slots of an endpoint together can then fill no more than a third of a host's memory."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name` (lower case)."""
        for header in self.headers:
            if header[0] == name:
                return header[1]
        return None


@dataclass(frozen=True, slots=True)
class Exchange:
    """The outcome of a request; `response` is None unless the response is complete.

    `send_started` is set once a byte of the request may have left this process; if the receiver has
    to ask for the body, once a byte of the body may have. `dropped` is set if the receiver had
    forgotten the connection, which had rested for `rest_s`; `resent` if this is the outcome of a
    second request, sent after the first one was dropped.
    """

    response: Response | None
    send_started: bool
    error: ErrorCode | None = None
    dropped: bool = False
    rest_s: float = 0.0
    resent: bool = False


class ResponseCollector:
    """Collects a response; a response that carries the id of another request counts as lost."""

    def __init__(self, echo: tuple[bytes, bytes] | None) -> None:
        self.done: Deferred[AttemptResult] = Deferred()
        self.body: list[bytes] = []
        self.mismatched = False
        self.size = 0
        self.attempt: Attempt | None = None
        self._echo = echo

    def receive_head(self, head: ResponseHead) -> None:
        """Give up a response to another request, or one that is too long."""
        if (head.length or 0) > MAX_BODY_BYTES:
            self._give_up()
        if self._echo is None:
            return
        name, expected = self._echo
        found = head.find_header(name)
        self.mismatched = found is not None and found != expected
        if self.mismatched:
            self._give_up()

    def receive_body(self, data: bytes) -> None:
        """Store the next bytes of the body."""
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            self._give_up()
        else:
            self.body.append(data)

    def _give_up(self) -> None:
        if self.attempt is not None:
            self.attempt.fail(ErrorCode.UPSTREAM_LOST)

    def finish(self, result: AttemptResult) -> None:
        """Pass on the result."""
        if not self.done.called:
            self.done.callback(result)


async def run_exchange(
    pool: UpstreamPool,
    call: OutgoingCall,
    echo: tuple[bytes, bytes] | None = None,
    *,
    fresh: bool = False,
) -> Exchange:
    """Send `call` and return its outcome; cancelling closes the connection at once.

    `echo` is a header whose value must be the same in the response, if the response has it. With
    `fresh` no connection is used that has rested.
    """
    collector = ResponseCollector(echo)
    attempt = pool.send(call, collector, fresh=fresh)
    collector.attempt = attempt
    try:
        result = await collector.done
    except CancelledError:
        attempt.cancel()
        raise
    head = result.head
    if collector.mismatched or not result.complete or head is None:
        error = result.error or ErrorCode.UPSTREAM_LOST
        return Exchange(None, attempt.send_started, error, attempt.dropped, attempt.rest_s)
    response = Response(head.status, head.headers, b"".join(collector.body))
    return Exchange(response, attempt.send_started)


async def await_exchange(
    pool: UpstreamPool, call: OutgoingCall, echo: tuple[bytes, bytes] | None = None
) -> Exchange:
    """Run `run_exchange` from an asyncio task."""
    exchange = Deferred.fromCoroutine(run_exchange(pool, call, echo))
    return await exchange.asFuture(asyncio.get_running_loop())
