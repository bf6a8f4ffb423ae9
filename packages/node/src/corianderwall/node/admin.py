"""The node's HTTP interface to operators, to Prometheus and to the upstream beside it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Protocol

import msgspec
from klein import Klein
from msgspec import Meta

from corianderwall.model.endpoint import EndpointState
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.node.metrics import render_metrics

if TYPE_CHECKING:
    from aioprometheus import Registry
    from twisted.web.server import Request

MAX_ANNOUNCEMENT_BYTES = 4096

_Name = Annotated[str, Meta(min_length=1, max_length=63)]


class Announcement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The state that an upstream reports to the node beside it."""

    service: _Name
    version: _Name
    host: Annotated[str, Meta(min_length=1, max_length=253)]
    port: Annotated[int, Meta(gt=0, lt=65536)]
    slots: Annotated[int, Meta(gt=0, le=10_000)]
    connections: Annotated[int, Meta(gt=0, le=100_000)]
    state: EndpointState = EndpointState.READY


class UpstreamListener(Protocol):
    """Receives the announcements of the upstream beside the node."""

    def announce_upstream(self, announcement: Announcement) -> None:
        """Record that the upstream is present, or that it is draining."""

    def withdraw_upstream(self) -> None:
        """Record that the upstream has left."""


@dataclass(frozen=True, slots=True)
class Health:
    """The readiness of the node, as /health and /ready report it."""

    ready: bool
    reason: str
    version: int


class AdminInterface:
    """Serves /health, /ready, /metrics and /upstream/announcement."""

    app = Klein()

    def __init__(
        self,
        *,
        registry: "Registry",
        read_health: Callable[[], Health],
        refresh_metrics: Callable[[], None],
        upstream: UpstreamListener,
    ) -> None:
        self._registry = registry
        self._read_health = read_health
        self._refresh_metrics = refresh_metrics
        self._upstream = upstream

    @app.route("/health")
    def show_health(self, request: "Request") -> bytes:
        """Respond with 200 while the process runs."""
        return _respond(request, 200, self._read_health())

    @app.route("/ready")
    def show_readiness(self, request: "Request") -> bytes:
        """Respond with 200 while the node serves calls, with 503 and the reason otherwise."""
        health = self._read_health()
        return _respond(request, 200 if health.ready else 503, health)

    @app.route("/metrics")
    def show_metrics(self, request: "Request") -> bytes:
        """Respond with the metrics in a format that the scraper accepts."""
        self._refresh_metrics()
        accept = request.requestHeaders.getRawHeaders("accept", [])
        body, headers = render_metrics(self._registry, list(accept))
        for name, value in headers.items():
            request.setHeader(name, value)
        return body

    @app.route("/upstream/announcement", methods=["PUT"])
    def announce(self, request: "Request") -> bytes:
        """Process an announcement of the upstream beside this node."""
        try:
            announcement = _decode_announcement(read_body(request, MAX_ANNOUNCEMENT_BYTES))
        except CorianderwallError as error:
            return _respond(request, 400, {"code": error.code.value, "sentence": error.sentence})
        self._upstream.announce_upstream(announcement)
        request.setResponseCode(204)
        return b""

    @app.route("/upstream/announcement", methods=["DELETE"])
    def withdraw(self, request: "Request") -> bytes:
        """Take the upstream beside this node out of service."""
        self._upstream.withdraw_upstream()
        request.setResponseCode(204)
        return b""


def read_body(request: "Request", max_bytes: int) -> bytes:
    """Return the body of `request`, or raise `TOO_LARGE`."""
    data: bytes = request.content.read(max_bytes + 1) if request.content else b""
    if len(data) > max_bytes:
        raise CorianderwallError(ErrorCode.TOO_LARGE, f"the body is over {max_bytes} bytes")
    return data


def _decode_announcement(data: bytes) -> Announcement:
    try:
        return msgspec.json.decode(data, type=Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(
            ErrorCode.INVALID_ARGUMENT, f"the body is not a valid announcement: {error}"
        ) from error


def _respond(request: "Request", status: int, body: object) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(body)
