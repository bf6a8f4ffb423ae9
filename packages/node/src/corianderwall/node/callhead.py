"""Parses the head of a call, and defines the headers used between nodes and upstreams."""

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.traffic.routing import CallRequest

if TYPE_CHECKING:
    from corianderwall.httpflow.call import IncomingCall

DEADLINE_HEADER = b"x-deadline-unix-ms"
CALL_ID_HEADER = b"x-call-id"
ROUTE_HEADER = b"x-route"
HOP_HEADER = b"x-hop"
HOP_OWNER = b"owner"
ENDPOINT_HEADER = b"x-endpoint"
SERVICE_HEADER = b"x-service"
VERSION_HEADER = b"x-version"
NOT_RUN_HEADER = b"x-not-run"
VERDICT_HEADER = b"x-verdict"
FINAL_HEADER = b"x-retry-final"
"""Marks the error response of an entry node, which has already made all useful retries."""
ERROR_CODE_HEADER = b"x-error-code"
LOAD_HEADER = b"x-load"
RETRY_AFTER_HEADER = b"retry-after"

MAX_CALL_ID_BYTES = 128
NODE_HEADERS = frozenset(
    (HOP_HEADER, ENDPOINT_HEADER, SERVICE_HEADER, VERSION_HEADER, ROUTE_HEADER, DEADLINE_HEADER)
)
"""Headers set by nodes; those of an incoming request are not forwarded."""


@dataclass(frozen=True, slots=True)
class CallHead:
    """The parsed head of a call; `deadline` is on the monotonic clock, None if none was sent."""

    call_id: str
    subscriber: str
    deadline: float | None
    is_hop: bool
    request: CallRequest


def read_call_head(call: "IncomingCall", *, now: float, unix_s: float) -> CallHead:
    """Return the head of `call`, or raise `MALFORMED_REQUEST`."""
    try:
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in call.headers}
        target = call.target.decode("ascii")
        host = call.host.decode("ascii")
        method = call.method.decode("ascii")
    except UnicodeDecodeError as error:
        raise CorianderwallError(
            ErrorCode.MALFORMED_REQUEST, "the request head is not ASCII"
        ) from error
    subscriber = headers.get("x-subscriber", "")
    return CallHead(
        call_id=_read_call_id(headers.get("x-call-id", "")),
        subscriber=subscriber,
        deadline=_read_deadline(headers.get("x-deadline-unix-ms"), now, unix_s),
        is_hop=headers.get("x-hop") == "owner",
        request=CallRequest(
            host=host,
            path=target.partition("?")[0],
            method=method,
            headers=headers,
            subscriber=subscriber,
        ),
    )


def _read_call_id(text: str) -> str:
    if not text:
        return secrets.token_hex(8)
    if len(text) > MAX_CALL_ID_BYTES:
        raise CorianderwallError(ErrorCode.MALFORMED_REQUEST, "x-call-id is too long")
    return text


def _read_deadline(text: str | None, now: float, unix_s: float) -> float | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdecimal() or len(text) > 15:
        raise CorianderwallError(
            ErrorCode.MALFORMED_REQUEST, "x-deadline-unix-ms is not a number of milliseconds"
        )
    return now + int(text) / 1000 - unix_s
