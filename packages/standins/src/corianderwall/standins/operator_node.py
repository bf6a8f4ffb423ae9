"""A node that serves scripted responses to the operators' API."""

from typing import Any, cast

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from corianderwall.ctl.convert import build_error
from corianderwall.model.errors import CorianderwallError


class LostResponse:
    """Scripted response: close the connection without responding."""


class ScriptedNode:
    """Sends the next scripted response of each method, and repeats the last one."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, bytes]] = []
        self.authorizations: set[str] = set()
        self.address = ""
        self._script: dict[str, list[Any]] = {}
        self._listener: Any = None

    async def start(self) -> None:
        """Listen on a free port of 127.0.0.1 and set `address`."""
        app = Klein()
        app.route("/<service>/<method>", methods=["POST"])(self._serve)
        site = cast("Any", Site)(app.resource())
        self._listener = cast("Any", reactor).listenTCP(0, site, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self._listener.getHost().port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.stopListening()
            self._listener = None

    def set_responses(self, method: str, *responses: Any) -> None:
        """Set the responses of a method: messages, errors, lost responses or raw bytes."""
        self._script[method] = list(responses)

    def find_requests(self, method: str, request_type: Any) -> list[Any]:
        """Return the decoded requests that a method has received."""
        return [request_type.FromString(body) for name, body in self.requests if name == method]

    async def _serve(self, request: Any, service: str, method: str) -> bytes:
        self.requests.append((method, request.content.read()))
        self.authorizations.add(request.getHeader("authorization"))
        responses = self._script[method]
        response = responses.pop(0) if len(responses) > 1 else responses[0]
        if isinstance(response, LostResponse):
            request.transport.abortConnection()
            await Deferred()
        if isinstance(response, bytes):
            return response
        request.setHeader("content-type", "application/x-protobuf")
        if isinstance(response, CorianderwallError):
            request.setResponseCode(500)
            response = build_error(response, "")
        return cast("bytes", response.SerializeToString())
