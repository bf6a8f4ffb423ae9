"""Requests of restarted nodes for the platform's head, which wait for the next read of it."""

from dataclasses import dataclass

from corianderwall.distribution.messages import HeadResponse
from corianderwall.model.message import OutgoingMessage

MAX_WAITING = 2048
READ_INTERVAL_S = 0.2
"""The minimum time between two reads, so that one read serves many requests."""


@dataclass(frozen=True, slots=True)
class _Request:
    peer: str
    nonce: int
    arrived_at: float


class PendingHeadRequests:
    """Responds to each request with the result of a read that was sent after it had arrived."""

    def __init__(self, life_s: float) -> None:
        self._life_s = life_s
        self._waiting: dict[str, _Request] = {}
        self._next_read_at = 0.0

    def add(self, peer: str, nonce: int, now: float) -> None:
        """Add a request, which replaces an earlier one of the same peer."""
        held = self._waiting.get(peer)
        if held is not None and held.nonce == nonce:
            return
        if len(self._waiting) < MAX_WAITING:
            self._waiting[peer] = _Request(peer, nonce, now)

    def is_read_due(self, now: float) -> bool:
        """Return whether the head should be read now; if so, start the interval to the next."""
        expired = [
            peer for peer, each in self._waiting.items() if now - each.arrived_at > self._life_s
        ]
        for peer in expired:
            del self._waiting[peer]
        if not self._waiting or now < self._next_read_at:
            return False
        self._next_read_at = now + READ_INTERVAL_S
        return True

    def respond(self, version: int, asked_at: float) -> list[OutgoingMessage]:
        """Return the responses to the requests that had arrived when the read was sent."""
        covered = [each for each in self._waiting.values() if each.arrived_at <= asked_at]
        for request in covered:
            del self._waiting[request.peer]
        return [OutgoingMessage(each.peer, HeadResponse(each.nonce, version)) for each in covered]
