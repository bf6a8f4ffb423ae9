import pytest

from corianderwall.node.sharetimer import SHARE_TICK_S, ShareTimer


class FakeLoop:
    """Records the timers that were requested."""

    def __init__(self):
        self.timers = []

    def call_later(self, seconds, run):
        self.timers.append((seconds, run))
        return self

    def cancel(self):
        self.timers.clear()


@pytest.fixture
def loop():
    return FakeLoop()


def test_many_calls_start_one_timer(loop):
    timer = ShareTimer(loop, lambda: False)
    for _ in range(5):
        timer.wake()
    assert [seconds for seconds, _ in loop.timers] == [SHARE_TICK_S]


def test_the_timer_repeats_while_calls_run_and_then_stops(loop):
    responses = [True, False]
    timer = ShareTimer(loop, lambda: responses.pop(0))
    timer.wake()
    loop.timers.pop()[1]()
    assert len(loop.timers) == 1
    loop.timers.pop()[1]()
    assert loop.timers == []
    timer.wake()
    assert len(loop.timers) == 1
