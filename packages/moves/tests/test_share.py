import random

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.moves.share import ShareGate, compute_phase

NODES = [f"n{index:03d}" for index in range(590)]


def create_gates(permille):
    gates = [ShareGate(compute_phase("m1", node, NODES)) for node in NODES]
    for gate in gates:
        gate.update(permille)
    return gates


@settings(derandomize=True, deadline=None, max_examples=8)
@given(st.integers(1, 60), st.sampled_from([1, 10, 50, 200]))
def test_a_small_share_holds_in_total_with_equal_calls(calls, permille):
    gates = create_gates(permille)
    chosen = sum(gate.choose_new() for gate in gates for _ in range(calls))
    assert abs(chosen - len(gates) * calls * permille / 1000) <= 2


def test_a_small_share_holds_in_total_with_few_and_uneven_calls():
    for seed in range(20):
        rng = random.Random(seed)
        gates = create_gates(10)
        calls = rng.choices(range(len(gates)), [rng.random() ** 3 for _ in gates], k=3000)
        chosen = sum(gates[index].choose_new() for index in calls)
        assert 15 <= chosen <= 45


def test_a_change_of_share_grants_no_extra_call():
    gate = ShareGate(0.99)
    chosen = 0
    for permille in (10, 11, 12, 13, 14):
        gate.update(permille)
        chosen += gate.choose_new()
    assert chosen <= 1


def test_sticky_calls_stay_together_and_never_go_back_as_the_share_rises():
    gate = ShareGate(0.0)
    moved: set[str] = set()
    for permille in (10, 50, 200, 500, 1000):
        gate.update(permille)
        now = {name for name in (f"c{i}" for i in range(500)) if gate.choose_new(name)}
        assert moved <= now
        moved = now
    assert len(moved) == 500


def test_a_closed_gate_stays_closed():
    gate = ShareGate(0.5)
    gate.update(1000)
    gate.close()
    gate.update(1000)
    assert not any(gate.choose_new(sticky) for sticky in ("", "a", "b"))
