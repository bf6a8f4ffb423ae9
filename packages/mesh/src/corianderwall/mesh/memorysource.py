"""An in-memory platform store for tests and benchmarks; it can be made to fail."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from corianderwall.mesh.messages import Leave, MoveOrder, NodeRecord
from corianderwall.mesh.source import (
    CALL_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
    ConflictError,
    EvacuationChange,
    HistoryLostError,
    Position,
    Reading,
    SourceError,
)
from corianderwall.model.resource import MoveState, Snapshot
from corianderwall.traffic.suspects import SuspectRecord

Condition = Callable[[], bool]


@dataclass
class MemorySource:
    """Implements `Source`; all nodes of a test share one."""

    revision: int = 1
    failing: str = ""
    history_lost: bool = False
    calls: int = 0
    snapshot: Snapshot | None = None
    orders: dict[str, MoveOrder] = field(default_factory=dict)
    nodes: dict[str, NodeRecord] = field(default_factory=dict)
    suspects: dict[str, SuspectRecord] = field(default_factory=dict)
    leaves: dict[str, Leave] = field(default_factory=dict)
    evacuations: frozenset[str] = frozenset()
    evacuation_changes: tuple[tuple[int, EvacuationChange], ...] = ()
    config_revision: int = 0
    era: int = 1
    silent: bool = False
    _outages: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put_config(self, snapshot: Snapshot) -> None:
        """Write a configuration as an operator does."""
        self.snapshot = snapshot
        self.config_revision = self._advance()

    def put_order(self, service: str, version: str, duration_s: float) -> None:
        """Write a move order as an operator does."""
        revision = self._advance()
        self.orders[service] = MoveOrder(
            service=service,
            version=version,
            duration_s=duration_s,
            revision=revision,
            created=revision,
            era=self.era,
        )

    def put_evacuation(self, zone: str) -> None:
        """Order the evacuation of a zone as an operator does."""
        self.evacuations |= {zone}
        self._add_evacuation_change(EvacuationChange(zone))

    def delete_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone as an operator does."""
        self.evacuations -= {zone}
        self._add_evacuation_change(EvacuationChange(zone, ended=True))

    def _add_evacuation_change(self, change: EvacuationChange) -> None:
        self.evacuation_changes += ((self.revision + 1, change),)
        self._advance()

    def start_silence(self) -> None:
        """Lose the responses to all requests in progress and to new ones until `end_silence`."""
        self.silent = True
        self._outages += 1

    def end_silence(self) -> None:
        """Respond to new requests again; the responses lost so far stay lost."""
        self.silent = False

    def take_copy(self) -> "MemorySource":
        """Return a copy of the stored objects, for `restore_copy`."""
        return replace(
            self,
            orders=dict(self.orders),
            nodes=dict(self.nodes),
            suspects=dict(self.suspects),
            leaves=dict(self.leaves),
        )

    def restore_copy(self, copy: "MemorySource") -> None:
        """Come back from an earlier copy: later changes are gone, their revisions are reused."""
        self.era += 1
        self.revision, self.config_revision = copy.revision, copy.config_revision
        self.snapshot, self.orders, self.nodes = copy.snapshot, copy.orders, copy.nodes
        self.suspects, self.leaves = copy.suspects, copy.leaves
        self.evacuations, self.evacuation_changes = copy.evacuations, copy.evacuation_changes
        self._notify()

    @property
    def _position(self) -> Position:
        return Position(self.era, self.revision)

    async def read_config(self) -> Reading[Snapshot]:
        """Return the newest configuration, if there is one."""
        await self._admit()
        items = (self.snapshot,) if self.snapshot is not None else ()
        return Reading(items, self._position)

    async def watch_config(self, after: Position, wait_s: float) -> Reading[Snapshot]:
        """Return the newest configuration, waiting until it is newer than `after`."""
        await self._wait(lambda: self.config_revision > after.revision, after, wait_s)
        if self.snapshot is None or self.config_revision <= after.revision:
            return Reading((), self._position)
        return Reading((self.snapshot,), self._position)

    async def read_orders(self) -> Reading[MoveOrder]:
        """Return all move orders."""
        await self._admit()
        orders = (msgspec.structs.replace(each, era=self.era) for each in self.orders.values())
        return Reading(tuple(orders), self._position)

    async def watch_orders(self, after: Position, wait_s: float) -> Reading[MoveOrder]:
        """Return the orders that are newer than `after`, waiting for one."""

        def list_newer() -> tuple[MoveOrder, ...]:
            return tuple(each for each in self.orders.values() if each.revision > after.revision)

        await self._wait(lambda: bool(list_newer()), after, wait_s)
        return Reading(list_newer(), self._position)

    async def write_order_state(self, order: MoveOrder, state: MoveState) -> MoveOrder:
        """Write the state of `order` unless it has changed since."""
        await self._admit()
        stored = self.orders.get(order.service)
        if stored is None or (order.era, order.revision) != (self.era, stored.revision):
            raise ConflictError("the order has changed")
        written = msgspec.structs.replace(order, state=state, revision=self._advance())
        self.orders[order.service] = written
        return written

    async def read_evacuations(self) -> Reading[str]:
        """Return the zones that are evacuated."""
        await self._admit()
        return Reading(tuple(self.evacuations), self._position)

    async def watch_evacuations(self, after: Position, wait_s: float) -> Reading[EvacuationChange]:
        """Return the changes after `after`, waiting for one."""

        def list_newer() -> tuple[EvacuationChange, ...]:
            changes = self.evacuation_changes
            return tuple(each for revision, each in changes if revision > after.revision)

        await self._wait(lambda: bool(list_newer()), after, wait_s)
        return Reading(list_newer(), self._position)

    async def announce_node(self, record: NodeRecord) -> None:
        """Write the record of a node."""
        await self._admit()
        self.nodes[record.name] = record
        self._advance()

    async def list_nodes(self, *, stale: bool) -> tuple[NodeRecord, ...]:
        """Return the records of all nodes."""
        await self._admit()
        return tuple(self.nodes.values())

    async def list_suspects(self) -> tuple[SuspectRecord, ...]:
        """Return the quarantined requests, with the ages that they had when they were written."""
        await self._admit()
        return tuple(self.suspects.values())

    async def write_suspect(self, record: SuspectRecord) -> None:
        """Write the record of a quarantined request."""
        await self._admit()
        self.suspects[record.fingerprint] = record
        self._advance()

    async def delete_suspect(self, fingerprint: str) -> None:
        """Delete the record of a request."""
        await self._admit()
        if self.suspects.pop(fingerprint, None) is not None:
            self._advance()

    async def list_leaves(self, *, stale: bool) -> tuple[Leave, ...]:
        """Return the acknowledged leaves."""
        await self._admit()
        return tuple(self.leaves.values())

    async def write_leave(self, leave: Leave) -> None:
        """Write an acknowledged leave."""
        await self._admit()
        self.leaves[leave.endpoint] = leave
        self._advance()

    async def delete_leave(self, endpoint: str) -> None:
        """Delete the leave of an endpoint."""
        await self._admit()
        if self.leaves.pop(endpoint, None) is not None:
            self._advance()

    def _advance(self) -> int:
        self.revision += 1
        self._notify()
        return self.revision

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _count_request(self) -> None:
        self.calls += 1
        if self.failing:
            raise SourceError(self.failing)
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError("the history has expired")

    async def _admit(self) -> None:
        self._count_request()
        if self.silent:
            await self._lose_response(asyncio.get_running_loop().time() + CALL_TIMEOUT_S)

    async def _wait(self, is_due: "Condition", after: Position, wait_s: float) -> None:
        self._count_request()
        lost, outages = self.silent, self._outages
        end = asyncio.get_running_loop().time() + wait_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                while after.era == self.era and not is_due():
                    await self._changed.wait()
        if lost or outages != self._outages:
            await self._lose_response(end + WATCH_TIMEOUT_MARGIN_S)
        if after.era != self.era or after.revision > self.revision:
            raise HistoryLostError("the store has come back from an earlier copy")

    async def _lose_response(self, timeout_at: float) -> None:
        await asyncio.sleep(timeout_at - asyncio.get_running_loop().time())
        raise SourceError("no response")
