"""Time limits and sizes of the distribution."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DistributionSettings:
    """Intervals in seconds, sizes in bytes, and counts."""

    watchers_per_region: int = 2
    collectors_per_zone: int = 2
    required_witnesses: int = 2
    zone_wait_s: float = 10.0
    """Time to wait for witnesses in distinct zones before witnesses in the same zone suffice."""

    join_wait_s: float = 10.0
    """Time to wait for a seed before this node relies on the platform alone."""

    witness_ask_interval_s: float = 0.1
    catch_up_wait_s: float = 1.0
    head_ask_interval_s: float = 0.5
    head_request_life_s: float = 5.0
    view_settle_s: float = 0.3
    """Time without a change of the view before a node that has just started takes up a role."""

    floor_query_after_s: float = 1.0
    """Time to wait for the platform's head version before asking the hosts of the region."""

    floor_query_interval_s: float = 1.0
    floor_queries_per_tick: int = 64
    report_interval_s: float = 30.0
    rollout_ask_interval_s: float = 0.5
    history_size: int = 64
    """Number of snapshots kept as bases for deltas."""

    eager_bytes: int = 8192
    """Maximum size of an update that is sent without a request."""

    part_bytes: int = 32_768
