"""Fetching what this node lacks, from one peer at a time."""

from dataclasses import dataclass

from corianderwall.distribution.history import History
from corianderwall.distribution.messages import CatchUpRequest
from corianderwall.model.message import OutgoingMessage


@dataclass(frozen=True, slots=True)
class _Exchange:
    peer: str
    deadline: float


class CatchUp:
    """Keeps at most one request under way; another peer is asked once its deadline is over."""

    def __init__(self, history: History, wait_s: float) -> None:
        self._history = history
        self._wait_s = wait_s
        self._exchange: _Exchange | None = None

    def request(self, peer: str, now: float) -> list[OutgoingMessage]:
        """Ask a peer that holds a newer version, unless another request is under way."""
        if self._exchange is not None and now < self._exchange.deadline:
            return []
        self._exchange = _Exchange(peer, now + self._wait_s)
        message = CatchUpRequest(self._history.version, self._history.digest)
        return [OutgoingMessage(peer, message)]

    def note_progress(self, peer: str, now: float) -> None:
        """Wait longer for a peer that is sending parts."""
        if self._exchange is not None and self._exchange.peer == peer:
            self._exchange = _Exchange(peer, now + self._wait_s)

    def finish(self) -> None:
        """Allow the next request, for something newer was taken over or refused."""
        self._exchange = None
