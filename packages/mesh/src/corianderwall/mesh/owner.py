"""The interface of an owner, whether it is this node or a peer."""

from dataclasses import dataclass
from typing import Protocol

from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.exchange import Response
from corianderwall.mesh.messages import CallMetadata, ResponseMetadata
from corianderwall.traffic.fingerprint import compute_fingerprint


class RequestBody(Protocol):
    """The body of a request, of which a part may still be on the way."""

    async def read(self) -> bytes | None:
        """Return the whole body, or None if the rest of it will not arrive."""

    def expire(self) -> None:
        """Give up the rest of the body, as it has not been received in time."""


@dataclass(frozen=True, slots=True)
class ReceivedBody:
    """A body that has been received."""

    data: bytes

    async def read(self) -> bytes:
        """Return the body."""
        return self.data

    def expire(self) -> None:
        """Do nothing, as the body is complete."""


EMPTY_BODY = ReceivedBody(b"")


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The request of a caller; `headers` holds no hop-by-hop headers or mesh headers."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: RequestBody = EMPTY_BODY

    def compute_fingerprint(self, caller: str, body: bytes) -> str:
        """Return what tells whether this is another attempt of a request, given its `body`."""
        host = next((value for name, value in self.headers if name == b"host"), b"")
        return compute_fingerprint(
            caller=caller,
            method=self.method,
            destination=host.lower(),
            target=self.target,
            body=body,
        )


@dataclass(frozen=True, slots=True)
class OwnerResponse:
    """The report of an owner on a call, with the response of the endpoint if there is one."""

    metadata: ResponseMetadata
    response: Response | None = None


class Owner(Protocol):
    """Runs calls at one endpoint."""

    async def serve(self, metadata: CallMetadata, request: ForwardedRequest) -> OwnerResponse:
        """Run the call and return its outcome; cancelling also cancels it at the endpoint."""
