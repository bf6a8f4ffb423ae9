"""What an owner is asked and what it answers, whether it is this node or another one."""

from dataclasses import dataclass
from typing import Protocol

from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.exchange import Answer
from corianderwall.mesh.messages import AnswerMetadata, CallMetadata


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request, whole; `headers` are end to end and without this system's own."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """The owner's account of a call, with the endpoint's answer if there is one."""

    note: AnswerMetadata
    answer: Answer | None = None


class Owner(Protocol):
    """Runs calls at one endpoint."""

    async def serve(self, note: CallMetadata, request: ForwardedRequest) -> OwnerAnswer:
        """Return when the call has ended; cancelling gives it up at the endpoint too."""
