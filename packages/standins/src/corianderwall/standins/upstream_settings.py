"""Settings and switches of an upstream stand-in."""

import enum

import msgspec


class BadKind(enum.StrEnum):
    """The symptom of a bad version."""

    FAIL = "fail"
    SLOW = "slow"


class BadRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One way in which the version is bad, for the calls that meet every condition.

    The calls whose path starts with `path_prefix`, once `after_s` seconds and `after_calls` calls
    have passed, while at least `min_running` calls run, and of these `share` at random. They fail
    with `status` or take `extra_ms` longer.
    """

    kind: BadKind
    path_prefix: str = "/"
    after_s: float = 0
    after_calls: int = 0
    min_running: int = 0
    share: float = 1
    status: int = 500
    extra_ms: float = 0


class Fault(enum.StrEnum):
    """A fault of a single call, set by the header `x-fault` or drawn from `fault_shares`."""

    CLOSE_UNRUN = "close-unrun"
    """Close without running the call or responding."""
    CLOSE_RUN = "close-run"
    """Run the call and close before responding."""
    CLOSE_IN_ANSWER = "close-in-answer"
    """Run the call and reset the connection within its response."""
    TRUNCATE = "truncate"
    """Run the call and close cleanly within its response."""
    CLOSE_AFTER = "close-after"
    """Respond and close without a `Connection: close` header."""
    HANG = "hang"
    """Neither run the call nor respond."""
    HANG_RUN = "hang-run"
    """Run the call and never respond."""
    LATE = "late"
    """Run the call and delay the response by `late_ms`."""
    REFUSE = "refuse"
    """Refuse the call without running it."""
    CRASH = "crash"
    """Run the call and end the process."""
    DOUBLE = "double"
    """Send the response and then a second one."""


class Switches(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What may be changed while the stand-in runs; times as their names say.

    `health_lag_ms` and `load_lag_ms` delay what /health and /load tell. `misleading_health` tells
    that all is well, whatever is; `load_factor` multiplies the load that is told.
    """

    work_ms: float = 0
    work_spread: float = 0
    rules: tuple[BadRule, ...] = ()
    fault_shares: dict[Fault, float] = {}
    late_ms: float = 1000
    health_lag_ms: float = 0
    load_lag_ms: float = 0
    misleading_health: bool = False
    load_factor: float = 1
    refuse_while_draining: bool = False


class UpstreamSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What an upstream is; the cold start lasts `cold_start_ms` and begins `cold_factor` slower."""

    service: str = "service"
    version: str = "v1"
    host: str = "127.0.0.1"
    port: int = 0
    node_host: str = ""
    node_port: int = 0
    slots: int = 6
    queue: int = 24
    connections: int = 110
    cold_start_ms: float = 0
    cold_factor: float = 4
    seed: int = 1
    switches: Switches = msgspec.field(default_factory=Switches)
