"""Requests for newer snapshots, to one peer at a time."""

from dataclasses import dataclass

from corianderwall.distribution.history import History
from corianderwall.distribution.messages import CatchUpRequest
from corianderwall.model.message import OutgoingMessage


@dataclass(frozen=True, slots=True)
class _Exchange:
    peer: str
    deadline: float


class CatchUp:
    """Allows one pending request; another peer may be asked once the request has timed out."""

    def __init__(self, history: History, wait_s: float) -> None:
        self._history = history
        self._wait_s = wait_s
        self._exchange: _Exchange | None = None

    def request(self, peer: str, now: float) -> list[OutgoingMessage]:
        """Ask a peer that holds a newer version, unless another request is pending."""
        if self._exchange is not None and now < self._exchange.deadline:
            return []
        self._exchange = _Exchange(peer, now + self._wait_s)
        message = CatchUpRequest(self._history.version, self._history.digest)
        return [OutgoingMessage(peer, message)]

    def extend_deadline(self, peer: str, now: float) -> None:
        """Extend the deadline of a peer that is sending parts."""
        if self._exchange is not None and self._exchange.peer == peer:
            self._exchange = _Exchange(peer, now + self._wait_s)

    def finish(self) -> None:
        """End the pending request, since a newer snapshot was stored or an update was refused."""
        self._exchange = None
