from collections import Counter
from random import Random

from corianderwall.mesh.splits import WeightedSplit
from corianderwall.model.resource import Route, ServiceWeight


def make_route(*weights: tuple[str, int]) -> Route:
    backends = tuple(ServiceWeight(service=name, weight=weight) for name, weight in weights)
    return Route(name="r", service="", backends=backends)


def test_shares_are_exact_over_each_run_as_long_as_the_sum_of_weights() -> None:
    split = WeightedSplit(Random(1))
    route = make_route(("a", 7), ("b", 2), ("c", 1))
    for _ in range(50):
        assert Counter(split.pick(route) for _ in range(10)) == {"a": 7, "b": 2, "c": 1}


def test_a_route_to_one_service_always_uses_it() -> None:
    split = WeightedSplit(Random(1))
    assert split.pick(Route(name="r", service="a")) == "a"


def test_new_weights_take_effect_at_once() -> None:
    split = WeightedSplit(Random(1))
    split.pick(make_route(("a", 1), ("b", 9)))
    picks = Counter(split.pick(make_route(("a", 9), ("b", 1))) for _ in range(100))
    assert 88 <= picks["a"] <= 92


def test_a_service_without_weight_gets_no_call() -> None:
    split = WeightedSplit(Random(1))
    route = make_route(("a", 0), ("b", 5))
    assert {split.pick(route) for _ in range(40)} == {"b"}


def test_nodes_start_at_different_points() -> None:
    route = make_route(("a", 1), ("b", 1))
    firsts = {WeightedSplit(Random(seed)).pick(route) for seed in range(20)}
    assert firsts == {"a", "b"}
