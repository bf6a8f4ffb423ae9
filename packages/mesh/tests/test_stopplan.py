import pytest

from corianderwall.mesh.stopplan import NO_STOP, READINESS_DELAY_S, plan_stop

PLAN = plan_stop(100.0, 6.0)


@pytest.mark.parametrize("lasts_s", [0.1, 3.0, 60.0])
def test_callers_that_cannot_know_of_the_stop_are_served_whatever_their_calls_take(
    lasts_s: float,
) -> None:
    assert PLAN.admits_call(100.0 + READINESS_DELAY_S, 100.0 + lasts_s)


def test_a_late_call_is_sent_only_if_it_ends_before_the_last_response() -> None:
    assert PLAN.admits_call(104.0, PLAN.latest_response)
    assert not PLAN.admits_call(104.0, PLAN.latest_response + 0.01)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_of_a_peer_that_may_be_broken_off_must_be_one_that_it_can_repeat(
    idempotent: bool,
) -> None:
    assert PLAN.admits_peer_call(PLAN.end, idempotent=idempotent)
    assert PLAN.admits_peer_call(PLAN.end + 0.01, idempotent=idempotent) is idempotent


def test_a_node_that_goes_on_running_admits_every_call() -> None:
    assert NO_STOP.admits_call(1e9, 2e9)
    assert NO_STOP.admits_peer_call(2e9, idempotent=False)
