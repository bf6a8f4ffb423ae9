"""Passes the answer of one attempt on to the caller, or reports that there is none to pass."""

from typing import TYPE_CHECKING, Protocol

from corianderwall.httpflow.attempt import AttemptResult, ResponseHead
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import VERDICT_HEADER

if TYPE_CHECKING:
    from corianderwall.httpflow.call import IncomingCall
    from corianderwall.node.carrier import RunningAttempt

MAX_HELD_BODY_BYTES = 16 * 1024
_VERDICTS = {verdict.value.encode("ascii"): verdict for verdict in Verdict}


class ResponseEnd(Protocol):
    """Learns how the attempt ended."""

    def end_attempt(self, result: AttemptResult, *, responded: bool) -> None:
        """Note the end; unless `responded`, the caller still waits for an answer."""


class ResponseFlow:
    """Receives the answer of one attempt; short answers are passed on in one write."""

    __slots__ = ("_body", "_call", "_end", "_head", "_relayed", "_started", "attempt")

    def __init__(self, call: "IncomingCall", end: ResponseEnd) -> None:
        self._call = call
        self._end = end
        self.attempt: RunningAttempt | None = None
        self._head: ResponseHead | None = None
        self._body = b""
        self._started = False
        self._relayed: Verdict | None = None

    def receive_head(self, head: ResponseHead) -> None:
        """Pass the head on unless the whole answer will come at once."""
        self._head = head
        self._relayed = read_verdict(head)
        if self._relayed is None and (head.length is None or head.length > MAX_HELD_BODY_BYTES):
            self._start(head)

    def receive_body(self, data: bytes) -> None:
        """Pass on a part of the body; that of another node's error is dropped."""
        head = self._head
        if self._relayed is not None or head is None:
            return
        if self._started:
            self._call.write_body(data)
        elif head.length == len(data):
            self._body = data
        else:
            self._start(head)
            self._call.write_body(data)

    def finish(self, result: AttemptResult) -> None:
        """End the answer if there is one, and tell how the attempt ended."""
        head = self._head
        if self._relayed is not None:
            self._end.end_attempt(_translate(result, self._relayed), responded=False)
            return
        if self._started:
            self._end_started(result)
        elif result.complete and head is not None:
            self._respond(head)
        else:
            self._end.end_attempt(result, responded=False)
            return
        self._end.end_attempt(result, responded=True)

    def _start(self, head: ResponseHead) -> None:
        self._started = True
        self._call.start_response(head.status, head.headers, head.length, self.attempt)

    def _end_started(self, result: AttemptResult) -> None:
        if result.complete:
            self._call.end_response()
        else:
            self._call.abort_response()

    def _respond(self, head: ResponseHead) -> None:
        if self._call.method == b"HEAD":
            self._call.start_response(head.status, head.headers, head.length)
            self._call.end_response()
        else:
            self._call.respond(head.status, head.headers, self._body)


def read_verdict(head: ResponseHead) -> Verdict | None:
    """Return the verdict that another node states in its error answer, None if it is no error."""
    if head.status < 500:
        return None
    value = head.find_header(VERDICT_HEADER)
    return None if value is None else _VERDICTS.get(value)


def _translate(result: AttemptResult, verdict: Verdict) -> AttemptResult:
    timed_out = result.status == 504
    return AttemptResult(
        verdict=verdict,
        status=0,
        error=ErrorCode.DEADLINE_EXCEEDED if timed_out else ErrorCode.UPSTREAM_LOST,
        head=result.head,
    )
