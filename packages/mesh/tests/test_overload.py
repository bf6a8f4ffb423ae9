"""An overload in which refused callers come back, without network.

Pattern: a burst of 1.4 times and of twice what the slots of a service can run. Each refused caller
tries once more after a third of the time that it has left, when its call can no longer be timely.
"""

import math
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from corianderwall.mesh import admission
from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall

SLOTS = 9
CALL_S = 0.216
OBJECTIVE_S = 0.5
ROUTE_TIMEOUT_S = 1.0
CALLER_TIMEOUT_S = 2.0
SPREAD = 0.35
"""Spread of the logarithm of call times."""


class Overload:
    """One endpoint and its callers; counts how the calls end."""

    def __init__(self, load: float, seconds: float = 40.0, seed: int = 1) -> None:
        self.queue = AdmissionQueue(SLOTS)
        self.in_time = 0
        self.late = 0
        self.calls = 0
        self._random = Random(seed)
        self._numbers: Iterator[int] = count()
        self._events: list[tuple[float, int, str, QueuedCall]] = []
        self._began: dict[QueuedCall, float] = {}
        at = 0.0
        while at < seconds:
            at += self._random.expovariate(SLOTS / CALL_S * load)
            self.calls += 1
            self._add_event(at, "first", QueuedCall("r", 1, at + OBJECTIVE_S, at + ROUTE_TIMEOUT_S))

    def run(self) -> None:
        while self._events:
            now, _, kind, call = heappop(self._events)
            if kind == "end":
                self._end(call, now)
            else:
                self._offer(call, now, is_first=kind == "first")
            started, _ = self.queue.dispatch(now)
            for each in started:
                self._start(each, now)

    def _offer(self, call: QueuedCall, now: float, *, is_first: bool) -> None:
        if is_first:
            self._began[call] = now
        decision = self.queue.offer(call, now, may_wait=True)
        if decision is Admission.START:
            self._start(call, now)
        elif decision is Admission.LATE and is_first:
            began = self._began[call]
            back = now + (began + CALLER_TIMEOUT_S - now) / 3
            again = QueuedCall("r", 1, call.due, back + ROUTE_TIMEOUT_S)
            self._began[again] = began
            self._add_event(back, "again", again)

    def _start(self, call: QueuedCall, now: float) -> None:
        mean = math.log(CALL_S) - SPREAD**2 / 2
        self._add_event(now + math.exp(self._random.gauss(mean, SPREAD)), "end", call)

    def _end(self, call: QueuedCall, now: float) -> None:
        self.queue.finish(call, now, ran=True)
        if now <= call.due:
            self.in_time += 1
        else:
            self.late += 1

    def _add_event(self, at: float, kind: str, call: QueuedCall) -> None:
        heappush(self._events, (at, next(self._numbers), kind, call))


@pytest.mark.parametrize("load", [1.4, 2.0])
def test_returning_callers_do_not_take_the_slots_of_timely_calls(
    monkeypatch: pytest.MonkeyPatch, load: float
) -> None:
    current, former = Overload(load), Overload(load)
    current.run()
    monkeypatch.setattr(admission, "OVERLOAD_MEMORY_S", 0.0)
    former.run()
    # A decider that knows everything fills all slots with timely calls.
    possible = current.calls / load
    assert current.in_time > 0.9 * possible
    assert current.in_time > former.in_time
    assert current.in_time + current.late > 0.97 * (former.in_time + former.late)


def make_overloaded_queue() -> AdmissionQueue:
    """Return a queue whose calls take 1 s and that has refused a timely call at 1.0."""
    queue = AdmissionQueue(1)
    running = QueuedCall("r", 1, 50.0, 50.0)
    assert queue.offer(running, 0.0, may_wait=True) is Admission.START
    queue.finish(running, 1.0, ran=True)
    assert queue.offer(QueuedCall("r", 1, 50.0, 50.0), 1.0, may_wait=True) is Admission.START
    assert queue.offer(QueuedCall("r", 1, 50.0, 50.0), 1.0, may_wait=True) is Admission.WAIT
    assert queue.offer(QueuedCall("r", 1, 2.5, 50.0), 1.0, may_wait=True) is Admission.LATE
    queue.clear_waiting()
    return queue


def test_late_calls_are_served_again_soon_after_an_overload() -> None:
    queue = make_overloaded_queue()
    late = QueuedCall("r", 1, 0.5, 50.0)
    assert queue.offer(late, 1.5, may_wait=True) is Admission.LATE
    after = 1.0 + admission.OVERLOAD_MEMORY_S
    assert queue.offer(late, after, may_wait=True) is Admission.WAIT


def test_a_nested_call_waits_in_an_overload() -> None:
    queue = make_overloaded_queue()
    assert queue.offer(QueuedCall("r", 0, 2.0, 4.0), 1.5, may_wait=True) is Admission.WAIT
