"""Controls the running moves for which this node holds the lease."""

from typing import TYPE_CHECKING

from corianderwall.model.change import AdvanceMove, EndMove, Operation
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import MoveState
from corianderwall.moves.control import HeldLease
from corianderwall.node.logs import log_info, log_warning
from corianderwall.store.lease import LeaseKeeper
from corianderwall.store.operation import make_operation_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from corianderwall.model.resource import Move, Snapshot
    from corianderwall.moves.agent import MoveAgent
    from corianderwall.node.serviceload import ServiceLoad
    from corianderwall.store.api import ObjectApi
    from corianderwall.store.commit import CommitResult
    from corianderwall.store.head import HeadStore
    from corianderwall.store.timer import Timer

LEASE_TTL_S = 10.0
RENEW_BEFORE_S = 6.0
COMMIT_TIMEOUT_S = 4.0

SECOND_AGGREGATOR_DELAY_S = 5.0
"""Delay before other aggregators contend for the lease; the first one has more evidence."""

_EXPECTED_ERRORS = frozenset((ErrorCode.STALE_VERSION, ErrorCode.LEASE_LOST, ErrorCode.NOT_FOUND))
"""Errors of a change when another holder or an operator has changed the move first."""


class MoveCoordinator:
    """Contends for the leases of the moves that this node aggregates and commits their changes.

    Two holders are safe: each change names the step it follows and carries a fencing token.
    """

    def __init__(
        self,
        *,
        agent: "MoveAgent",
        api: "ObjectApi",
        store: "HeadStore",
        timer: "Timer",
        random: "Random",
        node: str,
        deliver: "Callable[[CommitResult], None]",
        measure_service: "Callable[[str], Awaitable[ServiceLoad]]",
    ) -> None:
        self._agent = agent
        self._api = api
        self._store = store
        self._timer = timer
        self._random = random
        self._node = node
        self._deliver = deliver
        self._measure_service = measure_service
        self._keepers: dict[str, LeaseKeeper] = {}
        self._first_seen_at: dict[str, float] = {}

    async def coordinate(self, snapshot: "Snapshot") -> None:
        """Commit the due change of each running move; the next call retries after errors."""
        running = {move.id: move for move in snapshot.moves if move.state is MoveState.RUNNING}
        for move_id in [move_id for move_id in self._keepers if move_id not in running]:
            await self._release(move_id)
        self._first_seen_at = {
            move_id: at for move_id, at in self._first_seen_at.items() if move_id in running
        }
        for move in running.values():
            if not self._may_acquire_lease(move.id):
                continue
            try:
                await self._coordinate_move(move)
            except CorianderwallError as error:
                self._log_error(move, error)

    def _may_acquire_lease(self, move_id: str) -> bool:
        if not self._agent.is_aggregator(move_id):
            return False
        now = self._timer.read_monotonic()
        seen_at = self._first_seen_at.setdefault(move_id, now)
        is_first = self._agent.list_aggregators(move_id)[0] == self._node
        return is_first or now >= seen_at + SECOND_AGGREGATOR_DELAY_S

    async def stop(self) -> None:
        """Release all leases so that other nodes take over at once."""
        for move_id in list(self._keepers):
            await self._release(move_id)

    async def _coordinate_move(self, move: "Move") -> None:
        lease = await self._hold_lease(move.id)
        if lease is None:
            return
        load = await self._measure_service(move.service)
        change = self._agent.decide(
            move.id,
            lease,
            load.busy_slots,
            self._timer.read_monotonic(),
            int(self._timer.read_unix() * 1000),
        )
        if change is not None:
            await self._commit(move, change)

    async def _hold_lease(self, move_id: str) -> HeldLease | None:
        keeper = self._keepers.get(move_id)
        if keeper is None:
            keeper = self._keepers[move_id] = LeaseKeeper(
                self._api,
                self._timer,
                name=f"moves/{move_id}",
                holder=self._node,
                ttl_s=LEASE_TTL_S,
            )
        now = self._timer.read_monotonic()
        grant = keeper.lease.grant
        if grant is None or not keeper.lease.is_held(now):
            await keeper.acquire()
        elif grant.deadline - now < RENEW_BEFORE_S:
            await keeper.renew()
        grant = keeper.lease.grant
        return None if grant is None else HeldLease(grant.fencing, grant.deadline)

    async def _commit(self, move: "Move", change: AdvanceMove | EndMove) -> None:
        unix_ms = int(self._timer.read_unix() * 1000)
        operation = Operation(
            make_operation_id(unix_ms, self._random), f"controller:{self._node}", change
        )
        deadline = self._timer.read_monotonic() + COMMIT_TIMEOUT_S
        committed = await self._store.commit(operation, deadline=deadline)
        log_info(
            "changed a move",
            move=move.id,
            service=move.service,
            change=committed.record.summary,
            to_version=committed.version,
        )
        self._deliver(committed)

    async def _release(self, move_id: str) -> None:
        keeper = self._keepers.pop(move_id)
        try:
            await keeper.release()
        except CorianderwallError:
            # The lease expires by itself.
            return

    def _log_error(self, move: "Move", error: CorianderwallError) -> None:
        if error.code not in _EXPECTED_ERRORS:
            log_warning(
                "can't advance a move now", move=move.id, code=error.code.value, why=error.sentence
            )
