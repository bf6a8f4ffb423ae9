"""The rank by which calls start and are refused."""

from dataclasses import dataclass

from corianderwall.mesh.messages import CallMetadata

ROUTE_STEP = 1 / 1024
"""Difference in rank between two route priorities of a team; a power of two keeps sums exact."""
MAX_ROUTE_PRIORITY = 1022
"""Route priorities above this one count like it, so that the team's priority always precedes."""
NESTED_STEP = ROUTE_STEP / 2
"""How far a nested call is before new calls of its parent's rank."""


@dataclass(frozen=True, slots=True)
class Standing:
    """For whom a call runs and how urgent it is; `team` is empty for a call without one."""

    team: str = ""
    team_priority: int = 0
    priority: int = 0


def compute_rank(metadata: CallMetadata) -> float:
    """Return the rank of a call at its owner; a lower one starts first.

    A team's priority precedes that of the route. A call without a team ranks with the teams of its
    route's priority, and a nested call without one before all others.
    """
    if not metadata.team:
        return 0 if metadata.nested else 1 + metadata.priority
    rank = 1 + metadata.team_priority + ROUTE_STEP * min(metadata.priority, MAX_ROUTE_PRIORITY)
    return rank - NESTED_STEP if metadata.nested else rank
