"""Error responses that a node creates itself."""

import math
from typing import TYPE_CHECKING

import msgspec

from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import (
    ERROR_CODE_HEADER,
    FINAL_HEADER,
    NOT_RUN_HEADER,
    RETRY_AFTER_HEADER,
    VERDICT_HEADER,
)

if TYPE_CHECKING:
    from corianderwall.httpflow.attempt import ResponseHead
    from corianderwall.httpflow.call import IncomingCall

STATUS_BY_CODE = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.NO_ROUTE: 404,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.NO_ENDPOINT: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.UPSTREAM_REFUSED: 503,
    ErrorCode.QUARANTINED: 503,
    ErrorCode.UPSTREAM_LOST: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
}

_EFFECTS = {
    Verdict.NOT_RUN: Effect.NONE,
    Verdict.MAY_HAVE_RUN: Effect.UNKNOWN,
    Verdict.RAN: Effect.APPLIED,
}


class CallError(CorianderwallError):
    """A call without a response from the upstream; the verdict says whether it may have run."""

    def __init__(
        self, code: ErrorCode, sentence: str, verdict: Verdict, *, retry_after_s: float = 0
    ) -> None:
        super().__init__(code, sentence, effect=_EFFECTS[verdict], retry_after_s=retry_after_s)
        self.verdict = verdict


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of an error response."""

    code: str
    sentence: str
    effect: str


def respond_error(call: "IncomingCall", error: CorianderwallError, *, is_final: bool = True) -> int:
    """Respond to `call` with `error` and return the status.

    `is_final` marks the response so that callers do not repeat the retries made here.
    """
    status = STATUS_BY_CODE.get(error.code, 500)
    body = ErrorBody(error.code.value, error.sentence, error.effect.value)
    headers = [
        (b"content-type", b"application/json"),
        (ERROR_CODE_HEADER, error.code.value.encode("ascii")),
    ]
    if is_final:
        headers.append((FINAL_HEADER, b"1"))
    verdict = error.verdict if isinstance(error, CallError) else Verdict.NOT_RUN
    if verdict is Verdict.NOT_RUN:
        headers.append((NOT_RUN_HEADER, b"1"))
    else:
        headers.append((VERDICT_HEADER, verdict.value.encode("ascii")))
    if error.retry_after_s > 0:
        seconds = math.ceil(error.retry_after_s)
        headers.append((RETRY_AFTER_HEADER, str(seconds).encode("ascii")))
    call.respond(status, headers, msgspec.json.encode(body))
    return status


def is_final(head: "ResponseHead | None") -> bool:
    """Return whether a response is marked as one after which the call must not be retried."""
    return head is not None and head.find_header(FINAL_HEADER) is not None


def read_error_code(head: "ResponseHead | None") -> ErrorCode | None:
    """Return the code in the error response of another node, None if there is none."""
    value = head.find_header(ERROR_CODE_HEADER) if head is not None else None
    return None if value is None else _CODES.get(value)


_CODES = {code.value.encode("ascii"): code for code in ErrorCode}
