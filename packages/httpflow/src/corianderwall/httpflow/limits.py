"""Limits of server and client connections."""

from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits of a server and of each caller's connection; times in seconds, sizes in bytes.

    The handler gets up to `max_concurrent_calls` pipelined calls of a connection at once. Responses
    that wait for those before them hold up to `response_buffer_bytes` for a connection and
    `max_response_buffer_bytes` for all, beyond which only calls that already run add to them.
    """

    max_head_bytes: int = 32 * KIB
    max_headers: int = 100
    max_body_bytes: int = 1024 * MIB
    body_buffer_bytes: int = 64 * KIB
    write_buffer_bytes: int = 256 * KIB
    max_concurrent_calls: int = 1
    response_buffer_bytes: int = 256 * KIB
    max_response_buffer_bytes: int = 8 * MIB
    max_connections: int = 4096
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 60.0
    linger_timeout_s: float = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits of the connections to one upstream; times in seconds, sizes in bytes.

    A response may have `max_framing_bytes` of chunk lines and trailers, or more beside a large
    body. A request that is not idempotent never reuses a connection that was idle for longer than
    `max_non_idempotent_idle_s`. A connection that was idle for longer than `stale_after_s` is
    polled before it is reused, because its peer may have closed it without the event loop having
    seen that yet. A call without any progress for `stalled_after_s` starts a comparison with a
    fresh connection, which ends after `probe_timeout_s` at the latest. Without `has_own_timer` the
    owner of the pool calls `UpstreamPool.tick`, so that many pools can share one timer.
    """

    max_head_bytes: int = 64 * KIB
    max_headers: int = 200
    max_framing_bytes: int = 256 * KIB
    write_buffer_bytes: int = 256 * KIB
    connect_timeout_s: float = 1.0
    max_idle_s: float = 30.0
    max_non_idempotent_idle_s: float = 5.0
    stalled_after_s: float = 1.0
    probe_timeout_s: float = 1.0
    user_timeout_ms: int = 3000
    keepalive_idle_s: int = 1
    keepalive_interval_s: int = 1
    keepalive_probes: int = 3
    has_own_timer: bool = True
    stale_after_s: float = 0.0
