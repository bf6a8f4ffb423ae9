import pytest

from corianderwall.httpflow.resting import FORGET_AFTER_S, TRIAL_AFTER_S, ConnectionHistory


@pytest.fixture
def history() -> ConnectionHistory:
    return ConnectionHistory(max_rest_s=8.0, max_non_idempotent_rest_s=2.0)


def read_limits(history: ConnectionHistory, now: float) -> tuple[float, float]:
    return (
        history.limit_rest_s(idempotent=True, now=now),
        history.limit_rest_s(idempotent=False, now=now),
    )


def test_without_drops_the_limits_stay(history) -> None:
    """Guards against a change for endpoints that drop no connection."""
    history.record_response(1.0, 10.0)
    assert read_limits(history, 10.0) == (8.0, 2.0)


def test_a_drop_shortens_the_rest_before_any_further_call(history) -> None:
    """Guards against a second call that is lost in the same way."""
    history.record_drop(1.0, 10.0)
    assert read_limits(history, 10.0) == (1.0, 0.5)
    history.record_drop(0.4, 11.0)
    assert read_limits(history, 11.0) == (0.4, 0.2)


def test_rests_that_work_raise_the_limit_for_calls_that_cannot_be_sent_again(history) -> None:
    """Guards against a new connection for each call although a longer rest is known to work."""
    history.record_drop(1.0, 10.0)
    history.record_response(0.8, 11.0)
    assert read_limits(history, 11.0) == (1.0, pytest.approx(0.72))
    history.record_drop(0.7, 12.0)
    history.record_response(0.0, 13.0)
    assert read_limits(history, 13.0) == (0.7, 0.35)


def test_an_idempotent_call_tries_first_whether_longer_rests_work_again(history) -> None:
    """Guards against a write that finds out that the endpoint still drops connections."""
    history.record_drop(1.0, 10.0)
    history.record_response(0.0, 10.1)
    later = 10.0 + TRIAL_AFTER_S
    assert read_limits(history, later) == (8.0, 0.5)
    history.record_response(1.5, later)
    assert read_limits(history, later) == (8.0, 2.0)


def test_drops_are_forgotten_without_a_trial_after_long(history) -> None:
    """Guards against an endpoint with writes only that gets short rests for ever."""
    history.record_drop(1.0, 10.0)
    history.record_response(0.0, 10.1)
    assert read_limits(history, 9.9 + FORGET_AFTER_S)[1] == 0.5
    assert read_limits(history, 10.0 + FORGET_AFTER_S)[1] == 2.0


def test_a_crash_is_not_taken_for_dropped_connections(history) -> None:
    """Guards against new connections for a minute after each crash of the endpoint."""
    history.record_drop(1.0, 10.0)
    history.record_response(0.0, 10.1)
    history.record_drop(0.1, 20.0)
    history.record_response(0.0, 19.9)
    history.forget_suspected()
    assert read_limits(history, 21.0) == (1.0, 0.5)
