"""Gives the call path of this node access to the running moves."""

from typing import TYPE_CHECKING

from corianderwall.model.resource import Move, MoveState

if TYPE_CHECKING:
    from corianderwall.model.outcome import AttemptOutcome
    from corianderwall.model.resource import Snapshot
    from corianderwall.moves.agent import MoveAgent

NO_ENDPOINTS: frozenset[str] = frozenset()


class RunningMoves:
    """Asks the move agent about services that have a running move."""

    def __init__(self, agent: "MoveAgent") -> None:
        self._agent = agent
        self._running: dict[str, Move] = {}

    def update_snapshot(self, snapshot: "Snapshot") -> None:
        """Apply the active configuration."""
        self._agent.update_snapshot(snapshot)
        self._running = {
            move.service: move for move in snapshot.moves if move.state is MoveState.RUNNING
        }

    def choose_version(self, service: str, sticky: str = "") -> str:
        """Return the version for a call of a service under a move, empty without a move."""
        if service not in self._running:
            return ""
        return self._agent.choose_version(service, sticky)

    def record(self, outcome: "AttemptOutcome") -> None:
        """Count the outcome of one attempt of a call to a service under a move."""
        if outcome.service in self._running:
            self._agent.record(outcome)

    def list_ejected(self, service: str) -> frozenset[str]:
        """Return the endpoints that the running move of the service has ejected."""
        move = self._running.get(service)
        return NO_ENDPOINTS if move is None else frozenset(self._agent.cuts.list_ejected(move.id))
