import random

from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.moves.share import TrafficSplitter, compute_phase

NODES = [f"n{index:03d}" for index in range(590)]


def create_splitters(permille):
    splitters = [TrafficSplitter(compute_phase("m1", node, NODES)) for node in NODES]
    for splitter in splitters:
        splitter.update(permille)
    return splitters


@settings(derandomize=True, deadline=None, max_examples=8)
@given(st.integers(1, 60), st.sampled_from([1, 10, 50, 200]))
def test_a_small_share_holds_in_total_with_equal_calls(calls, permille):
    splitters = create_splitters(permille)
    chosen = sum(splitter.choose_new() for splitter in splitters for _ in range(calls))
    assert abs(chosen - len(splitters) * calls * permille / 1000) <= 2


def test_a_small_share_holds_in_total_with_few_and_uneven_calls():
    for seed in range(20):
        rng = random.Random(seed)
        splitters = create_splitters(10)
        calls = rng.choices(range(len(splitters)), [rng.random() ** 3 for _ in splitters], k=3000)
        chosen = sum(splitters[index].choose_new() for index in calls)
        assert 15 <= chosen <= 45


def test_a_change_of_share_grants_no_extra_call():
    splitter = TrafficSplitter(0.99)
    chosen = 0
    for permille in (10, 11, 12, 13, 14):
        splitter.update(permille)
        chosen += splitter.choose_new()
    assert chosen <= 1


def test_sticky_calls_stay_together_and_never_go_back_as_the_share_rises():
    splitter = TrafficSplitter(0.0)
    moved: set[str] = set()
    for permille in (10, 50, 200, 500, 1000):
        splitter.update(permille)
        now = {name for name in (f"c{i}" for i in range(500)) if splitter.choose_new(name)}
        assert moved <= now
        moved = now
    assert len(moved) == 500


def test_a_stopped_splitter_stays_stopped():
    splitter = TrafficSplitter(0.5)
    splitter.update(1000)
    splitter.stop()
    splitter.update(1000)
    assert not any(splitter.choose_new(sticky) for sticky in ("", "a", "b"))
