"""A node that serves scripted responses to the operators' API."""

from typing import Any, cast

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from corianderwall.ctl.convert import build_error
from corianderwall.model.errors import CorianderwallError


class LostAnswer:
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

    def answer(self, method: str, *answers: Any) -> None:
        """Set the responses of a method: messages, errors, lost responses or raw bytes."""
        self._script[method] = list(answers)

    def find_requests(self, method: str, request_type: Any) -> list[Any]:
        """Return the decoded requests that a method has received."""
        return [request_type.FromString(body) for name, body in self.requests if name == method]

    async def _serve(self, request: Any, service: str, method: str) -> bytes:
        self.requests.append((method, request.content.read()))
        self.authorizations.add(request.getHeader("authorization"))
        answers = self._script[method]
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, LostAnswer):
            request.transport.abortConnection()
            await Deferred()
        if isinstance(answer, bytes):
            return answer
        request.setHeader("content-type", "application/x-protobuf")
        if isinstance(answer, CorianderwallError):
            request.setResponseCode(500)
            answer = build_error(answer, "")
        return cast("bytes", answer.SerializeToString())
