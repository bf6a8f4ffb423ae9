from typing import Any

from corianderwall.mesh.messages import CallMetadata
from corianderwall.mesh.ranks import compute_rank


def rank(**fields: Any) -> float:
    values: dict[str, Any] = {
        "endpoint": "i-1",
        "left_ms": 1000.0,
        "due_ms": 1000.0,
        "priority": 0,
        "caller": "s",
        "nested": False,
        "is_retry": False,
        "may_wait": True,
        "idempotent": False,
        "route": "r",
    }
    return compute_rank(CallMetadata(**(values | fields)))


def test_a_teams_priority_precedes_the_one_of_the_route() -> None:
    """Guards against an urgent route that lets a team of low priority pass an urgent team."""
    urgent = rank(team="a", team_priority=0, priority=5000)
    assert urgent < rank(team="b", team_priority=1, priority=0)
    assert rank(team="b", team_priority=1, priority=0) < rank(team="c", team_priority=1, priority=1)


def test_a_nested_call_comes_right_before_new_calls_of_its_parents_rank() -> None:
    """Guards against a nested call that waits behind new work, or passes more urgent teams."""
    for priority in (0, 7):
        parent = rank(team="b", team_priority=1, priority=priority)
        nested = rank(team="b", team_priority=1, priority=priority, nested=True)
        assert rank(team="a", team_priority=0, priority=5000) < nested < parent


def test_calls_without_a_team_keep_their_ranks() -> None:
    """Guards against an earlier deployment whose queue has another order than before."""
    assert [rank(nested=True, priority=3), rank(), rank(priority=2)] == [0, 1, 3]
