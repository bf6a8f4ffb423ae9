"""Time limits and sizes of the distribution."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionSettings:
    """Intervals in seconds, sizes in bytes, and counts."""

    watchers_per_region: int = 2
    collectors_per_zone: int = 2
    required_witnesses: int = 2
    zone_wait_s: float = 10.0
    """How long witnesses in distinct zones are awaited before any two hosts do."""

    join_wait_s: float = 10.0
    """How long a seed is awaited before this node trusts the platform alone."""

    witness_ask_interval_s: float = 0.1
    catch_up_wait_s: float = 1.0
    head_ask_interval_s: float = 0.5
    head_request_life_s: float = 5.0
    view_settle_s: float = 0.3
    """How long no host must have appeared before a node without memory takes up a role."""

    floor_query_after_s: float = 1.0
    """How long the platform's head is awaited before the region is asked."""

    floor_query_interval_s: float = 1.0
    floor_queries_per_tick: int = 64
    report_interval_s: float = 30.0
    rollout_ask_interval_s: float = 0.5
    history_size: int = 64
    """How many snapshots are kept as bases of deltas."""

    eager_bytes: int = 8192
    """The largest update that is pushed unasked."""

    part_bytes: int = 32_768
