"""An attempt at the local endpoint, which is admitted, queued or refused."""

import math
from typing import TYPE_CHECKING

from corianderwall.httpflow.attempt import NULL_RECEIVER, Attempt, AttemptResult, ResponseHead
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import ERROR_CODE_HEADER, RETRY_AFTER_HEADER

if TYPE_CHECKING:
    from corianderwall.httpflow.attempt import OutgoingCall, ResponseReceiver
    from corianderwall.httpflow.pool import UpstreamPool
    from corianderwall.node.admission import AdmissionController


class QueuedAttempt:
    """Waits for admission, then sends the call through the endpoint's connection pool."""

    __slots__ = (
        "_buffered_body",
        "_controller",
        "_finished",
        "_is_body_complete",
        "_pool_attempt",
        "_started_at",
        "call",
        "receiver",
        "ticket",
    )

    def __init__(
        self, controller: "AdmissionController", call: "OutgoingCall", receiver: "ResponseReceiver"
    ) -> None:
        self._controller = controller
        self.call = call
        self.receiver: ResponseReceiver = receiver
        self.ticket = 0
        self._pool_attempt: Attempt | None = None
        self._buffered_body: list[bytes] = []
        self._is_body_complete = False
        self._finished = False
        self._started_at = 0.0

    def admit(self, pool: "UpstreamPool", now: float) -> None:
        """Send the call through `pool`."""
        self._started_at = now
        self._pool_attempt = pool_attempt = pool.send(self.call, self)
        if self.call.source is not None and not self._is_body_complete:
            # Resume before writing the buffered data, since the pool may pause the source again.
            self.call.source.resume_body()
        buffered_body, self._buffered_body = self._buffered_body, []
        for data in buffered_body:
            pool_attempt.write_body(data)
        if self._is_body_complete:
            pool_attempt.end_body()

    def refuse(self, code: ErrorCode, retry_after_s: float) -> None:
        """Finish with a refusal; the call has not run."""
        seconds = str(math.ceil(retry_after_s)).encode("ascii")
        headers = [(RETRY_AFTER_HEADER, seconds), (ERROR_CODE_HEADER, code.value.encode("ascii"))]
        head = ResponseHead(503, headers, 0)
        result = AttemptResult(
            verdict=Verdict.NOT_RUN, status=503, error=code, refused=True, head=head
        )
        self._finish(result)

    def write_body(self, data: bytes) -> None:
        """Forward a part of the request body, or buffer it until the call is admitted."""
        if self._pool_attempt is not None:
            self._pool_attempt.write_body(data)
            return
        self._buffered_body.append(data)
        if self.call.source is not None:
            self.call.source.pause_body()

    def end_body(self) -> None:
        """Mark the request body as complete."""
        self._is_body_complete = True
        if self._pool_attempt is not None:
            self._pool_attempt.end_body()

    def abort_body(self) -> None:
        """Cancel the call, as its request body will never be complete."""
        self.cancel()

    def pause_body(self) -> None:
        """Pause reading the response."""
        if self._pool_attempt is not None:
            self._pool_attempt.pause_body()

    def resume_body(self) -> None:
        """Resume reading the response."""
        if self._pool_attempt is not None:
            self._pool_attempt.resume_body()

    def cancel(self) -> None:
        """Remove the call from the queue, or cancel it if it is running."""
        if self._finished:
            return
        if self._pool_attempt is not None:
            self._pool_attempt.cancel()
        else:
            self._controller.cancel_waiting(self)
            error = ErrorCode.CANCELLED
            self._finish(AttemptResult(verdict=Verdict.NOT_RUN, error=error))

    def receive_head(self, head: ResponseHead) -> None:
        """Forward the response head."""
        self._controller.read_load(head)
        self.receiver.receive_head(head)

    def receive_body(self, data: bytes) -> None:
        """Forward a part of the response body."""
        self.receiver.receive_body(data)

    def finish(self, result: AttemptResult) -> None:
        """Free the slot and forward the result."""
        self._controller.end_running(self, result, self._started_at)
        self._finish(result)

    def _finish(self, result: AttemptResult) -> None:
        if self._finished:
            return
        self._finished = True
        receiver = self.receiver
        # Break the reference cycle, so that a call causes no work for the garbage collector.
        self.receiver = NULL_RECEIVER
        self._pool_attempt = None
        receiver.finish(result)
