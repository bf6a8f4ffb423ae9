"""The life cycle of a node's process: starting, serving, draining, stopped."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from automat import TypeMachineBuilder

if TYPE_CHECKING:
    from collections.abc import Callable


class NodeLifecycle(Protocol):
    """The inputs of the state machine of a node's process."""

    def begin_serving(self) -> None:
        """Enter the state serving once all sockets are open."""

    def handle_signal(self) -> None:
        """Handle SIGTERM or SIGINT: the first drains, the second aborts the running calls."""

    def finish_drain(self) -> None:
        """Enter the state stopped once all calls have ended or were aborted."""

    def read_state(self) -> str:
        """Return starting, serving, draining, cutting or stopped."""


@dataclass(slots=True)
class LifecycleActions:
    """The actions that the transitions run."""

    drain: "Callable[[], None]"
    abort_calls: "Callable[[], None]"
    stop: "Callable[[], None]"


def _build_lifecycle() -> "TypeMachineBuilder[NodeLifecycle, LifecycleActions]":
    builder = TypeMachineBuilder(NodeLifecycle, LifecycleActions)
    starting = builder.state("starting")
    serving = builder.state("serving")
    draining = builder.state("draining")
    cutting = builder.state("cutting")
    stopped = builder.state("stopped")

    def drain(lifecycle: NodeLifecycle, actions: LifecycleActions) -> None:
        actions.drain()

    def abort_calls(lifecycle: NodeLifecycle, actions: LifecycleActions) -> None:
        actions.abort_calls()

    def stop(lifecycle: NodeLifecycle, actions: LifecycleActions) -> None:
        actions.stop()

    starting.upon(NodeLifecycle.begin_serving).to(serving).returns(None)
    starting.upon(NodeLifecycle.handle_signal).to(stopped)(stop)
    serving.upon(NodeLifecycle.handle_signal).to(draining)(drain)
    draining.upon(NodeLifecycle.handle_signal).to(cutting)(abort_calls)
    cutting.upon(NodeLifecycle.handle_signal).loop().returns(None)
    stopped.upon(NodeLifecycle.handle_signal).loop().returns(None)
    stopped.upon(NodeLifecycle.begin_serving).loop().returns(None)
    stopped.upon(NodeLifecycle.finish_drain).loop().returns(None)
    for state in (draining, cutting):
        state.upon(NodeLifecycle.finish_drain).to(stopped)(stop)

    for state, name in (
        (starting, "starting"),
        (serving, "serving"),
        (draining, "draining"),
        (cutting, "cutting"),
        (stopped, "stopped"),
    ):
        state.upon(NodeLifecycle.read_state).loop().returns(name)
    return builder


create_lifecycle = _build_lifecycle().build()
"""Returns a new `NodeLifecycle` in the state starting, given its `LifecycleActions`."""
