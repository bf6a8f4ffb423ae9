"""Forwards a call to an upstream in one attempt, without retries."""

from corianderwall.httpflow.attempt import Attempt, AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.headers import NOT_RUN_HEADER
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict

MAX_BUFFERED_BODY_BYTES = 16 * 1024


class Relay:
    """Forwards the response of one attempt to the caller."""

    __slots__ = ("_body", "_call", "_head", "_started", "attempt")

    def __init__(self, call: IncomingCall) -> None:
        self._call = call
        self.attempt: Attempt | None = None
        self._head: ResponseHead | None = None
        self._body = b""
        self._started = False

    def receive_head(self, head: ResponseHead) -> None:
        """Forward the head, or keep it to send it in one write with a short body."""
        self._head = head
        if head.length is None or head.length > MAX_BUFFERED_BODY_BYTES:
            self._start(head)

    def receive_body(self, data: bytes) -> None:
        """Forward a part of the body, or keep it if it is the whole body."""
        head = self._head
        if self._started:
            self._call.write_body(data)
        elif head is not None and head.length == len(data):
            self._body = data
        elif head is not None:
            self._start(head)
            self._call.write_body(data)

    def finish(self, result: AttemptResult) -> None:
        """End the response, or send all of it now, or respond with an error."""
        head = self._head
        if self._started:
            if result.complete:
                self._call.end_response()
            else:
                self._call.abort_response()
        elif result.complete and head is not None:
            self._respond_whole(head)
        else:
            self._respond_with_error(result)

    def _start(self, head: ResponseHead) -> None:
        self._started = True
        self._call.start_response(head.status, head.headers, head.length, self.attempt)

    def _respond_whole(self, head: ResponseHead) -> None:
        if self._call.method == b"HEAD":
            self._call.start_response(head.status, head.headers, head.length)
            self._call.end_response()
        else:
            self._call.respond(head.status, head.headers, self._body)

    def _respond_with_error(self, result: AttemptResult) -> None:
        if result.verdict is Verdict.NOT_RUN:
            self._call.respond(503, [NOT_RUN_HEADER])
        elif result.error is ErrorCode.DEADLINE_EXCEEDED:
            self._call.respond(504, [])
        else:
            self._call.respond(502, [])


def relay(call: IncomingCall, pool: UpstreamPool, outgoing: OutgoingCall) -> Attempt:
    """Send `outgoing` through `pool` and respond to `call` with the upstream's response."""
    receiver = Relay(call)
    body = call.take_body()
    if body is not None:
        outgoing.body = body
    else:
        outgoing.streamed = True
        outgoing.body_length = call.body_length
        outgoing.source = call
    attempt = pool.send(outgoing, receiver)
    receiver.attempt = attempt
    call.on_disconnect = attempt.cancel
    if body is None:
        call.read_body(attempt)
    return attempt
