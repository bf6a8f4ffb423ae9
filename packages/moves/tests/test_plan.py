from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import PERMILLE, MovePolicy
from corianderwall.moves.plan import MIN_RESERVE_MS, build_plan, check_feasible


@settings(derandomize=True, deadline=None)
@given(st.integers(30_000, 36_000_000), st.floats(0, 1))
def test_the_plan_rises_and_leaves_room_for_soak_and_reserve(duration, caution):
    plan = build_plan(MovePolicy(caution=caution), 500, 500 + duration)
    instants = [*plan.step_by_unix_ms, plan.finish_by_unix_ms]
    assert instants[0] == 500
    assert all(before < after for before, after in pairwise(instants))
    assert plan.finish_by_unix_ms <= 500 + duration - MIN_RESERVE_MS
    assert plan.step_by_unix_ms[-1] + plan.dwells_ms[-1] <= plan.finish_by_unix_ms + 1


def test_a_share_between_two_steps_is_followed_by_the_next_step():
    plan = build_plan(MovePolicy(), 0, 600_000)
    assert [plan.find_next_share(share) for share in (0, 10, 30, 500, PERMILLE)] == [
        10,
        50,
        50,
        1000,
        1000,
    ]


@pytest.mark.parametrize(("duration", "rate"), [(600_000, 0.0), (600_000, 5.0), (10_000, 1e6)])
def test_a_deadline_that_cannot_be_kept_is_refused_with_the_reason(duration, rate):
    with pytest.raises(CorianderwallError) as caught:
        check_feasible(MovePolicy(), 0, duration, rate)
    assert caught.value.code is ErrorCode.DEADLINE_UNREACHABLE
    assert "needs at least" in caught.value.sentence or "no calls" in caught.value.sentence


def test_a_deadline_with_enough_calls_is_accepted():
    check_feasible(MovePolicy(), 0, 600_000, 100.0)
