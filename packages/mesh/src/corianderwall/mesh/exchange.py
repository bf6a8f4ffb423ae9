"""Sends a request on a pooled connection and collects the response, as a Twisted coroutine."""

import asyncio
from dataclasses import dataclass, field

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.flow import Headers
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.mesh.responsememory import HeldBody, ResponseMemory
from corianderwall.model.errors import ErrorCode

CLIENT_ERROR = 400
MISDIRECTED = 421
"""The status of an endpoint that is not the one that the request names."""
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Size of a response body from which the response is given up; an endpoint may send without end."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; `account` holds the memory of its body."""

    status: int
    headers: Headers
    body: bytes
    account: HeldBody | None = field(default=None, compare=False, repr=False)

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
    to ask for the body, once a byte of the body may have. `foreign` is set if there was a response
    that does not belong to the request. `dropped` is set if the receiver had
    forgotten the connection, which had rested for `rest_s`; `resent` if this is the outcome of a
    second request, sent after the first one was dropped. `oversized` is set if the body was given
    up, as it or all bodies together were too large.
    """

    response: Response | None
    send_started: bool
    error: ErrorCode | None = None
    foreign: bool = False
    dropped: bool = False
    rest_s: float = 0.0
    resent: bool = False
    oversized: bool = False


@dataclass(frozen=True, slots=True)
class Echo:
    """What tells that a response belongs to its request: it carries `value` in the header `name`.

    A response without the header is believed only if that is not `required`, and if it does not say
    that the request has not run, by the header `not_run` or the status `MISDIRECTED`.
    """

    name: bytes
    value: bytes
    not_run: bytes = b""
    required: bool = False

    def matches(self, head: ResponseHead) -> bool:
        """Return whether a response belongs to the request."""
        found = head.find_header(self.name)
        if found is None:
            return not self.required and not self.is_refusal(head)
        return found == self.value

    def is_refusal(self, head: ResponseHead) -> bool:
        """Return whether a response says that its request has not run."""
        if not self.not_run:
            return False
        return head.status == MISDIRECTED or says_not_run(head, self.not_run)


def says_not_run(response: ResponseHead | Response, name: bytes) -> bool:
    """Return whether a response with the header `name` says that its request has not run.

    A success with that header contradicts itself, so it promises nothing.
    """
    return response.status >= CLIENT_ERROR and response.find_header(name) is not None


class ResponseCollector:
    """Collects a response; one that does not belong to the request counts as lost."""

    def __init__(self, echo: Echo | None, memory: ResponseMemory | None = None) -> None:
        self.done: Deferred[AttemptResult] = Deferred()
        # Pieces may be as short as a byte, which would cost more in a list.
        self.body = bytearray()
        self.mismatched = False
        self.oversized = False
        self.attempt: Attempt | None = None
        self.account = (memory or ResponseMemory()).open(self._give_up_body)
        self._echo = echo

    def receive_head(self, head: ResponseHead) -> None:
        """Give up a response to another request, or one that is too long."""
        if (head.length or 0) > MAX_BODY_BYTES:
            self._give_up_body()
        if self._echo is None:
            return
        self.mismatched = not self._echo.matches(head)
        if self.mismatched:
            self._give_up()

    def receive_body(self, data: bytes) -> None:
        """Store the next bytes of the body."""
        if not self.account.is_open:
            return
        if len(self.body) + len(data) > MAX_BODY_BYTES:
            self._give_up_body()
        elif self.account.grow(len(data)):
            self.body += data

    def take_body(self) -> bytes:
        """Return the body and hold it no longer."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def _give_up_body(self) -> None:
        self.oversized = True
        self._give_up()

    def _give_up(self) -> None:
        if self.attempt is not None:
            self.attempt.fail(ErrorCode.UPSTREAM_LOST)

    def finish(self, result: AttemptResult) -> None:
        """Pass on the result."""
        if result.complete:
            self.account.complete()
        else:
            self.account.cancel()
            self.body = bytearray()
        if not self.done.called:
            self.done.callback(result)


async def run_exchange(
    pool: UpstreamPool,
    call: OutgoingCall,
    echo: Echo | None = None,
    *,
    fresh: bool = False,
    memory: ResponseMemory | None = None,
) -> Exchange:
    """Send `call` and return its outcome; cancelling closes the connection at once.

    `echo` tells whether the response belongs to the request. With `fresh` no connection is used
    that has rested. The body counts in `memory`.
    """
    collector = ResponseCollector(echo, memory)
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
        return Exchange(
            None,
            attempt.send_started,
            error,
            foreign=collector.mismatched,
            dropped=attempt.dropped,
            rest_s=attempt.rest_s,
            oversized=collector.oversized,
        )
    response = Response(head.status, head.headers, collector.take_body(), collector.account)
    return Exchange(response, attempt.send_started)


async def await_exchange(
    pool: UpstreamPool,
    call: OutgoingCall,
    echo: Echo | None = None,
    *,
    memory: ResponseMemory | None = None,
) -> Exchange:
    """Run `run_exchange` from an asyncio task."""
    exchange = Deferred.fromCoroutine(run_exchange(pool, call, echo, memory=memory))
    return await exchange.asFuture(asyncio.get_running_loop())
