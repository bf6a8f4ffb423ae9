"""What the operators' calls need of the node that serves them."""

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
    """A node as this one sees it; `state` is alive, suspect, left or dead."""

    host: "Host"
    state: str
    version_in_force: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointStatus:
    """An endpoint and the calls that run at it as last heard."""

    endpoint: "Endpoint"
    running: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LaggingNode:
    """A node that has an older version in force than the one that was asked about."""

    name: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Whether a version is in force at every known node, and which ones lack it."""

    version: int
    known_nodes: int
    lagging: tuple[LaggingNode, ...] = ()

    @property
    def in_force(self) -> bool:
        """Return whether no known node lacks the version."""
        return not self.lagging


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDescription:
    """A call that an operator asks about."""

    method: str
    host: str
    path: str
    headers: "tuple[HeaderMatch, ...]" = ()
    subscriber: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallExplanation:
    """Where a call would go; `reasons` has one sentence for each decision, in order."""

    reasons: tuple[str, ...]
    route: str = ""
    service: str = ""
    version: str = ""
    endpoint: str = ""
    refusal: "ErrorCode | None" = None


class OperatorBackend(Protocol):
    """The node; every method may raise `CorianderwallError`."""

    async def commit(self, operation: "Operation", *, repeated: bool) -> "CommitResult":
        """Apply the operation once; `repeated` tells that it was perhaps sent before."""

    async def resolve(self, operation_id: str) -> "OperationOutcome":
        """Return what became of an operation."""

    async def read_snapshot(self) -> "Snapshot":
        """Return the newest configuration that this node knows."""

    async def history(self, version: int) -> "Snapshot":
        """Return an older configuration, or raise `NOT_FOUND`."""

    async def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Return all known nodes, this one among them."""

    async def list_endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return all known endpoints."""

    async def wait_in_force(self, version: int, deadline: float) -> InForce:
        """Return once the version is in force everywhere, or at the monotonic deadline."""

    async def read_audit(
        self, *, before_version: int | None, limit: int
    ) -> "tuple[AuditRecord, ...]":
        """Return records of the versions before this one (None: of all), newest first."""

    async def explain(self, call: CallDescription) -> CallExplanation:
        """Return where a call would go and why."""
