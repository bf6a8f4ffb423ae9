"""Client of the operators' calls, which tries the given nodes in order."""

from typing import Any, TypeVar

import treq
from google.protobuf.message import DecodeError, Message
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import readBody

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.convert import read_error
from corianderwall.ctl.failures import NodesUnreachableError
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.store.http_api import NOT_SENT_ERRORS

Response = TypeVar("Response", bound=Message)

PATH_PREFIX = "/corianderwall.v1.Operators/"
MEDIA_TYPE = "application/x-protobuf"
ATTEMPT_TIMEOUT_S = 20.0
ROUND_PAUSE_S = 0.5
"""Pause after all nodes were tried, before the first is tried again."""

RETRYABLE_CODES = frozenset(
    {
        ErrorCode.NOT_READY,
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.PLATFORM_UNAVAILABLE,
        ErrorCode.PLATFORM_THROTTLED,
        ErrorCode.CONFLICT,
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.INTERNAL,
    }
)


class OperatorClient:
    """Calls the first node that responds; a change has an operation id, so retries are safe."""

    def __init__(self, reactor: Any, nodes: tuple[str, ...], token: str) -> None:
        self._reactor = reactor
        self._urls = tuple(_build_base_url(node) for node in nodes)
        self._token = token

    async def call(
        self, method: str, request: Any, response_type: type[Response], *, deadline: float
    ) -> Response:
        """Return the response of the first node that sends one before the deadline.

        The deadline is a time of `reactor.seconds()`. After an attempt that may have taken
        effect, only a successful response settles the outcome; every error is raised as
        `OUTCOME_UNKNOWN` instead.
        """
        effect_unknown = False
        while True:
            for url in self._urls:
                error, response = await self._attempt(
                    url + method, request, response_type, deadline
                )
                if response is not None:
                    return response
                effect_unknown = effect_unknown or error.effect is Effect.UNKNOWN
                if error.code not in RETRYABLE_CODES:
                    raise _build_final_error(error, effect_unknown)
                _mark_as_repeated(request)
            if self._reactor.seconds() + ROUND_PAUSE_S >= deadline:
                raise _build_final_error(error, effect_unknown)
            await deferLater(self._reactor, ROUND_PAUSE_S)

    async def _attempt(
        self, url: str, request: Any, response_type: type[Response], deadline: float
    ) -> tuple[CorianderwallError, Response | None]:
        unreachable_error = NodesUnreachableError("no node could be reached before the deadline")
        timeout_s = min(ATTEMPT_TIMEOUT_S, deadline - self._reactor.seconds())
        if timeout_s <= 0:
            return unreachable_error, None
        exchange = Deferred.fromCoroutine(self._exchange(url, request.SerializeToString()))
        exchange.addTimeout(timeout_s, self._reactor)
        try:
            status, body = await exchange
            if status != 200:
                return _read_failure(body), None
            return unreachable_error, response_type.FromString(body)
        except NOT_SENT_ERRORS as error:
            return NodesUnreachableError(f"no node could be reached: {error!r}"), None
        except Exception as error:
            return _build_lost_response(request, error), None

    async def _exchange(self, url: str, body: bytes) -> tuple[int, bytes]:
        headers = {"content-type": MEDIA_TYPE, "authorization": f"Bearer {self._token}"}
        response = await treq.post(
            url,
            body,
            headers=headers,
            persistent=False,
            unbuffered=True,
            reactor=self._reactor,
        )
        body = await readBody(response)
        media_type = (response.headers.getRawHeaders("content-type") or [""])[0]
        if media_type != MEDIA_TYPE:
            raise DecodeError(f"the response has the media type {media_type!r}")
        return response.code, body


def _build_base_url(node: str) -> str:
    base = node if "://" in node else f"http://{node}"
    return base.rstrip("/") + PATH_PREFIX


def _is_change(request: Any) -> bool:
    return "identity" in request.DESCRIPTOR.fields_by_name


def _mark_as_repeated(request: Any) -> None:
    if _is_change(request):
        request.identity.repeated_call = True


def _read_failure(body: bytes) -> CorianderwallError:
    try:
        return read_error(pb.Error.FromString(body))
    except DecodeError:
        return CorianderwallError(
            ErrorCode.INTERNAL, "the response does not come from a node", effect=Effect.UNKNOWN
        )


def _build_lost_response(request: Any, error: Exception) -> CorianderwallError:
    if _is_change(request):
        return CorianderwallError(
            ErrorCode.OUTCOME_UNKNOWN, "the node's response was lost", effect=Effect.UNKNOWN
        )
    return NodesUnreachableError(f"the node's response was lost: {error!r}")


def _build_final_error(error: CorianderwallError, effect_unknown: bool) -> CorianderwallError:
    if not effect_unknown:
        return error
    return CorianderwallError(
        ErrorCode.OUTCOME_UNKNOWN,
        f"an earlier attempt may still take effect; the last attempt failed: {error.sentence}",
        effect=Effect.UNKNOWN,
        retry_after_s=error.retry_after_s,
    )
