"""The implementation of the operators' calls on the components of one node."""

from typing import TYPE_CHECKING

from corianderwall.model.change import StartMove
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.moves.plan import check_feasible
from corianderwall.node.operator_backend import (
    CallDescription,
    CallExplanation,
    EndpointStatus,
    LaggingNode,
    NodeStatus,
    RolloutStatus,
)
from corianderwall.traffic.routing import CallRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderwall.distribution.distributor import Distributor
    from corianderwall.membership.membership import Membership
    from corianderwall.model.audit import AuditRecord
    from corianderwall.model.change import Operation
    from corianderwall.model.resource import Snapshot
    from corianderwall.node.callcontext import CallContext
    from corianderwall.node.control import ControlLoop
    from corianderwall.node.dispatcher import Dispatcher
    from corianderwall.node.serviceload import LoadSurvey, ServiceLoad
    from corianderwall.store.commit import CommitResult
    from corianderwall.store.head import HeadStore, OperationOutcome
    from corianderwall.store.timer import Timer

STORE_TIMEOUT_S = 8.0
ROLLOUT_POLL_INTERVAL_S = 0.1
"""Time between two checks of the rollout while an operator waits for a version."""


class NodeBackend:
    """Implements `OperatorBackend` on the components of one node."""

    def __init__(
        self,
        *,
        store: "HeadStore",
        timer: "Timer",
        membership: "Membership",
        distributor: "Distributor",
        control: "ControlLoop",
        context: "CallContext",
        dispatcher: "Dispatcher",
        survey: "LoadSurvey",
        deliver: "Callable[[CommitResult], None]",
    ) -> None:
        self._store = store
        self._timer = timer
        self._membership = membership
        self._distributor = distributor
        self._control = control
        self._context = context
        self._dispatcher = dispatcher
        self._survey = survey
        self._deliver = deliver

    async def commit(self, operation: "Operation", *, repeated: bool) -> "CommitResult":
        """Commit the operation once and start to distribute the new version from this node."""
        if isinstance(operation.change, StartMove) and not repeated:
            await self._check_move_feasible(operation.change)
        committed = await self._store.commit(
            operation, deadline=self._compute_store_deadline(), repeated=repeated
        )
        self._deliver(committed)
        return committed

    async def resolve(self, operation_id: str) -> "OperationOutcome":
        """Return the outcome of an operation."""
        return await self._store.resolve(operation_id, deadline=self._compute_store_deadline())

    async def read_snapshot(self) -> "Snapshot":
        """Return the active configuration of this node."""
        snapshot = self._distributor.current
        if snapshot is None:
            raise CorianderwallError(
                ErrorCode.NOT_READY, "this node has no configuration yet", retry_after_s=1.0
            )
        return snapshot

    async def read_snapshot_at(self, version: int) -> "Snapshot":
        """Return an older configuration, or raise `NOT_FOUND`."""
        return await self._store.read_snapshot_at(version, deadline=self._compute_store_deadline())

    async def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Return the known hosts, each with its active version as far as this node knows it."""
        current = await self.read_snapshot()
        lagging = {node.name: node.version for node in (await self._read_current_rollout()).lagging}
        return tuple(
            NodeStatus(
                host=host,
                state=self._membership.get_status(host.name).value,
                active_version=lagging.get(host.name, current.version),
            )
            for host in sorted(self._membership.list_hosts(), key=lambda each: each.name)
        )

    async def list_endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return the known endpoints, each with the number of calls that this node runs there."""
        endpoints = sorted(self._membership.list_endpoints(), key=lambda each: each.name)
        return tuple(
            EndpointStatus(
                endpoint=endpoint,
                running=self._context.balancer.count_outstanding(endpoint.name),
            )
            for endpoint in endpoints
        )

    async def wait_for_rollout(self, version: int, deadline: float) -> RolloutStatus:
        """Return once the version is active on all known nodes, or at the monotonic deadline."""
        now = self._timer.read_monotonic()
        self._control.send(self._distributor.start_wait(version, deadline, now))
        while True:
            rollout = self._distributor.read_rollout(version)
            remaining = deadline - self._timer.read_monotonic()
            if rollout.is_complete or remaining <= 0:
                return RolloutStatus(
                    version=version,
                    known_nodes=rollout.confirmed + len(rollout.lacking),
                    lagging=tuple(LaggingNode(name=name, version=0) for name in rollout.lacking),
                )
            await self._timer.sleep(min(ROLLOUT_POLL_INTERVAL_S, remaining))

    async def read_audit(
        self, *, before_version: int | None, limit: int
    ) -> "tuple[AuditRecord, ...]":
        """Return the audit records of the versions before this one, newest first."""
        return await self._store.read_audit(
            before_version=before_version, limit=limit, deadline=self._compute_store_deadline()
        )

    async def explain(self, call: CallDescription) -> CallExplanation:
        """Return the endpoint that a call would go to, with the reason for each decision."""
        await self.read_snapshot()
        table = self._dispatcher.table
        assert table is not None
        request = CallRequest(
            host=call.host,
            path=call.path,
            method=call.method,
            headers={header.name: header.value for header in call.headers},
            subscriber=call.subscriber,
        )
        reasons = [f"route {row.route}: {row.reason.value}" for row in table.explain(request)]
        try:
            choice = table.match(request, self._context.random)
        except CorianderwallError as error:
            return CallExplanation(reasons=(*reasons, error.sentence), refusal=error.code)
        endpoint = self._context.balancer.choose(
            choice.service, choice.version, self._timer.read_monotonic()
        )
        reasons.append(f"service {choice.service}: version {choice.version} by the split")
        if endpoint is None:
            reasons.append("no endpoint of this version accepts calls")
        else:
            reasons.append(
                f"endpoint {endpoint.name} in {endpoint.locality.zone} has the lowest cost"
            )
        return CallExplanation(
            reasons=tuple(reasons),
            route=choice.route,
            service=choice.service,
            version=choice.version,
            endpoint="" if endpoint is None else endpoint.name,
            refusal=ErrorCode.NO_ENDPOINT if endpoint is None else None,
        )

    async def measure_service(self, service: str) -> "ServiceLoad":
        """Return the load of a service, summed over all its endpoints."""
        owners = {
            each.node for each in self._membership.list_endpoints() if each.service == service
        }
        own = self._context.admission.load.read(self._timer.read_monotonic())
        return await self._survey.measure(owners, own)

    async def _check_move_feasible(self, change: StartMove) -> None:
        load = await self.measure_service(change.service)
        check_feasible(
            change.policy, change.started_unix_ms, change.deadline_unix_ms, load.calls_per_s
        )

    async def _read_current_rollout(self) -> RolloutStatus:
        current = await self.read_snapshot()
        return await self.wait_for_rollout(current.version, self._timer.read_monotonic() + 1.0)

    def _compute_store_deadline(self) -> float:
        return self._timer.read_monotonic() + STORE_TIMEOUT_S
