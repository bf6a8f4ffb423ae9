import pytest

from corianderwall.node.lifecycle import CycleActions, create_cycle


@pytest.fixture
def log():
    return []


@pytest.fixture
def cycle(log):
    actions = CycleActions(
        lambda: log.append("drain"), lambda: log.append("cut"), lambda: log.append("stop")
    )
    return create_cycle(actions)


def test_the_first_signal_drains_and_the_end_of_the_drain_stops(cycle, log):
    cycle.begin_serving()
    cycle.signal()
    cycle.finish_drain()
    assert log == ["drain", "stop"]
    assert cycle.read_state() == "stopped"


def test_the_second_signal_cuts_and_a_third_does_nothing(cycle, log):
    cycle.begin_serving()
    for _ in range(3):
        cycle.signal()
    cycle.finish_drain()
    assert log == ["drain", "cut", "stop"]


def test_a_signal_before_the_sockets_are_open_stops_at_once(cycle, log):
    cycle.signal()
    cycle.begin_serving()
    assert log == ["stop"]
