"""An in-memory platform store for tests and benchmarks; it can be made to fail."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from corianderwall.mesh.messages import MoveOrder, NodeRecord
from corianderwall.mesh.source import ConflictError, HistoryLostError, Reading, SourceError
from corianderwall.model.resource import MoveState, Snapshot

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
    config_revision: int = 0
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
        )

    async def read_config(self) -> Reading[Snapshot]:
        """Return the newest configuration, if there is one."""
        self._count_request()
        items = (self.snapshot,) if self.snapshot is not None else ()
        return Reading(items, self.revision)

    async def watch_config(self, revision: int, wait_s: float) -> Reading[Snapshot]:
        """Return the newest configuration, waiting until it is newer than `revision`."""
        await self._wait(lambda: self.config_revision > revision, wait_s)
        if self.snapshot is None or self.config_revision <= revision:
            return Reading((), self.revision)
        return Reading((self.snapshot,), self.revision)

    async def read_orders(self) -> Reading[MoveOrder]:
        """Return all move orders."""
        self._count_request()
        return Reading(tuple(self.orders.values()), self.revision)

    async def watch_orders(self, revision: int, wait_s: float) -> Reading[MoveOrder]:
        """Return the orders that are newer than `revision`, waiting for one."""
        await self._wait(
            lambda: any(order.revision > revision for order in self.orders.values()), wait_s
        )
        newer = tuple(order for order in self.orders.values() if order.revision > revision)
        return Reading(newer, self.revision)

    async def write_order_state(self, order: MoveOrder, state: MoveState) -> MoveOrder:
        """Write the state of `order` unless it has changed since."""
        self._count_request()
        if self.orders[order.service].revision != order.revision:
            raise ConflictError("the order has changed")
        written = msgspec.structs.replace(order, state=state, revision=self._advance())
        self.orders[order.service] = written
        return written

    async def announce_node(self, record: NodeRecord) -> None:
        """Write the record of a node."""
        self._count_request()
        self.nodes[record.name] = record
        self._advance()

    async def list_nodes(self, *, stale: bool) -> tuple[NodeRecord, ...]:
        """Return the records of all nodes."""
        self._count_request()
        return tuple(self.nodes.values())

    def _advance(self) -> int:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _count_request(self) -> None:
        self.calls += 1
        if self.failing:
            raise SourceError(self.failing)
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError("the history has expired")

    async def _wait(self, is_due: "Condition", wait_s: float) -> None:
        self._count_request()
        try:
            async with asyncio.timeout(wait_s):
                while not is_due():
                    await self._changed.wait()
        except TimeoutError:
            return
