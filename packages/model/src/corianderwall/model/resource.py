"""The resources in a configuration snapshot."""

import enum
from dataclasses import dataclass

PERMILLE = 1000
"""All traffic of a service, in thousandths."""


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionShare:
    """The share of a service's calls that one upstream version receives."""

    version: str
    permille: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A named set of upstreams in one or more versions; the split sums to `PERMILLE`.

    If `max_connections` is 0, connections to an upstream are not limited by the configuration.
    An upstream is slow for `warmup_s` after its start and then takes at most `warmup_per_s` calls a
    second; 0 means that the configuration states none.
    """

    name: str
    versions: tuple[str, ...] = ()
    split: tuple[VersionShare, ...] = ()
    health_path: str = "/health"
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderMatch:
    """A condition that the header `name`, in lower case, has exactly this value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceWeight:
    """A service of a route and its weight relative to the route's other services."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Sends matching calls to one service, or to several by weight.

    An empty `host` or `methods` matches every call. `pinned_version` sends all matching calls to
    one version and overrides the split. If `idempotent` is None, the method decides. Calls with
    the same value of the header `sticky_header` go to the same version. If `backends` is not
    empty, it replaces `service`. A call is sent to at most `max_attempts` endpoints.
    `objective_ms` is the latency objective. `priority` 0 is the most urgent. Callers of a `public`
    route need no key.
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
    public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Subscriber:
    """An organisation that pays a flat rate for a share, a weight relative to other shares."""

    name: str
    share: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team whose callers authenticate with keys and share a quota over all nodes.

    `key_digests` holds the SHA-256 digests of the keys in hexadecimal, so that no key is kept in
    the clear. `priority` 0 is the most urgent and ranks before that of a route. The quota is
    `rate_per_s` calls a second and a burst of `burst` calls; a rate of 0 means no quota.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size and time limits for one connection of a caller."""

    max_head_bytes: int = 32_768
    max_body_bytes: int = 67_108_864
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


class MoveState(enum.StrEnum):
    """The state of a move; every state except `RUNNING` is final."""

    RUNNING = "running"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"


@dataclass(frozen=True, slots=True, kw_only=True)
class MovePolicy:
    """The steps of a move and how it balances speed against safety.

    `steps_permille` are the increasing shares of the new version; the last is `PERMILLE`.
    `caution` is between 0, which favours completing in time, and 1, which favours rolling back.
    """

    steps_permille: tuple[int, ...] = (10, 50, 200, 500, 1000)
    min_calls_per_step: int = 200
    tolerated_error_permille: int = 10
    tolerated_slowdown_percent: int = 30
    caution: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """The transfer of a service's calls from one version to another by a deadline.

    `step` counts the changes of the share so far, and `fencing` is the fencing token of the lease
    under which the last change was made; neither ever decreases. The last step was made at
    `stepped_unix_ms`. `cause` and `evidence` say why the move ended.
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
    """A complete configuration; each collection is sorted by name, and names are unique."""

    version: int = 0
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    subscribers: tuple[Subscriber, ...] = ()
    moves: tuple[Move, ...] = ()
    limits: CallerLimits = CallerLimits()
    teams: tuple[Team, ...] = ()


def list_backends(route: Route) -> tuple[ServiceWeight, ...]:
    """Return the services of `route` with their weights."""
    return route.backends or (ServiceWeight(service=route.service, weight=1),)


EMPTY_SNAPSHOT = Snapshot()
