"""The operators' remote procedure calls over HTTP."""

import hashlib
import hmac
from collections.abc import Mapping
from random import Random
from typing import Any, cast

from absl import logging
from google.protobuf import json_format
from google.protobuf.message import DecodeError
from klein import Klein
from twisted.web.server import Site

from corianderwall.ctl.convert import build_error
from corianderwall.model.clock import Clock
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.node.bounded_body import BoundedBody
from corianderwall.node.operator_backend import OperatorBackend
from corianderwall.node.operator_calls import OperatorCalls

__all__ = ["OperatorApp", "OperatorBackend", "OperatorSite", "find_http_status"]

PREFIX = "/corianderwall.v1.Operators/"
JSON_TYPE = "application/json"
PROTOBUF_TYPE = "application/x-protobuf"
MAX_REQUEST_BYTES = 512 << 10
MAX_JSON_DEPTH = 20

_HTTP_STATUS = {
    ErrorCode.INVALID_ARGUMENT: 400,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.DEADLINE_UNREACHABLE: 422,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.PLATFORM_UNAVAILABLE: 503,
    ErrorCode.PLATFORM_THROTTLED: 503,
    ErrorCode.OUTCOME_UNKNOWN: 504,
    ErrorCode.NOT_READY: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.REQUEST_TOO_LARGE: 413,
    ErrorCode.ALREADY_EXISTS: 409,
    ErrorCode.DANGLING_REFERENCE: 409,
    ErrorCode.STALE_VERSION: 409,
    ErrorCode.MOVE_IN_PROGRESS: 409,
    ErrorCode.STILL_REFERENCED: 409,
    ErrorCode.CONFLICT: 409,
    ErrorCode.LEASE_LOST: 409,
}


def find_http_status(code: ErrorCode) -> int:
    """Return the HTTP status of an error code, 500 for failures of the node itself."""
    return _HTTP_STATUS.get(code, 500)


class TokenTable:
    """The operators' bearer tokens, kept only as digests."""

    def __init__(self, tokens: Mapping[str, str]) -> None:
        self._digests = {name: _hash_token(token) for name, token in tokens.items()}

    def find_operator(self, authorization: str) -> str:
        """Return the operator's name, or raise `UNAUTHENTICATED`.

        All digests are compared, each in constant time, so that the time taken reveals nothing.
        """
        scheme, _, token = authorization.partition(" ")
        presented = _hash_token(token.strip())
        found = ""
        for name, digest in self._digests.items():
            if hmac.compare_digest(digest, presented):
                found = name
        if scheme.lower() != "bearer" or not found:
            raise CorianderwallError(
                ErrorCode.UNAUTHENTICATED, "a valid bearer token of an operator is required"
            )
        return found


class OperatorApp:
    """Responds to each call with a message, or with an error message and its HTTP status.

    `tokens` maps the operators' names to their tokens.
    """

    def __init__(
        self, backend: OperatorBackend, tokens: Mapping[str, str], clock: Clock, random: Random
    ) -> None:
        self._calls = OperatorCalls(backend, clock, random)
        self._tokens = TokenTable(tokens)

    def build_resource(self) -> Any:
        """Return the resource that serves the calls on an HTTP site."""
        app = Klein()
        methods = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]
        app.route("/<path:path>", methods=methods)(self._serve)
        return app.resource()

    async def _serve(self, request: Any, path: str) -> bytes:
        media_type = read_media_type(request)
        operation_id = ""
        is_change = False
        try:
            operator = self._tokens.find_operator(request.getHeader("authorization") or "")
            method = read_method(request, path)
            message = read_message(request, media_type, self._calls.find_request_type(method))
            is_change = self._calls.is_change(method)
            if is_change:
                operation_id = self._calls.choose_operation_id(message)
                response = await self._calls.change(method, message, operation_id, operator)
            else:
                response = await self._calls.read(method, message)
        except CorianderwallError as error:
            return _write_error(request, media_type, error, operation_id)
        except Exception:
            logging.exception("operator call failed")
            effect = Effect.UNKNOWN if is_change else Effect.NONE
            failure = CorianderwallError(
                ErrorCode.INTERNAL, "an unexpected error occurred in the node", effect=effect
            )
            return _write_error(request, media_type, failure, operation_id)
        return _write_message(request, media_type, 200, response)


class OperatorSite(Site):
    """An HTTP site that keeps at most `MAX_REQUEST_BYTES` of a body, in memory, never on disk."""

    def __init__(self, resource: Any) -> None:
        cast("Any", super()).__init__(resource)

    def getContentFile(self, length: int | None) -> Any:  # noqa: N802
        """Return the file object that Twisted writes the body to."""
        return BoundedBody(MAX_REQUEST_BYTES)


def read_media_type(request: Any) -> str:
    """Return the media type of the body without its parameters."""
    header = request.getHeader("content-type") or ""
    return str(header).partition(";")[0].strip().lower()


def read_method(request: Any, path: str) -> str:
    """Return the name of the called method."""
    if request.method != b"POST":
        raise CorianderwallError(ErrorCode.MALFORMED_REQUEST, "calls are made with POST")
    full_path = f"/{path}"
    if not full_path.startswith(PREFIX):
        raise CorianderwallError(ErrorCode.NOT_FOUND, f"calls are served under {PREFIX}METHOD")
    return full_path.removeprefix(PREFIX)


def read_message(request: Any, media_type: str, message_type: type[Any]) -> Any:
    """Return the message in the body, or raise `MALFORMED_REQUEST` or `REQUEST_TOO_LARGE`."""
    body: BoundedBody = request.content
    if body.is_exceeded:
        raise CorianderwallError(
            ErrorCode.REQUEST_TOO_LARGE, f"a request has at most {MAX_REQUEST_BYTES} bytes"
        )
    body.seek(0)
    return decode_message(body.read(), media_type, message_type)


def decode_message(data: bytes, media_type: str, message_type: type[Any]) -> Any:
    """Return the message that `data` encodes, or raise `MALFORMED_REQUEST`."""
    message = message_type()
    try:
        if media_type == PROTOBUF_TYPE:
            message.ParseFromString(data)
        elif media_type == JSON_TYPE:
            json_format.Parse(data or b"{}", message, max_recursion_depth=MAX_JSON_DEPTH)
        else:
            raise CorianderwallError(
                ErrorCode.MALFORMED_REQUEST,
                f"the content type must be {JSON_TYPE} or {PROTOBUF_TYPE}",
            )
    except (DecodeError, json_format.ParseError, ValueError, RecursionError) as error:
        raise CorianderwallError(
            ErrorCode.MALFORMED_REQUEST,
            f"the body is not a valid {message_type.__name__}: {str(error)[:200]}",
        ) from error
    return message


def _write_error(
    request: Any, media_type: str, error: CorianderwallError, operation_id: str
) -> bytes:
    if error.retry_after_s > 0:
        request.setHeader("retry-after", str(int(error.retry_after_s) + 1))
    if error.code is ErrorCode.UNAUTHENTICATED:
        request.setHeader("www-authenticate", "Bearer")
    message = build_error(error, operation_id)
    return _write_message(request, media_type, find_http_status(error.code), message)


def _write_message(request: Any, media_type: str, status: int, message: Any) -> bytes:
    request.setResponseCode(status)
    if media_type == PROTOBUF_TYPE:
        request.setHeader("content-type", PROTOBUF_TYPE)
        return cast("bytes", message.SerializeToString())
    request.setHeader("content-type", JSON_TYPE)
    text = json_format.MessageToJson(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return text.encode()


def _hash_token(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
