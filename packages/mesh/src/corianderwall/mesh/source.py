"""The interface of the mesh to the platform's store; the adapter implements it."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from corianderwall.mesh.messages import Leave, MoveOrder, NodeRecord
from corianderwall.model.resource import MoveState, Snapshot
from corianderwall.traffic.suspects import SuspectRecord

CALL_TIMEOUT_S = 1.5
"""Time after which a request that is not a watch has failed; hundreds of usual response times."""
WATCH_TIMEOUT_MARGIN_S = 0.5
"""Time after the end of a watch's wait at which its response counts as lost."""

Item = TypeVar("Item")


class SourceError(Exception):
    """A request to the platform failed; `reason` names the kind of failure for the log."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HistoryLostError(SourceError):
    """The changes since the given revision have expired; everything must be read again."""


class ConflictError(SourceError):
    """The object has been changed since it was read."""


@dataclass(frozen=True, slots=True)
class Position:
    """A state of the store.

    A store that comes back from an earlier copy starts the next `era` and gives out the revisions
    after that copy again, so that revisions of different eras can't be compared.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Reading(Generic[Item]):
    """The result of a read or a watch, and the position from which to watch next."""

    items: tuple[Item, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An order to evacuate a zone, or the end of one."""

    zone: str
    ended: bool = False


class Source(Protocol):
    """The platform's store; each method makes one request, or a few for a long list.

    Without a response, a request raises `SourceError` after `CALL_TIMEOUT_S`, a watch
    `WATCH_TIMEOUT_MARGIN_S` after the end of its wait.
    """

    async def read_config(self) -> Reading[Snapshot]:
        """Return the newest configuration, if there is one."""

    async def watch_config(self, after: Position, wait_s: float) -> Reading[Snapshot]:
        """Return the configurations written after `after`, waiting until there is one.

        Raise `HistoryLostError` if the store no longer has that position.
        """

    async def read_orders(self) -> Reading[MoveOrder]:
        """Return all move orders."""

    async def watch_orders(self, after: Position, wait_s: float) -> Reading[MoveOrder]:
        """Return the orders written after `after`, waiting until there is one.

        Raise `HistoryLostError` if the store no longer has that position.
        """

    async def write_order_state(self, order: MoveOrder, state: MoveState) -> MoveOrder:
        """Write the state of `order` unless it has changed since; return it as written.

        Raise `ConflictError` if it has changed, or if the store is in another era.
        """

    async def read_evacuations(self) -> Reading[str]:
        """Return the zones that are evacuated."""

    async def watch_evacuations(self, after: Position, wait_s: float) -> Reading[EvacuationChange]:
        """Return the changes after `after` in their order, waiting until there is one.

        Raise `HistoryLostError` if the store no longer has that position.
        """

    async def announce_node(self, record: NodeRecord) -> None:
        """Write the record of this node."""

    async def list_nodes(self, *, stale: bool) -> tuple[NodeRecord, ...]:
        """Return the records of all nodes; a `stale` list costs a tenth and may be seconds old."""

    async def list_suspects(self) -> tuple[SuspectRecord, ...]:
        """Return the requests that a fleet has written as quarantined; maybe seconds old."""

    async def write_suspect(self, record: SuspectRecord) -> None:
        """Write the record of a quarantined request, in place of an earlier one."""

    async def delete_suspect(self, fingerprint: str) -> None:
        """Delete the record of a request, if there is one."""

    async def list_leaves(self, *, stale: bool) -> tuple[Leave, ...]:
        """Return the acknowledged leaves of endpoints; a `stale` list may be seconds old."""

    async def write_leave(self, leave: Leave) -> None:
        """Write a leave, in place of an earlier one of the same endpoint."""

    async def delete_leave(self, endpoint: str) -> None:
        """Delete the leave of an endpoint, if there is one."""
