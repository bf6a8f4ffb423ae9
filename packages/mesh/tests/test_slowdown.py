"""Endpoints of uneven and changing speed, with a model of a service.

Pattern: machines differ in speed from 0.55 to 1.2, 15 % of them are 2.5 times slower at any time,
and that changes every 0.6 s. Entries know the others from responses and one heartbeat a second.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import pytest

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.directory import Directory, EndpointView
from corianderwall.mesh.messages import EndpointRecord, Load, NodeRecord
from corianderwall.mesh.selection import (
    ROUNDS,
    CallTraits,
    choose_endpoint,
    estimate_call_ms,
    list_candidates,
)
from corianderwall.mesh.slowdown import FRESH_S, Slowdown, parse_slowdown

SLOTS = 2
WORK_S = 0.15
EPOCH_S = 0.6
SLOW = 2.5
SLOW_FRACTION = 0.15
TRAITS = CallTraits(zone="a", objective_ms=600, moved_bytes=0)
WARM_UP_S = 2.0
"""Time until the entries know the endpoints; not counted."""


class Machine:
    """An endpoint and its owner's queue; `done_s` is the work done, in seconds at its speed."""

    def __init__(self, random: Random) -> None:
        self.speed = 0.55 + 0.65 * random.random()
        self.queue = AdmissionQueue(SLOTS)
        self.done_s = 0.0
        self.work_s: dict[QueuedCall, float] = {}
        self._phase = random.random() * EPOCH_S
        self._slow = [random.random() < SLOW_FRACTION for _ in range(200)]

    def find_slowdown(self, now: float) -> float:
        return SLOW if self._slow[int((now + self._phase) / EPOCH_S)] else 1.0

    def find_end(self, now: float, work_s: float) -> float:
        epoch = int((now + self._phase) / EPOCH_S)
        while True:
            rate = self.speed / (SLOW if self._slow[epoch] else 1.0)
            epoch += 1
            left_s = epoch * EPOCH_S - self._phase - now
            if work_s <= left_s * rate:
                return now + work_s / rate
            work_s -= left_s * rate
            now += left_s

    def make_load(self, now: float) -> Load:
        return Load(
            running=len(self.queue.running),
            waiting=len(self.queue.waiting),
            slots=SLOTS,
            service_ms=self.queue.mean_s * 1000,
            slowdown=self.queue.slowdown.estimate(now),
        )


def make_view(number: int = 0, load: Load | None = None) -> EndpointView:
    record = EndpointRecord(
        id=str(number), service="s", version="v", node="n", zone="a", slots=SLOTS, born_unix_ms=1
    )
    return EndpointView(record, load or Load(slots=SLOTS))


class Model:
    """A service of `size` endpoints, with an entry beside each of them."""

    def __init__(self, size: int, seconds: float, *, reports: bool, all_known: bool) -> None:
        self.random = Random(size)
        self.machines = [Machine(self.random) for _ in range(size)]
        own = NodeRecord(name="e", zone="a", host="h", port=1, incarnation=1)
        self.entries = [Directory(own) for _ in range(size)]
        for entry in self.entries:
            for number in range(size):
                entry.endpoints[str(number)] = make_view(number)
        self.calls = self.in_time = 0
        self._reports, self._all_known = reports, all_known
        self._entry_of: dict[QueuedCall, Directory] = {}
        self._number = count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._seconds = seconds
        capacity = sum(each.speed for each in self.machines) * SLOTS / WORK_S
        self._rate = 0.7 * capacity / (1 + SLOW_FRACTION * (SLOW - 1))

    def run(self) -> "Model":
        self._add(0.0, self._arrive)
        for number in range(len(self.machines)):
            self._add(self.random.random(), self._send_heartbeat, number)
        while self._events[0][0] < self._seconds:
            now, _, handle, arguments = heappop(self._events)
            handle(now, *arguments)
        return self

    def measure_busiest(self, groups: int) -> float:
        """Return the load by speed of the busiest group of similar speed, by that of the mean."""
        ordered = sorted(self.machines, key=lambda each: each.speed)
        size = len(ordered) // groups
        loads = [sum(m.done_s for m in ordered[i * size : (i + 1) * size]) for i in range(groups)]
        return max(loads) * groups / sum(loads)

    def _add(self, at: float, handle: Callable[..., None], *arguments: Any) -> None:
        heappush(self._events, (at, next(self._number), handle, arguments))

    def _report(self, entry: Directory, number: int, now: float) -> None:
        entry.update_load(str(number), self.machines[number].make_load(now), now)

    def _send_heartbeat(self, now: float, number: int) -> None:
        peer = self.random.randrange(len(self.machines))
        self._report(self.entries[peer], number, now)
        self._report(self.entries[number], peer, now)
        self._add(now + 0.9 + 0.2 * self.random.random(), self._send_heartbeat, number)

    def _arrive(self, now: float) -> None:
        self._add(now + self.random.expovariate(self._rate), self._arrive)
        entry = self.random.choice(self.entries)
        self.calls += now >= WARM_UP_S
        call = QueuedCall("r", 1, now + TRAITS.objective_ms / 1000, now + 2.0)
        if self._all_known:
            self._offer(now, entry, self._find_least_loaded(), call, may_wait=True)
            return
        for round_ in ROUNDS:
            excluded: set[str] = set()
            for _ in range(round_.max_owners):
                views = list_candidates(list(entry.endpoints.values()), TRAITS, round_, "r", now)
                view = choose_endpoint(views, TRAITS, excluded, now, self.random)
                if view is None:
                    break
                excluded.add(view.record.id)
                number = int(view.record.id)
                if self._offer(now, entry, number, call, may_wait=round_.may_wait):
                    return
                self._report(entry, number, now)
                view.full_until = now + 0.05

    def _find_least_loaded(self) -> int:
        numbers = range(len(self.machines))
        free = [i for i in numbers if len(self.machines[i].queue.running) < SLOTS] or numbers
        return min(free, key=lambda i: self.machines[i].done_s)

    def _offer(
        self, now: float, entry: Directory, number: int, call: QueuedCall, *, may_wait: bool
    ) -> bool:
        machine = self.machines[number]
        admission = machine.queue.offer(call, now, may_wait=may_wait)
        if admission in (Admission.FULL, Admission.LATE):
            return False
        machine.work_s[call] = WORK_S
        machine.done_s += WORK_S / machine.speed if now >= WARM_UP_S else 0.0
        entry.endpoints[str(number)].pending += 1
        if admission is Admission.START:
            self._start(now, number, call)
        self._entry_of[call] = entry
        return True

    def _start(self, now: float, number: int, call: QueuedCall) -> None:
        machine = self.machines[number]
        self._add(machine.find_end(now, machine.work_s[call]), self._finish, number, call)

    def _finish(self, now: float, number: int, call: QueuedCall) -> None:
        machine, entry = self.machines[number], self._entry_of.pop(call)
        if self._reports:
            percent = round(100 * machine.find_slowdown(now))
            machine.queue.slowdown.record(b"1, 0, 2, %d" % percent, now)
        machine.queue.finish(call, now, ran=True)
        self.in_time += now <= call.due and call.due >= WARM_UP_S + 0.6
        entry.endpoints[str(number)].pending -= 1
        self._report(entry, number, now)
        started, late = machine.queue.dispatch(now)
        for other in started:
            self._start(now, number, other)
        for other in late:
            self._entry_of.pop(other).endpoints[str(number)].pending -= 1


@pytest.mark.parametrize(
    ("header", "slowdown"),
    [
        (b"3, 0, 8, 250", 2.5),
        (b"3;0;8;55", 0.55),
        (b"3, 0, 8", None),
        (b"3, 0, 8, 0", None),
        (b"3, 0, 8, 999999", 20.0),
        (b"3, 0, 8, 0.1", 0.1),
        (b"busy", None),
        (None, None),
    ],
)
def test_only_a_fourth_value_says_something_of_the_speed(
    header: bytes | None, slowdown: float | None
) -> None:
    """Guards against call times that change for endpoints without the value."""
    assert parse_slowdown(header) == slowdown


def test_a_value_counts_less_as_it_ages() -> None:
    """Guards against an endpoint that is avoided for a slow moment long ago."""
    slowdown = Slowdown()
    slowdown.record(b"1, 0, 8, 250", 10.0)
    slowdown.record(b"1, 0, 8", 10.1)
    assert slowdown.estimate(10.0) == 2.5
    assert 1.0 < slowdown.estimate(10.0 + FRESH_S / 2) < 2.5
    assert slowdown.estimate(10.0 + FRESH_S) == 1.0
    view = make_view(load=Load(slots=SLOTS, service_ms=100.0, slowdown=2.5))
    fresh, usual = (estimate_call_ms(view, 100.0, now) for now in (0.0, FRESH_S))
    assert fresh == pytest.approx(2.5 * usual)


def test_call_times_are_kept_as_at_the_usual_speed() -> None:
    """Guards against estimates that stay long after a slow moment has passed."""
    queue = AdmissionQueue(1)
    queue.slowdown.record(b"1, 0, 8, 250", 0.0)
    call = QueuedCall("r", 1, 9.0, 9.0)
    queue.offer(call, 0.0, may_wait=False)
    queue.slowdown.record(b"1, 0, 8, 250", 0.25)
    queue.finish(call, 0.25, ran=True)
    assert queue.mean_s == pytest.approx(0.1)
    assert queue.estimate_call("r", 0.25) == pytest.approx(0.25)
    assert queue.estimate_call("r", 0.25 + FRESH_S) == pytest.approx(0.1)


def test_waiting_calls_that_a_slow_moment_makes_hopeless_are_returned_at_once() -> None:
    """Guards against calls that wait at a slow endpoint until nobody can serve them in time."""
    queue = AdmissionQueue(1, mean_s=0.1)
    running, hopeless, patient = (QueuedCall("r", 1, end, end) for end in (9.0, 0.21, 9.0))
    assert queue.offer(running, 0.0, may_wait=False) is Admission.START
    assert queue.offer(hopeless, 0.0, may_wait=True) is Admission.WAIT
    assert queue.offer(patient, 0.0, may_wait=True) is Admission.WAIT
    assert queue.dispatch(0.05) == ([], [])
    queue.slowdown.record(b"1, 0, 8, 250", 0.05)
    assert queue.dispatch(0.05) == ([], [hopeless])


@pytest.mark.parametrize(
    ("size", "seconds", "groups"), [(13, 30.0, 13), (80, 14.0, 80), (300, 4.0, 10)]
)
def test_endpoints_are_loaded_by_their_speed(size: int, seconds: float, groups: int) -> None:
    """Guards against fast endpoints that get the calls of all entries.

    In 2 s each of 300 endpoints gets about 20 calls, too few to judge it alone, so they are judged
    in groups of similar speed there.
    """
    built = Model(size, seconds, reports=True, all_known=False).run()
    ideal = Model(size, seconds, reports=True, all_known=True).run()
    assert ideal.measure_busiest(groups) < built.measure_busiest(groups) < 1.4
    assert built.in_time / built.calls > ideal.in_time / ideal.calls - 0.02
