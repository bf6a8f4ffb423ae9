"""The interface that a node provides to the operators' calls."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderwall.model.audit import AuditRecord
    from corianderwall.model.change import Operation
    from corianderwall.model.endpoint import Endpoint, Host
    from corianderwall.model.errors import ErrorCode
    from corianderwall.model.resource import HeaderMatch, Snapshot
    from corianderwall.store.commit import CommitResult
    from corianderwall.store.head import OperationOutcome


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeStatus:
    """The status of a node as this one knows it; `state` is alive, suspect, left or dead."""

    host: "Host"
    state: str
    active_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointStatus:
    """An endpoint and the last known number of calls that run there."""

    endpoint: "Endpoint"
    running: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LaggingNode:
    """A node on which an older version is active than the requested one."""

    name: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStatus:
    """The progress of a version's rollout: the known nodes and those that lack the version."""

    version: int
    known_nodes: int
    lagging: tuple[LaggingNode, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether the version is active on all known nodes."""
        return not self.lagging


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDescription:
    """A call whose routing an operator wants explained."""

    method: str
    host: str
    path: str
    headers: "tuple[HeaderMatch, ...]" = ()
    subscriber: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallExplanation:
    """The route of a call; `reasons` has one sentence for each decision, in order."""

    reasons: tuple[str, ...]
    route: str = ""
    service: str = ""
    version: str = ""
    endpoint: str = ""
    refusal: "ErrorCode | None" = None


class OperatorBackend(Protocol):
    """The operations of a node for operators; every method may raise `CorianderwallError`."""

    async def commit(self, operation: "Operation", *, repeated: bool) -> "CommitResult":
        """Apply the operation once; `repeated` marks one that may have been sent before."""

    async def resolve(self, operation_id: str) -> "OperationOutcome":
        """Return the outcome of an operation."""

    async def read_snapshot(self) -> "Snapshot":
        """Return the newest configuration that this node knows."""

    async def read_snapshot_at(self, version: int) -> "Snapshot":
        """Return an older configuration, or raise `NOT_FOUND`."""

    async def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Return all known nodes, including this one."""

    async def list_endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return all known endpoints."""

    async def wait_for_rollout(self, version: int, deadline: float) -> RolloutStatus:
        """Return once the version is active on all known nodes, or at the monotonic deadline."""

    async def read_audit(
        self, *, before_version: int | None, limit: int
    ) -> "tuple[AuditRecord, ...]":
        """Return audit records of the versions before this one (None: all), newest first."""

    async def explain(self, call: CallDescription) -> CallExplanation:
        """Return the endpoint that a call would go to, with the reason for each decision."""
