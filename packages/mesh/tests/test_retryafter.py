from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.retryafter import (
    JITTER,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    compute_retry_after,
    encode_seconds,
)


def test_the_response_names_when_room_is_expected_within_bounds() -> None:
    random = Random(1)
    assert 0.4 <= compute_retry_after(0.4, random) <= 0.4 * (1 + JITTER)
    assert compute_retry_after(0.0, random) >= MIN_RETRY_AFTER_S
    assert compute_retry_after(60.0, random) <= MAX_RETRY_AFTER_S * (1 + JITTER)


def test_callers_refused_at_once_do_not_retry_at_once() -> None:
    """Load pattern: many callers are refused at the same instant."""
    random = Random(1)
    waits = sorted(compute_retry_after(0.4, random) for _ in range(100))
    assert waits[-1] - waits[0] > 0.15


def test_fractions_of_a_second_are_written_out() -> None:
    assert encode_seconds(0.25) == b"0.250"


def test_a_caller_that_can_be_in_time_retries_when_a_slot_is_expected() -> None:
    random = Random(1)
    for _ in range(50):
        after_s = compute_retry_after(0.1, random, left_s=6.0, timely_s=0.5)
        assert 0.1 <= after_s <= 0.1 * (1 + JITTER)


def test_the_retries_of_callers_that_will_be_late_spread_over_the_time_that_they_wait() -> None:
    random = Random(1)
    waits = [compute_retry_after(0.3, random, left_s=6.0, timely_s=0.5) for _ in range(200)]
    assert 0.3 <= min(waits) < 0.4
    assert 1.9 < max(waits) <= 2.0
    assert compute_retry_after(0.3, random, left_s=0.6, timely_s=-1.0) <= 0.3 * (1 + JITTER)
    assert compute_retry_after(0.3, random, left_s=float("inf"), timely_s=-1.0) < 1.0


OBJECTIVE_S, DEADLINE_S, WORK_S, SLOTS = 0.9, 5.6, 0.22, 12
Rule = Callable[[float, float, float], float]


class Overload:
    """Simulates a service under a step of load; callers give up after two refused retries."""

    def __init__(self, rule: Rule, seed: int) -> None:
        self.timely = self.late = self.unserved = 0
        self._rule = rule
        self._random = Random(seed)
        self._queue = AdmissionQueue(SLOTS)
        self._order = count()
        # Instant, order, the call that ends or None for an arrival, start of the caller.
        self._events: list[tuple[float, int, QueuedCall | None, float]] = []
        self._refusals: Counter[float] = Counter()
        self._arrivals: dict[QueuedCall, float] = {}

    def simulate(self, step: float, lasts_s: float) -> None:
        """Simulate 10 s of arrivals, `lasts_s` of them at `step` times the capacity."""
        at = 0.0
        while at < 10.0:
            load = step if 2.0 < at < 2.0 + lasts_s else 0.7
            at += self._random.expovariate(load * SLOTS / WORK_S)
            self._push(at, None, at)
        while self._events:
            now, _, done, arrived = heappop(self._events)
            if done is None:
                self._offer(arrived, now)
            else:
                self._finish(done, now)

    def _push(self, at: float, call: QueuedCall | None, arrived: float) -> None:
        heappush(self._events, (at, next(self._order), call, arrived))

    def _offer(self, arrived: float, now: float) -> None:
        call = QueuedCall("r", 1, arrived + OBJECTIVE_S, arrived + DEADLINE_S)
        self._arrivals[call] = arrived
        admission = self._queue.offer(call, now, may_wait=True)
        if admission is Admission.START:
            self._start(call, now)
        elif admission is not Admission.WAIT:
            self._refuse(call, now)

    def _start(self, call: QueuedCall, now: float) -> None:
        took_s = WORK_S * self._random.lognormvariate(-0.045, 0.3)
        self._push(now + took_s, call, self._arrivals[call])

    def _finish(self, call: QueuedCall, now: float) -> None:
        self._queue.finish(call, now, ran=True)
        self.timely += now <= call.due
        self.late += now > call.due
        started, late = self._queue.dispatch(now)
        for each in started:
            self._start(each, now)
        for each in late:
            self._refuse(each, now)

    def _refuse(self, call: QueuedCall, now: float) -> None:
        arrived = self._arrivals[call]
        self._refusals[arrived] += 1
        if self._refusals[arrived] > 2:
            self.unserved += 1
            return
        left_s = arrived + DEADLINE_S - now
        wait_s = self._queue.estimate_start(call, now)
        after_s = self._rule(wait_s, left_s, call.due - now)
        self._push(now + min(left_s / 3, after_s), None, arrived)


def make_jitter_rule(random: Random) -> Rule:
    """Return a rule that ignores the objective and the deadline."""
    return lambda wait_s, left_s, timely_s: compute_retry_after(wait_s, random)


def make_current_rule(random: Random) -> Rule:
    """Return the rule in use."""
    return lambda wait_s, left_s, timely_s: compute_retry_after(
        wait_s, random, left_s=left_s, timely_s=timely_s
    )


def test_more_callers_are_served_when_late_ones_retry_later() -> None:
    """Load pattern: load exceeds the capacity for some seconds, and refused callers retry.

    Early retries of callers that will be late anyway take slots from timely calls.
    """
    timely, unserved = [0, 0], [0, 0]
    for step, lasts_s in ((1.3, 1.0), (1.6, 2.0), (2.0, 3.0)):
        for seed in range(3):
            for i, make_rule in enumerate((make_jitter_rule, make_current_rule)):
                overload = Overload(make_rule(Random(seed)), seed)
                overload.simulate(step, lasts_s)
                timely[i] += overload.timely
                unserved[i] += overload.unserved
    # Nearly as many calls are timely, and fewer callers get no response.
    assert timely[1] > 0.99 * timely[0]
    assert unserved[1] < 0.9 * unserved[0]
