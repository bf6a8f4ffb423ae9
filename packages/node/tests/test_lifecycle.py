import pytest

from corianderwall.node.lifecycle import LifecycleActions, create_lifecycle


@pytest.fixture
def log():
    return []


@pytest.fixture
def lifecycle(log):
    actions = LifecycleActions(
        lambda: log.append("drain"), lambda: log.append("cut"), lambda: log.append("stop")
    )
    return create_lifecycle(actions)


def test_the_first_signal_drains_and_the_end_of_the_drain_stops(lifecycle, log):
    lifecycle.begin_serving()
    lifecycle.handle_signal()
    lifecycle.finish_drain()
    assert log == ["drain", "stop"]
    assert lifecycle.read_state() == "stopped"


def test_the_second_signal_aborts_calls_and_a_third_does_nothing(lifecycle, log):
    lifecycle.begin_serving()
    for _ in range(3):
        lifecycle.handle_signal()
    lifecycle.finish_drain()
    assert log == ["drain", "cut", "stop"]


def test_a_signal_before_the_sockets_are_open_stops_at_once(lifecycle, log):
    lifecycle.handle_signal()
    lifecycle.begin_serving()
    assert log == ["stop"]
