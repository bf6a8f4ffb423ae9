"""The resources that a configuration snapshot holds."""

import enum
from dataclasses import dataclass

PERMILLE = 1000
"""The whole of a service's traffic, in thousandths."""


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionShare:
    """The part of a service's calls that one upstream version receives."""

    version: str
    permille: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A named set of upstreams in one or more versions; the split sums to `PERMILLE`.

    `max_connections` of 0 means that the connections to an upstream are not limited here.
    """

    name: str
    versions: tuple[str, ...] = ()
    split: tuple[VersionShare, ...] = ()
    health_path: str = "/health"
    max_connections: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderMatch:
    """A header, in lower case, that must have exactly this value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceWeight:
    """The part of a route's calls that one service receives, relative to the other weights."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Sends the calls that match to a service, or to several by weight.

    An empty `host` or `methods` matches any. `pinned_version` sends all matching calls to one
    version, whatever the split. `idempotent` of None is decided by the method. Calls with equal
    values of the header `sticky_header` go to the same version. `backends` takes the place of
    `service` if it is not empty. A call is sent to `max_attempts` endpoints at most, and an answer
    within `objective_ms` is in time. `priority` 0 is the most urgent.
    """

    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    headers: tuple[HeaderMatch, ...] = ()
    pinned_version: str = ""
    idempotent: bool | None = None
    timeout_ms: int = 15_000
    sticky_header: str = ""
    backends: tuple[ServiceWeight, ...] = ()
    max_attempts: int = 3
    objective_ms: int = 1_000
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Subscriber:
    """An organisation that pays a flat rate for a share, a weight relative to the others."""

    name: str
    share: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What one caller's connection may send, and how long it may take or stay idle."""

    max_head_bytes: int = 32_768
    max_body_bytes: int = 67_108_864
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class MoveState(enum.StrEnum):
    """The state of a move; all but `RUNNING` are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True, kw_only=True)
class MovePolicy:
    """How a move weighs being late against being wrong.

    `steps_permille` are the rising shares of the new version, the last one `PERMILLE`.
    `caution` between 0 and 1: 0 favours moves that end in time, 1 favours taking back.
    """

    steps_permille: tuple[int, ...] = (10, 50, 200, 500, 1000)
    min_calls_per_step: int = 200
    tolerated_error_permille: int = 10
    tolerated_slowdown_percent: int = 30
    caution: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """The transfer of a service's calls from one version to another by a deadline.

    `step` counts the changes of share made so far, `fencing` is the token of the lease under
    which the last change was made; neither ever falls. The last step was made at
    `stepped_unix_ms`. `cause` and `evidence` state the end.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    started_unix_ms: int
    deadline_unix_ms: int
    policy: MovePolicy
    state: MoveState = MoveState.RUNNING
    step: int = 0
    share_permille: int = 0
    fencing: int = 0
    stepped_unix_ms: int = 0
    ended_unix_ms: int = 0
    cause: str = ""
    evidence: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """One whole configuration; each collection is sorted by name and names are unique."""

    version: int = 0
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    subscribers: tuple[Subscriber, ...] = ()
    moves: tuple[Move, ...] = ()
    limits: CallerLimits = CallerLimits()


EMPTY_SNAPSHOT = Snapshot()
