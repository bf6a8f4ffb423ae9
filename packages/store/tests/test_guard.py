from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.standins.memory import Fault, ManualTimer, MemoryObjectApi
from corianderwall.store.backoff import Backoff
from corianderwall.store.budget import CallBudget, PlatformRates, compute_share
from corianderwall.store.circuit import FAILURES_TO_OPEN, PROBE_TIMEOUT_S, CircuitBreaker
from corianderwall.store.guard import GuardedObjectApi


@settings(derandomize=True, deadline=None)
@given(nodes=st.integers(1, 2000), holders=st.integers(1, 20))
def test_all_shares_together_stay_below_the_platforms_rate(nodes: int, holders: int) -> None:
    holder_count = min(nodes, holders)
    total_rate = sum(
        compute_share(2000, nodes=nodes, holders=holders, is_holder=number < holder_count)
        for number in range(nodes)
    )
    assert total_rate <= 2000 * 0.9 + 1e-6


@settings(derandomize=True, deadline=None)
@given(waits=st.lists(st.floats(0, 3), max_size=60), rate=st.floats(0.1, 50))
def test_a_budget_never_admits_more_than_burst_and_rate(waits: list[float], rate: float) -> None:
    now, admitted = 0.0, 0
    budget = CallBudget(rate, now=now, burst=4)
    for wait in waits:
        now += wait
        admitted += budget.reserve(now, max_wait_s=0) is not None
    assert admitted <= max(4, rate) + rate * now + 1e-6


def test_a_budget_queues_calls_up_to_the_longest_wait() -> None:
    budget = CallBudget(2, now=0)
    waits = [budget.reserve(0, max_wait_s=1) for _ in range(5)]
    assert waits == [0, 0.5, 1.0, None, None]
    assert budget.compute_wait(0) == 1.5


def test_backoff_is_spread_from_zero_to_a_ceiling_that_doubles() -> None:
    backoff, random = Backoff(base_s=1, cap_s=8), Random(3)
    for attempt, ceiling in ((1, 1), (2, 2), (4, 8), (40, 8)):
        delays = [backoff.compute_delay(attempt, random) for _ in range(500)]
        assert 0 <= min(delays) < 0.1 * ceiling
        assert 0.9 * ceiling < max(delays) <= ceiling


def open_circuit() -> CircuitBreaker:
    circuit = CircuitBreaker(backoff=Backoff(base_s=1, cap_s=1))
    for _ in range(FAILURES_TO_OPEN):
        assert circuit.permit(0)
        circuit.record_failure(0, Random(1))
    return circuit


def test_the_circuit_opens_probes_and_closes() -> None:
    circuit = open_circuit()
    assert (circuit.state, circuit.permit(0)) == ("open", False)
    assert circuit.permit(1.1)
    assert (circuit.state, circuit.permit(1.2)) == ("probing", False)
    circuit.record_success()
    assert (circuit.state, circuit.permit(1.2)) == ("closed", True)


def test_a_failed_probe_opens_the_circuit_again() -> None:
    circuit = open_circuit()
    assert circuit.permit(1.1)
    circuit.record_failure(1.2, Random(1))
    assert (circuit.state, circuit.permit(1.2)) == ("open", False)


def test_a_probe_that_never_gets_a_response_does_not_block_the_next() -> None:
    circuit = open_circuit()
    assert circuit.permit(1.1)
    assert not circuit.permit(PROBE_TIMEOUT_S)
    assert circuit.permit(1.1 + PROBE_TIMEOUT_S)


def build_guard(fault: Fault) -> tuple[GuardedObjectApi, MemoryObjectApi, ManualTimer]:
    async def inject_fault(kind: str, key: str) -> Fault:
        return fault

    timer, inner = ManualTimer(), MemoryObjectApi(fault_hook=inject_fault)
    return GuardedObjectApi(inner, timer, Random(1), rates=PlatformRates()), inner, timer


def collect_error_codes(
    guard: GuardedObjectApi, timer: ManualTimer, calls: int
) -> list[ErrorCode | None]:
    outcomes: list[object] = []
    for _ in range(calls):
        Deferred.fromCoroutine(guard.read("a")).addBoth(outcomes.append)
        timer.clock.advance(0.01)
    return [None if each is None else each.value.code for each in outcomes]


def test_an_outage_costs_few_calls() -> None:
    guard, inner, timer = build_guard(Fault.DOWN)
    codes = collect_error_codes(guard, timer, 200)
    assert set(codes) == {ErrorCode.PLATFORM_UNAVAILABLE}
    assert FAILURES_TO_OPEN <= len(inner.calls) <= 20
    assert guard.counts.reads == len(inner.calls)


def test_a_conflict_does_not_count_as_a_platform_failure() -> None:
    guard, inner, timer = build_guard(Fault.NONE)
    inner.table.write("a", b"x", 0)
    for _ in range(FAILURES_TO_OPEN + 1):
        write = Deferred.fromCoroutine(guard.write_if("a", b"y", expected_revision=0))
        timer.clock.advance(1)
        with pytest.raises(CorianderwallError, match="CW300"):
            raise write.result.value
        write.addErrback(lambda _: None)
    assert guard.circuit_state == "closed"
    assert guard.counts.conflicts == FAILURES_TO_OPEN + 1


def test_a_node_above_its_share_refuses_calls() -> None:
    guard, inner, timer = build_guard(Fault.NONE)
    guard.adjust_rates(nodes=590, holders=5, is_holder=False)
    codes = collect_error_codes(guard, timer, 20)
    assert codes.count(ErrorCode.PLATFORM_THROTTLED) >= 17
    assert guard.counts.over_budget == codes.count(ErrorCode.PLATFORM_THROTTLED)
    assert len(inner.calls) <= 2


def test_a_node_without_a_role_in_a_large_fleet_admits_a_burst_of_writes() -> None:
    guard, inner, _ = build_guard(Fault.NONE)
    guard.adjust_rates(nodes=590, holders=4, is_holder=False)
    outcomes: list[object] = []
    for number in range(50):
        write = guard.write_if(f"k{number}", b"x", expected_revision=0)
        Deferred.fromCoroutine(write).addBoth(outcomes.append)
    assert len(outcomes) == 50
    assert guard.counts.over_budget == 0
    assert len(inner.calls) == 50
