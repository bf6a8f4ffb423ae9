"""The life cycle of a node's process: starting, serving, draining, stopped."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from collections.abc import Callable


class NodeCycle(Protocol):
    """The inputs of the state machine of a node's process."""

    def begin_serving(self) -> None:
        """Enter the state serving once all sockets are open."""

    def signal(self) -> None:
        """Handle SIGTERM or SIGINT: the first drains, the second aborts the running calls."""

    def finish_drain(self) -> None:
        """Enter the state stopped once all calls have ended or were aborted."""

    def read_state(self) -> str:
        """Return starting, serving, draining, cutting or stopped."""


@dataclass(slots=True)
class CycleActions:
    """The actions that the transitions run."""

    drain: "Callable[[], None]"
    cut: "Callable[[], None]"
    stop: "Callable[[], None]"


def _build_cycle() -> "TypeMachineBuilder[NodeCycle, CycleActions]":
    builder = TypeMachineBuilder(NodeCycle, CycleActions)
    starting = builder.state("starting")
    serving = builder.state("serving")
    draining = builder.state("draining")
    cutting = builder.state("cutting")
    stopped = builder.state("stopped")

    def drain(cycle: NodeCycle, actions: CycleActions) -> None:
        actions.drain()

    def cut(cycle: NodeCycle, actions: CycleActions) -> None:
        actions.cut()

    def stop(cycle: NodeCycle, actions: CycleActions) -> None:
        actions.stop()

    starting.upon(NodeCycle.begin_serving).to(serving).returns(None)
    starting.upon(NodeCycle.signal).to(stopped)(stop)
    serving.upon(NodeCycle.signal).to(draining)(drain)
    draining.upon(NodeCycle.signal).to(cutting)(cut)
    cutting.upon(NodeCycle.signal).loop().returns(None)
    stopped.upon(NodeCycle.signal).loop().returns(None)
    stopped.upon(NodeCycle.begin_serving).loop().returns(None)
    stopped.upon(NodeCycle.finish_drain).loop().returns(None)
    for state in (draining, cutting):
        state.upon(NodeCycle.finish_drain).to(stopped)(stop)

    for state, name in (
        (starting, "starting"),
        (serving, "serving"),
        (draining, "draining"),
        (cutting, "cutting"),
        (stopped, "stopped"),
    ):
        state.upon(NodeCycle.read_state).loop().returns(name)
    return builder


create_cycle = _build_cycle().build()
"""Returns a new `NodeCycle` in the state starting, given its `CycleActions`."""
