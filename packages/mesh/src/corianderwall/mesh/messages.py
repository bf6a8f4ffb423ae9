"""What nodes say to each other, as msgpack bodies or JSON headers of HTTP messages."""

import enum

import msgspec

from corianderwall.model.resource import MoveState


class EndpointState(enum.StrEnum):
    """What its owner knows of an endpoint; `GONE` is final for one start of it."""

    READY = "ready"
    DOWN = "down"
    DRAINING = "draining"
    GONE = "gone"


STATE_RANK = {
    EndpointState.READY: 0,
    EndpointState.DOWN: 0,
    EndpointState.DRAINING: 1,
    EndpointState.GONE: 2,
}
"""A draining endpoint never returns to ready, and one that is gone never returns."""


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One start of an endpoint as its owner, the node beside it, describes it.

    `born_unix_ms` tells the starts of one id apart; `revision` grows with each change that the
    owner makes to its record.
    """

    id: str
    service: str
    version: str
    node: str
    zone: str
    slots: int
    born_unix_ms: int
    state: EndpointState = EndpointState.READY
    warm_unix_ms: int = 0
    revision: int = 0

    def supersedes(self, other: "EndpointRecord") -> bool:
        """Return whether this record is newer than `other` of the same id."""
        if self.born_unix_ms != other.born_unix_ms:
            return self.born_unix_ms > other.born_unix_ms
        rank, other_rank = STATE_RANK[self.state], STATE_RANK[other.state]
        if rank != other_rank:
            return rank > other_rank
        return self.revision > other.revision


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One node; `incarnation` is the Unix millisecond of its start and tells starts apart."""

    name: str
    zone: str
    host: str
    port: int
    incarnation: int
    leaving: bool = False

    def supersedes(self, other: "NodeRecord") -> bool:
        """Return whether this record is newer than `other` of the same name."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return self.leaving and not other.leaving


class Load(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How busy an endpoint is, by its owner's count; `service_ms` is the mean time of a call."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    service_ms: float = 0.0
    failures: float = 0.0


class CallNote(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the entry tells the owner of a call; `left_ms` is the time until its deadline.

    An answer later than `due_ms` from now is late.
    `may_wait` allows the owner to queue the call; `nested` marks a call of a running call, and
    `repeat` one that has reached an endpoint before or that a repeated run makes. `over_link` is
    set if the answer has to leave the owner's host.
    """

    endpoint: str
    left_ms: float
    due_ms: float
    priority: int
    caller: str
    nested: bool
    repeat: bool
    may_wait: bool
    idempotent: bool
    route: str
    over_link: bool = False


class Refusal(enum.StrEnum):
    """Why an owner has not sent a call to its endpoint."""

    FULL = "full"
    LATE = "late"
    LEAVING = "leaving"
    UNKNOWN = "unknown"
    DOWN = "down"
    SHED = "shed"


class AnswerNote(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the owner tells the entry with an answer.

    `ran` is None when the owner can't tell whether the endpoint ran the call; `refusal` is set if
    it has not run. `wait_ms` is when room is expected, `took_ms` the whole time at the owner.
    """

    ran: bool | None
    load: Load
    refusal: Refusal | None = None
    error: str = ""
    wait_ms: float = 0.0
    reached: bool = True
    took_ms: float = 0.0


class Tables(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """All nodes and endpoints that a node knows, or those that have just changed."""

    sender: NodeRecord
    nodes: tuple[NodeRecord, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An operator's order to move a service to a new version, as the store holds it.

    `revision` is that of the stored object and `created` that of its creation, which tells two
    orders for one service apart. `state` is None until the system has written one.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    created: int
    state: MoveState | None = None


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one owner has seen of the calls of one route."""

    route: str
    calls: int = 0
    failures: int = 0
    sum_ms: float = 0.0


class Evidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one owner has seen of its endpoint since the order `created`."""

    service: str
    version: str
    node: str
    created: int
    routes: tuple[RouteEvidence, ...] = ()


class MoveView(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An order as a node sees it; `age_s` counts from when the fleet first saw it.

    `cut` forbids the new version before that is written; `shifting` takes calls off the old one.
    """

    order: MoveOrder
    age_s: float
    cut: bool = False
    shifting: bool = False


class Beat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a node tells a peer from time to time; `digest` is over all endpoint records.

    `moves` are all orders that it knows, so that a restarted node learns them from its peers.
    `synced` is not set while a node that has just started lacks the records of its peers.
    """

    node: NodeRecord
    config_version: int
    digest: str
    source_ok: bool
    load: Load | None = None
    endpoint: str = ""
    moves: tuple[MoveView, ...] = ()
    synced: bool = True


class MoveNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Views of orders, for all nodes, or evidence, for the node that decides."""

    sender: NodeRecord
    views: tuple[MoveView, ...] = ()
    evidence: Evidence | None = None
