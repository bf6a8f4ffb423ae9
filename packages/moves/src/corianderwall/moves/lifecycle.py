"""The life cycle of a move at its controller.

Once decided, an end stays decided; only a completion that is not committed can be overruled.
"""

from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from corianderwall.model.resource import PERMILLE, Move, MoveState


class LifeCycle(Protocol):
    """Inputs of the state machine."""

    def observe_partial_share(self) -> None:
        """Handle a committed share of some but not all calls."""

    def observe_full_share(self) -> None:
        """Handle a committed share of all calls."""

    def complete(self, cause: str, evidence: str) -> None:
        """Decide to complete the move; ignored while the new version has no share."""

    def take_back(self, cause: str, evidence: str) -> None:
        """Decide to roll the move back; overrules a completion that is not committed yet."""

    def observe_end(self) -> None:
        """Handle the end of the move in the snapshot, whichever node or operator wrote it."""

    def read_decision(self) -> MoveState:
        """Return the decided end state, or `RUNNING` if there is none."""


@dataclass(slots=True)
class EndReason:
    """The cause and evidence of the decided end, which the state machine fills in."""

    cause: str = ""
    evidence: str = ""


_builder = TypeMachineBuilder(LifeCycle, EndReason)
_waiting = _builder.state("waiting")
_rising = _builder.state("rising")
_soaking = _builder.state("soaking")
_completing = _builder.state("completing")
_taking_back = _builder.state("taking_back")
_ended = _builder.state("ended")


def _record_reason(life: LifeCycle, core: EndReason, cause: str, evidence: str) -> None:
    core.cause = cause
    core.evidence = evidence


_waiting.upon(LifeCycle.observe_partial_share).to(_rising).returns(None)
_rising.upon(LifeCycle.observe_partial_share).loop().returns(None)
for _state in (_waiting, _rising, _soaking):
    _state.upon(LifeCycle.observe_full_share).to(_soaking).returns(None)
    _state.upon(LifeCycle.take_back).to(_taking_back)(_record_reason)
    _state.upon(LifeCycle.read_decision).loop().returns(MoveState.RUNNING)
for _state in (_rising, _soaking):
    _state.upon(LifeCycle.complete).to(_completing)(_record_reason)
_waiting.upon(LifeCycle.complete).loop().returns(None)
_soaking.upon(LifeCycle.observe_partial_share).loop().returns(None)
_completing.upon(LifeCycle.take_back).to(_taking_back)(_record_reason)
_completing.upon(LifeCycle.complete).loop().returns(None)
_completing.upon(LifeCycle.read_decision).loop().returns(MoveState.COMPLETED)
_taking_back.upon(LifeCycle.complete).loop().returns(None)
_taking_back.upon(LifeCycle.take_back).loop().returns(None)
_taking_back.upon(LifeCycle.read_decision).loop().returns(MoveState.TAKEN_BACK)
for _state in (_completing, _taking_back):
    _state.upon(LifeCycle.observe_partial_share).loop().returns(None)
    _state.upon(LifeCycle.observe_full_share).loop().returns(None)
for _state in (_waiting, _rising, _soaking, _completing, _taking_back):
    _state.upon(LifeCycle.observe_end).to(_ended).returns(None)
_ended.upon(LifeCycle.observe_end).loop().returns(None)
_ended.upon(LifeCycle.observe_partial_share).loop().returns(None)
_ended.upon(LifeCycle.observe_full_share).loop().returns(None)
_ended.upon(LifeCycle.complete).loop().returns(None)
_ended.upon(LifeCycle.take_back).loop().returns(None)
_ended.upon(LifeCycle.read_decision).loop().returns(MoveState.RUNNING)

_build_machine = _builder.build()


def start_lifecycle(reason: EndReason) -> LifeCycle:
    """Return a state machine that stores the cause of the end in `reason`."""
    return _build_machine(reason)


def observe_move(life: LifeCycle, move: Move) -> None:
    """Update the state machine with the move's state in the snapshot."""
    if move.state is not MoveState.RUNNING:
        life.observe_end()
    elif move.share_permille >= PERMILLE:
        life.observe_full_share()
    elif move.share_permille > 0:
        life.observe_partial_share()
