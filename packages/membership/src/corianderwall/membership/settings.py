"""Time limits and sizes of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Intervals and limits, in seconds, bytes and counts."""

    heartbeat_interval_s: float = 1.0
    silence_s: float = 3.5
    """Silence after which a neighbour is asked about."""

    probe_wait_s: float = 1.0
    """How long answers of other neighbours are awaited before a host is suspected."""

    death_wait_s: float = 3.0
    """How long a suspected host may refute before it is declared dead."""

    pause_s: float = 2.0
    """A gap between two ticks from which this process was itself paused."""

    grace_s: float = 6.0
    """How long a process that was paused, or has just started, suspects nobody."""

    link_retry_s: float = 5.0
    """The least time between two replacements of one connection."""

    suspicion_repeat_s: float = 60.0
    suspicion_life_s: float = 150.0
    tombstone_life_s: float = 3600.0
    required_accusers: int = 3
    sample_fraction_min: float = 0.4
    """The part of randomly asked hosts that must answer before a doubting node suspects."""

    batch_records: int = 64
    """The most records in one message."""

    batch_suspicions: int = 256
    whole_views_per_s: int = 20
    """How many whole views a seed hands out in a second."""
