"""Forwards the response of an attempt to the caller, or reports that there is none."""

from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from corianderwall.httpflow.attempt import AttemptResult, ResponseHead
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import NOT_RUN_HEADER, VERDICT_HEADER

if TYPE_CHECKING:
    from corianderwall.httpflow.call import IncomingCall
    from corianderwall.node.attemptsender import RunningAttempt

MAX_BUFFERED_BODY_BYTES = 16 * 1024
_STATEMENTS = frozenset((NOT_RUN_HEADER, VERDICT_HEADER))
"""Headers that say whether a call ran; a node decides that of the response of an endpoint."""
_VERDICTS = {verdict.value.encode("ascii"): verdict for verdict in Verdict}


class AttemptListener(Protocol):
    """Is notified of the end of an attempt."""

    def end_attempt(self, result: AttemptResult, *, responded: bool) -> None:
        """Handle the end of the attempt; unless `responded`, the caller has no response yet."""


class ResponseFlow:
    """Forwards the response of one attempt; short responses are sent in a single write.

    `from_owner` is set if another node responds, which may say in its own name whether the call
    ran.
    """

    __slots__ = (
        "_body",
        "_call",
        "_from_owner",
        "_head",
        "_listener",
        "_relayed_verdict",
        "_started",
        "attempt",
    )

    def __init__(
        self, call: "IncomingCall", listener: AttemptListener, *, from_owner: bool = False
    ) -> None:
        self._call = call
        self._from_owner = from_owner
        self._listener = listener
        self.attempt: RunningAttempt | None = None
        self._head: ResponseHead | None = None
        self._body = b""
        self._started = False
        self._relayed_verdict: Verdict | None = None

    def receive_head(self, head: ResponseHead) -> None:
        """Forward the head, or hold it back if the body is short enough to be sent with it."""
        if not self._from_owner:
            kept = [header for header in head.headers if header[0] not in _STATEMENTS]
            head = replace(head, headers=kept)
        self._head = head
        self._relayed_verdict = read_verdict(head)
        if self._relayed_verdict is None and (
            head.length is None or head.length > MAX_BUFFERED_BODY_BYTES
        ):
            self._start(head)

    def receive_body(self, data: bytes) -> None:
        """Forward a part of the body; the body of another node's error response is dropped."""
        head = self._head
        if self._relayed_verdict is not None or head is None:
            return
        if self._started:
            self._call.write_body(data)
        elif head.length == len(data):
            self._body = data
        else:
            self._start(head)
            self._call.write_body(data)

    def finish(self, result: AttemptResult) -> None:
        """End the response, if there is one, and report the end of the attempt."""
        head = self._head
        if self._relayed_verdict is not None:
            self._listener.end_attempt(
                _make_relayed_result(result, self._relayed_verdict), responded=False
            )
            return
        if self._started:
            self._end_started(result)
        elif result.complete and head is not None:
            self._respond(head)
        else:
            self._listener.end_attempt(result, responded=False)
            return
        self._listener.end_attempt(result, responded=True)

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
    """Return the verdict in the error response of another node, None for other responses."""
    if head.status < 500:
        return None
    value = head.find_header(VERDICT_HEADER)
    return None if value is None else _VERDICTS.get(value)


def _make_relayed_result(result: AttemptResult, verdict: Verdict) -> AttemptResult:
    timed_out = result.status == 504
    return AttemptResult(
        verdict=verdict,
        status=0,
        error=ErrorCode.DEADLINE_EXCEEDED if timed_out else ErrorCode.UPSTREAM_LOST,
        head=result.head,
    )
