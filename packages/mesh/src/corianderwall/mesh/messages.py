"""The messages between nodes, sent as msgpack bodies or JSON headers over HTTP."""

import enum

import msgspec

from corianderwall.model.resource import MoveState
from corianderwall.traffic.suspects import SuspectRecord


class EndpointState(enum.StrEnum):
    """The state of an endpoint as its owner sees it; `GONE` is final for one start."""

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
"""A higher rank replaces a lower one: a draining or gone endpoint is never ready again."""


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One start of an endpoint, as reported by its owner, the node beside it.

    `born_unix_ms` orders the starts of one id; it is later than what the start announces,
    `announced_unix_ms`, if that would put it before an earlier one. `revision` grows with each
    change that the owner makes to the record.
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
    announced_unix_ms: int = 0

    @property
    def start(self) -> str:
        """Return the name of this start, which can crash only once."""
        return f"{self.id}@{self.born_unix_ms}"

    def supersedes(self, other: "EndpointRecord") -> bool:
        """Return whether this record is newer than `other` of the same id."""
        if self.born_unix_ms != other.born_unix_ms:
            return self.born_unix_ms > other.born_unix_ms
        rank, other_rank = STATE_RANK[self.state], STATE_RANK[other.state]
        if rank != other_rank:
            return rank > other_rank
        return self.revision > other.revision


class Leave(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A start of an endpoint beside `node` that leaves, and when that was acknowledged."""

    endpoint: str
    node: str
    born_unix_ms: int
    at_unix_ms: int


class LoadedLeaves(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The leaves of one node that a peer has read from the platform, `age_s` ago."""

    leaves: tuple[Leave, ...]
    age_s: float


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One node; `incarnation`, its start in Unix milliseconds, distinguishes its starts."""

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
    """The load of an endpoint as its owner counts it.

    `service_ms` is the mean time of a call, `failures` the share of calls that failed.
    `limit_per_s` is how many calls a second the endpoint takes, None if it has named no limit;
    this is not known before it `has_responded` to the owner's process. `cold_per_s` is the rate of
    its pace while it warms up, None if it has none. `slowdown` is how many times longer than usual
    work takes on its host at this moment.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    service_ms: float = 0.0
    failures: float = 0.0
    limit_per_s: float | None = None
    has_responded: bool = False
    cold_per_s: float | None = None
    slowdown: float = 1.0


class CallMetadata(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The entry's data about a call for the owner; `left_ms` is the time until its deadline.

    A response later than `due_ms` from now is late. `may_wait` allows the owner to queue the call.
    `nested` marks a call that a running call makes. `is_retry` marks a call that has reached an
    endpoint before, or that a retried call makes. `over_link` is set if the response has to leave
    the owner's host. `limit_per_s` is the endpoint's limit as the entry knows it, for an owner that
    has just started. `team` is the team whose key the caller has sent, empty without one, and
    `team_priority` its priority; a nested call has those of its parent. `key_id` is the beginning
    of the digest of that key, empty for a nested call. `cold_per_s` is the endpoint's pace as the
    entry knows it, for an owner that has no configuration yet. `may_resend` allows the owner to
    send the call once more if the endpoint had forgotten the connection.
    """

    endpoint: str
    left_ms: float
    due_ms: float
    priority: int
    caller: str
    nested: bool
    is_retry: bool
    may_wait: bool
    idempotent: bool
    route: str
    over_link: bool = False
    limit_per_s: float | None = None
    team: str = ""
    team_priority: int = 0
    cold_per_s: float | None = None
    key_id: str = ""
    may_resend: bool = False


class EvacuationState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The evacuated `zones`, sorted, as the store had them at a position; see `Position`.

    `held` are zones that were evacuated before the store came back from an earlier copy, and that
    stay so for `held_left_s`.
    """

    era: int
    revision: int
    zones: tuple[str, ...] = ()
    held: tuple[str, ...] = ()
    held_left_s: float = 0.0


class Refusal(enum.StrEnum):
    """The reason why an owner or its endpoint has not run a call."""

    FULL = "full"
    LATE = "late"
    LEAVING = "leaving"
    UNKNOWN = "unknown"
    DOWN = "down"
    SHED = "shed"
    BODY_LOST = "body lost"
    NO_MEMORY = "no memory"
    QUARANTINED = "quarantined"
    EVACUATED = "evacuated"
    KEY_WITHDRAWN = "key withdrawn"


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The owner's data about a call for the entry, sent with the response.

    `ran` is None if the owner doesn't know whether the endpoint ran the call; `refusal` is set if
    it did not run. `wait_ms` is the expected time until a slot is free, `took_ms` the total time
    at the owner. `evacuations` is what the owner knows if it has refused the call for that reason.
    `resent` is set if the call was sent to the endpoint twice.
    """

    ran: bool | None
    load: Load
    refusal: Refusal | None = None
    error: str = ""
    wait_ms: float = 0.0
    reached: bool = True
    took_ms: float = 0.0
    evacuations: EvacuationState | None = None
    resent: bool = False


class Tables(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The records of all nodes and endpoints that a node knows, or of those that have changed.

    A node that has just started also gets the `moves`, the `evacuations` and the `leaves`, which
    say what calls the endpoints may get.
    """

    sender: NodeRecord
    nodes: tuple[NodeRecord, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()
    moves: tuple["MoveView", ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    evacuations: EvacuationState | None = None
    leaves: tuple[Leave, ...] = ()


class MoveOrder(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An operator's order to move a service to a new version, as stored at the platform.

    `revision` is the current revision of the stored object and `created` its first one, which
    distinguishes two orders for one service; both belong to an era of the store, see `Position`.
    `state` is None until the system has written one.
    """

    service: str
    version: str
    duration_s: float
    revision: int
    created: int
    state: MoveState | None = None
    era: int = 0


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one owner for the calls of one route."""

    route: str
    calls: int = 0
    failures: int = 0
    sum_ms: float = 0.0


class Evidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The counts of one owner for its endpoint since the order `created`."""

    service: str
    version: str
    node: str
    created: int
    routes: tuple[RouteEvidence, ...] = ()


class MoveView(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A node's view of an order; `age_s` is the time since any node first saw it.

    `cut` stops calls to the new version before the rollback is written to the platform; `shifting`
    stops calls to the old version before the move is completed. `rejected` are the versions of
    earlier orders for the service that were found to be bad.
    """

    order: MoveOrder
    age_s: float
    cut: bool = False
    shifting: bool = False
    rejected: tuple[str, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The periodic message of a node to a peer.

    `digest` covers all endpoint records, `suspects_digest` all records of suspects.

    `moves` holds all orders that the sender knows, so that a restarted node gets them from its
    peers. `synced` is false while a node that has just started lacks the records of its peers.
    `evacuations` is None if the sender doesn't know their state or doesn't need it.
    `confirmed_age_ms` is how long ago the sender's version was certainly the newest, None if it
    does not know or if there are no teams.
    """

    node: NodeRecord
    config_version: int
    digest: str
    source_ok: bool
    load: Load | None = None
    endpoint: str = ""
    moves: tuple[MoveView, ...] = ()
    synced: bool = True
    suspects_digest: str = ""
    evacuations: EvacuationState | None = None
    confirmed_age_ms: float | None = None


class EvacuationNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A state of the evacuations; `confirmed` if the store has just told it to the sender."""

    sender: NodeRecord
    state: EvacuationState | None
    confirmed: bool = False


class MoveNotice(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Views of orders, sent to all nodes, or evidence, sent to the leaders."""

    sender: NodeRecord
    views: tuple[MoveView, ...] = ()
    evidence: Evidence | None = None
