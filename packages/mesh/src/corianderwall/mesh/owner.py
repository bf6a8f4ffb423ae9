"""The interface of an owner, whether it is this node or a peer."""

from dataclasses import dataclass
from typing import Protocol

from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.exchange import Response
from corianderwall.mesh.messages import CallMetadata, ResponseMetadata


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The complete request of a caller; `headers` holds no hop-by-hop headers or mesh headers."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class OwnerResponse:
    """The report of an owner on a call, with the response of the endpoint if there is one."""

    metadata: ResponseMetadata
    response: Response | None = None


class Owner(Protocol):
    """Runs calls at one endpoint."""

    async def serve(self, metadata: CallMetadata, request: ForwardedRequest) -> OwnerResponse:
        """Run the call and return its outcome; cancelling also cancels it at the endpoint."""
