"""An attempt that the desk admits now or later, or refuses."""

import math
from typing import TYPE_CHECKING

from corianderwall.httpflow.attempt import NULL_RECEIVER, Attempt, AttemptResult, ResponseHead
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import ERROR_CODE_HEADER, RETRY_AFTER_HEADER

if TYPE_CHECKING:
    from corianderwall.httpflow.attempt import OutgoingCall, ResponseReceiver
    from corianderwall.httpflow.pool import UpstreamPool
    from corianderwall.node.desk import Desk


class DeskAttempt:
    """An attempt that waits for admission and then runs on the endpoint's pool."""

    __slots__ = (
        "_desk",
        "_early",
        "_ended",
        "_finished",
        "_inner",
        "_started_at",
        "call",
        "receiver",
        "ticket",
    )

    def __init__(self, desk: "Desk", call: "OutgoingCall", receiver: "ResponseReceiver") -> None:
        self._desk = desk
        self.call = call
        self.receiver: ResponseReceiver = receiver
        self.ticket = 0
        self._inner: Attempt | None = None
        self._early: list[bytes] = []
        self._ended = False
        self._finished = False
        self._started_at = 0.0

    def admit(self, pool: "UpstreamPool", now: float) -> None:
        """Send the call now."""
        self._started_at = now
        self._inner = inner = pool.send(self.call, self)
        if self.call.source is not None and not self._ended:
            # Before the early parts, so that the pool may pause it again.
            self.call.source.resume_body()
        early, self._early = self._early, []
        for data in early:
            inner.write_body(data)
        if self._ended:
            inner.end_body()

    def refuse(self, code: ErrorCode, retry_after_s: float) -> None:
        """Finish without having run the call."""
        seconds = str(math.ceil(retry_after_s)).encode("ascii")
        headers = [(RETRY_AFTER_HEADER, seconds), (ERROR_CODE_HEADER, code.value.encode("ascii"))]
        head = ResponseHead(503, headers, 0)
        result = AttemptResult(
            verdict=Verdict.NOT_RUN, status=503, error=code, refused=True, head=head
        )
        self._finish(result)

    def write_body(self, data: bytes) -> None:
        """Pass on a part of the request's body, or keep it until the call is admitted."""
        if self._inner is not None:
            self._inner.write_body(data)
            return
        self._early.append(data)
        if self.call.source is not None:
            self.call.source.pause_body()

    def end_body(self) -> None:
        """Note that the request's body is whole."""
        self._ended = True
        if self._inner is not None:
            self._inner.end_body()

    def abort_body(self) -> None:
        """Give the call up, as the rest of its body will not come."""
        self.cancel()

    def pause_body(self) -> None:
        """Stop reading the answer."""
        if self._inner is not None:
            self._inner.pause_body()

    def resume_body(self) -> None:
        """Go on reading the answer."""
        if self._inner is not None:
            self._inner.resume_body()

    def cancel(self) -> None:
        """Take the call out of the queue, or stop it."""
        if self._finished:
            return
        if self._inner is not None:
            self._inner.cancel()
        else:
            self._desk.cancel_waiting(self)
            error = ErrorCode.CANCELLED
            self._finish(AttemptResult(verdict=Verdict.NOT_RUN, error=error))

    def receive_head(self, head: ResponseHead) -> None:
        """Pass on the head of the answer."""
        self._desk.read_load(head)
        self.receiver.receive_head(head)

    def receive_body(self, data: bytes) -> None:
        """Pass on a part of the answer."""
        self.receiver.receive_body(data)

    def finish(self, result: AttemptResult) -> None:
        """Free the slot and pass on the result."""
        self._desk.end_running(self, result, self._started_at)
        self._finish(result)

    def _finish(self, result: AttemptResult) -> None:
        if self._finished:
            return
        self._finished = True
        receiver = self.receiver
        # Without reference cycles the collector finds nothing to do for a call.
        self.receiver = NULL_RECEIVER
        self._inner = None
        receiver.finish(result)
