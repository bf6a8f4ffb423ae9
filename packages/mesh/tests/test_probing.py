"""Questions for free slots at a full service, without network.

Pattern: 40 owners and as many entries at 0.7 and at 1.3 times what the slots can run.
"""

import math
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.probing import MIN_PROBES, ProbePolicy
from corianderwall.mesh.selection import MAX_PROBES, MAX_QUEUE_TRIES

OWNERS = 40
SLOTS = 5
CALL_S = 0.2
OBJECTIVE_S = 0.7
TIMEOUT_S = 2.0
SPREAD = 0.35


class FixedPolicy:
    """Asks as many owners in all states, as before."""

    def record(self, service: str, now: float, *, refused: bool) -> None:
        pass

    def limit_probes(self, service: str, now: float) -> int:
        return MAX_PROBES


class Service:
    """The owners of a service and its entries; counts questions and calls in time."""

    def __init__(self, load: float, *, adaptive: bool, seconds: float = 12.0) -> None:
        self.questions = 0
        self.calls = 0
        self.in_time = 0
        self._random = Random(7)
        self._owners = [AdmissionQueue(SLOTS) for _ in range(OWNERS)]
        self._policies = [ProbePolicy() if adaptive else FixedPolicy() for _ in range(OWNERS)]
        self._ends: list[tuple[float, int, AdmissionQueue, QueuedCall]] = []
        self._numbers = count()
        now = 0.0
        while now < seconds:
            now += self._random.expovariate(OWNERS * SLOTS / CALL_S * load)
            self._run_until(now)
            self.calls += 1
            self._handle(QueuedCall("r", 1, now + OBJECTIVE_S, now + TIMEOUT_S), now)
        self._run_until(math.inf)

    def _handle(self, call: QueuedCall, now: float) -> None:
        policy = self._random.choice(self._policies)
        asked: list[AdmissionQueue] = []
        while len(asked) < policy.limit_probes("s", now):
            owner = self._choose(asked)
            self.questions += 1
            refused = owner.offer(call, now, may_wait=False) is not Admission.START
            policy.record("s", now, refused=refused)
            if not refused:
                self._start(owner, call, now)
                return
        # The answers of the owners that were asked have told how long their queues are.
        asked.sort(key=lambda owner: owner.estimate_wait(now, 1))
        for owner in [*asked, self._choose(asked)][:MAX_QUEUE_TRIES]:
            self.questions += 1
            decision = owner.offer(call, now, may_wait=True)
            if decision is Admission.START:
                self._start(owner, call, now)
            if decision is not Admission.LATE:
                return

    def _choose(self, asked: list[AdmissionQueue]) -> AdmissionQueue:
        owner = self._random.choice([each for each in self._owners if each not in asked])
        asked.append(owner)
        return owner

    def _start(self, owner: AdmissionQueue, call: QueuedCall, now: float) -> None:
        mean = math.log(CALL_S) - SPREAD**2 / 2
        took_s = math.exp(self._random.gauss(mean, SPREAD))
        heappush(self._ends, (now + took_s, next(self._numbers), owner, call))

    def _run_until(self, end: float) -> None:
        while self._ends and self._ends[0][0] <= end:
            now, _, owner, call = heappop(self._ends)
            owner.finish(call, now, ran=True)
            self.in_time += now <= call.due
            for each in owner.dispatch(now)[0]:
                self._start(owner, each, now)


def test_a_full_service_is_asked_far_less_and_serves_as_many_calls_in_time() -> None:
    """Guards against questions that nearly all are refused while a service is full."""
    before, after = Service(1.3, adaptive=False), Service(1.3, adaptive=True)
    assert after.questions < before.questions * 0.75
    assert after.in_time > before.in_time * 0.98


def test_a_service_with_room_is_asked_as_before() -> None:
    """Guards against calls that wait at one owner while another has a free slot."""
    before, after = Service(0.7, adaptive=False), Service(0.7, adaptive=True)
    assert after.in_time >= before.in_time * 0.995


@pytest.mark.parametrize(
    ("refused", "limit"), [(0.0, MAX_PROBES), (0.8, MAX_PROBES - 1), (1.0, MIN_PROBES)]
)
def test_the_limit_follows_the_refused_share(refused: float, limit: int) -> None:
    policy = ProbePolicy()
    for number in range(200):
        policy.record("s", number / 100, refused=number % 10 < refused * 10)
    assert policy.limit_probes("s", 2.0) == limit
    # Without news the full number of owners is asked again.
    assert policy.limit_probes("s", 12.0) == MAX_PROBES
