"""HTTP client of the platform's object API."""

from typing import TYPE_CHECKING, Any, cast
from urllib.parse import quote

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.store.api import StoredObject, combine_revision, split_revision

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_VALUE_BYTES = 1 << 20
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
IDLE_CONNECTION_TIMEOUT_S = 20.0
MAX_IDLE_CONNECTIONS = 4
ERA_HEADER = "store-era"
"""Rises by one each time the platform comes back from an earlier copy."""

NOT_SENT_ERRORS = (ConnectError, ConnectingCancelledError)
"""Errors raised before a connection exists, when no data was sent."""


class HttpObjectApi:
    """Implements `ObjectApi` without retrying calls."""

    def __init__(self, reactor: Any, base_url: str, *, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool: Any = cast("Any", HTTPConnectionPool)(reactor, persistent=True)
        # The library would retry a DELETE whose response was lost and report a false conflict.
        self._pool.retryAutomatically = False
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        agent = cast("Any", Agent)(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent)
        self._era: int | None = None

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        response = await self._call("GET", self._build_url(key), self._timeout_s)
        if response.status == 404:
            return None
        response.require_status(200)
        return StoredObject(key=key, value=response.body, revision=response.read_revision())

    async def write_if(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write if the object has the expected revision and return the new revision."""
        headers = self._build_if_match_header(expected_revision)
        response = await self._call(
            "PUT", self._build_url(key), self._timeout_s, headers=headers, data=value
        )
        response.require_status(200)
        if expected_revision and response.era != split_revision(expected_revision)[0]:
            # The platform has given out this counter again; the write replaced another state.
            raise _build_call_error("PUT", ValueError("the platform is in another era"))
        return response.read_revision()

    async def delete_if(self, key: str, *, expected_revision: int) -> None:
        """Delete the object if it has the expected revision."""
        headers = self._build_if_match_header(expected_revision)
        response = await self._call(
            "DELETE", self._build_url(key), self._timeout_s, headers=headers
        )
        response.require_status(204)

    async def watch(self, key: str, *, after_revision: int, wait_s: float) -> StoredObject | None:
        """Return the object once its revision exceeds `after_revision`, or None after `wait_s`."""
        era, counter = split_revision(after_revision)
        url = f"{self._build_url(key)}?after={counter}&wait_ms={int(wait_s * 1000)}"
        response = await self._call("GET", url, wait_s + self._timeout_s)
        if after_revision and response.era != era:
            return await self.read(key)
        if response.status in (304, 404):
            return None
        response.require_status(200)
        return StoredObject(key=key, value=response.body, revision=response.read_revision())

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that start with `prefix`, sorted."""
        url = f"{self._base_url}/objects?prefix={quote(prefix, safe='')}"
        response = await self._call("GET", url, self._timeout_s)
        response.require_status(200)
        try:
            return tuple(sorted(msgspec.json.decode(response.body, type=list[str])))
        except msgspec.DecodeError as error:
            raise _build_unavailable(f"the list of keys is malformed: {error}") from error

    def _build_if_match_header(self, expected_revision: int) -> dict[str, str]:
        era, counter = split_revision(expected_revision)
        if expected_revision and self._era not in (None, era):
            raise CorianderwallError(
                ErrorCode.CONFLICT, "the platform has come back from an earlier copy"
            )
        return {"if-match": f'"{counter}"'}

    def _build_url(self, key: str) -> str:
        return f"{self._base_url}/objects/{quote(key)}"

    async def _call(self, method: str, url: str, timeout_s: float, **options: Any) -> "_Response":
        exchange = Deferred.fromCoroutine(self._exchange(method, url, options))
        exchange.addTimeout(timeout_s, self._reactor)
        try:
            return await exchange
        except CorianderwallError:
            raise
        except Exception as error:
            raise _build_call_error(method, error) from error

    async def _exchange(self, method: str, url: str, options: dict[str, Any]) -> "_Response":
        request: Callable[..., Awaitable[Any]] = self._client.request
        response = await request(method, url, unbuffered=True, **options)
        body = await readBody(response)
        if len(body) > MAX_VALUE_BYTES and method == "GET" and "?prefix=" not in url:
            raise _build_unavailable("the value is larger than the platform allows")
        headers = response.headers
        raw_era = _read_header(headers, ERA_HEADER)
        era = int(raw_era) if raw_era.isdigit() else self._era or 0
        self._era = max(era, self._era or 0)
        return _Response(
            method=method,
            status=response.code,
            body=body,
            tag=_read_header(headers, "etag"),
            retry_after=_read_header(headers, "retry-after"),
            era=era,
        )


class _Response(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP response of the object API."""

    method: str
    status: int
    body: bytes
    tag: str
    retry_after: str
    era: int

    def require_status(self, status: int) -> None:
        """Raise the error for the response's status if it is not the expected one."""
        if self.status != status:
            raise self._build_status_error()

    def read_revision(self) -> int:
        """Return the revision in the ETag; a response without one counts as lost."""
        digits = self.tag.strip('"')
        if not digits.isdigit():
            raise _build_call_error(self.method, ValueError("the response has no revision"))
        return combine_revision(self.era, int(digits))

    def _build_status_error(self) -> CorianderwallError:
        if self.status == 412:
            return CorianderwallError(ErrorCode.CONFLICT, "the object has another revision")
        if self.status == 413:
            return CorianderwallError(ErrorCode.TOO_LARGE, "the value is too large to be stored")
        if self.status == 429:
            wait_s = float(self.retry_after) if self.retry_after.isdigit() else 1.0
            return CorianderwallError(
                ErrorCode.PLATFORM_THROTTLED, "the platform throttles calls", retry_after_s=wait_s
            )
        if self.status == 503:
            return _build_unavailable("the platform reports that it is unavailable")
        return _build_call_error(self.method, ValueError(f"unexpected status {self.status}"))


def _build_call_error(method: str, error: Exception) -> CorianderwallError:
    """Return the error of a call without a valid response; only a write may have had an effect."""
    if method == "GET" or isinstance(error, NOT_SENT_ERRORS):
        return _build_unavailable(f"no valid response from the platform: {error!r}")
    return CorianderwallError(
        ErrorCode.OUTCOME_UNKNOWN, "the response to a write was lost", effect=Effect.UNKNOWN
    )


def _build_unavailable(message: str) -> CorianderwallError:
    return CorianderwallError(ErrorCode.PLATFORM_UNAVAILABLE, message)


def _read_header(headers: Any, name: str) -> str:
    values = headers.getRawHeaders(name)
    return str(values[0]) if values else ""
