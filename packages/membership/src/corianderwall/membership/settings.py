"""Time limits and sizes of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Intervals and limits, in seconds, bytes and counts."""

    heartbeat_interval_s: float = 1.0
    silence_s: float = 3.5
    """Time without a heartbeat from a neighbour after which other hosts are asked to probe it."""

    probe_wait_s: float = 1.0
    """Time to wait for the probe reports of other neighbours before suspecting a host."""

    death_wait_s: float = 3.0
    """Time that a suspected host has to refute the suspicion before it is declared dead."""

    pause_s: float = 2.0
    """Time between two ticks above which this process counts as having been paused."""

    grace_s: float = 6.0
    """Time after a pause or the start during which this process suspects no host."""

    link_retry_s: float = 5.0
    """Minimum time between two replacements of the same connection."""

    suspicion_repeat_s: float = 60.0
    suspicion_life_s: float = 150.0
    tombstone_life_s: float = 3600.0
    required_accusers: int = 3
    sample_fraction_min: float = 0.4
    """Fraction of sampled hosts that must respond before a node that may be isolated suspects."""

    batch_records: int = 64
    """Maximum number of records in a message."""

    batch_suspicions: int = 256
    whole_views_per_s: int = 20
    """Maximum number of complete views that a seed sends per second."""
