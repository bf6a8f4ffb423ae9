from collections import Counter
from random import Random
from typing import Any

from corianderwall.mesh.directory import OVERHEAD_EXPIRY_S, EndpointView
from corianderwall.mesh.messages import Load
from corianderwall.mesh.selection import (
    BIG_ROUNDS,
    ROUNDS,
    CallTraits,
    SelectionRound,
    choose_endpoint,
    list_candidates,
    prefer_zone,
)

SMALL = CallTraits(zone="a", objective_ms=600, moved_bytes=0)
BIG = CallTraits(zone="a", objective_ms=600, moved_bytes=90_000)


def make_view(make_endpoint: Any, name: str, **fields: Any) -> EndpointView:
    load = Load(slots=4, service_ms=fields.pop("service_ms", 100.0))
    if "load" in fields:
        load = fields.pop("load")
    return EndpointView(make_endpoint(name, **fields), load)


def choose(
    views: list[EndpointView], traits: CallTraits = SMALL, excluded: tuple[str, ...] = ()
) -> str:
    chosen = choose_endpoint(views, traits, excluded, 0.0, Random(1))
    assert chosen is not None
    return chosen.record.id


def test_the_own_zone_comes_first_while_it_costs_little(make_endpoint: Any) -> None:
    near = make_view(make_endpoint, "near", service_ms=150)
    far = make_view(make_endpoint, "far", zone="b", service_ms=100)
    assert choose([near, far]) == "near"


def test_a_full_endpoint_in_the_zone_loses_to_a_free_one_elsewhere(make_endpoint: Any) -> None:
    full = Load(running=4, waiting=4, slots=4, service_ms=100.0)
    near = make_view(make_endpoint, "near", load=full)
    far = make_view(make_endpoint, "far", zone="b")
    assert choose([near, far]) == "far"


def test_big_responses_stay_in_the_zone_for_longer(make_endpoint: Any) -> None:
    busy = Load(running=4, waiting=6, slots=4, service_ms=100.0)
    near = make_view(make_endpoint, "near", load=busy)
    far = make_view(make_endpoint, "far", zone="b")
    assert choose([near, far]) == "far"
    assert choose([near, far], BIG) == "near"


def test_a_slow_endpoint_gets_less(make_endpoint: Any) -> None:
    slow = make_view(make_endpoint, "slow", service_ms=900)
    fast = make_view(make_endpoint, "fast", service_ms=100)
    assert choose([slow, fast]) == "fast"


def test_a_failing_endpoint_gets_less(make_endpoint: Any) -> None:
    failure_factor = Load(slots=4, service_ms=60.0, failures=0.5)
    bad = make_view(make_endpoint, "bad", load=failure_factor)
    good = make_view(make_endpoint, "good")
    assert choose([bad, good]) == "good"


def test_own_calls_count_before_the_owner_has_reported_them(make_endpoint: Any) -> None:
    """Load pattern: many calls arrive between two load reports."""
    views = [make_view(make_endpoint, f"i-{n}") for n in range(4)]
    picks: Counter[str] = Counter()
    for _ in range(16):
        name = choose(views)
        picks[name] += 1
        next(view for view in views if view.record.id == name).pending += 1
    assert set(picks.values()) == {4}


def test_excluded_endpoints_are_not_chosen(make_endpoint: Any) -> None:
    views = [make_view(make_endpoint, "a"), make_view(make_endpoint, "b", service_ms=500)]
    assert choose(views, excluded=("a",)) == "b"
    assert choose_endpoint(views, SMALL, ("a", "b"), 0.0, Random(1)) is None


def test_an_endpoint_recovers_from_a_slow_start(make_endpoint: Any) -> None:
    cold = make_view(make_endpoint, "cold", service_ms=400)
    busy = Load(running=4, waiting=2, slots=4, service_ms=100.0)
    warm = make_view(make_endpoint, "warm", load=busy)
    cold.load_at = warm.load_at = 20.0
    assert choose_at(20.0, cold, warm)["cold"] < 10
    cold.load_at = 10.0
    assert choose_at(20.0, cold, warm)["cold"] > 90


def test_each_endpoint_gets_a_few_calls(make_endpoint: Any) -> None:
    slow, fast = make_view(make_endpoint, "slow", service_ms=900), make_view(make_endpoint, "fast")
    assert 0 < choose_at(0.0, slow, fast)["slow"] < 10


def choose_at(now: float, *views: EndpointView) -> Counter[str]:
    picks: Counter[str] = Counter()
    for seed in range(100):
        chosen = choose_endpoint(views, SMALL, (), now, Random(seed))
        assert chosen is not None
        picks[chosen.record.id] += 1
    return picks


def test_a_crowded_link_in_the_zone_loses_its_big_responses(make_endpoint: Any) -> None:
    """Load pattern: all big responses in a zone come over the slow link of its only endpoint."""
    near = make_view(make_endpoint, "near")
    far = make_view(make_endpoint, "far", zone="b")
    assert prefer_zone([near, far], BIG, 0.0) == [near]
    for _ in range(5):
        near.big_overhead.add_sample(900.0, 0.0)
    assert prefer_zone([near, far], BIG, 0.0) == [near, far]
    assert choose([near, far], BIG) == "far"
    # The overhead of small responses is tracked separately, and the link is tried again later.
    assert choose([near, far]) == "near"
    assert prefer_zone([near, far], BIG, OVERHEAD_EXPIRY_S) == [near]


def test_where_the_zone_has_no_endpoint_all_are_kept(make_endpoint: Any) -> None:
    far = make_view(make_endpoint, "far", zone="b")
    assert prefer_zone([far], BIG, 0.0) == [far]


def list_names(views: list[EndpointView], round_: SelectionRound, route: str = "r") -> list[str]:
    return [view.record.id for view in list_candidates(views, BIG, round_, route, 1.0)]


def test_a_big_response_leaves_the_zone_only_after_its_zone_was_asked(make_endpoint: Any) -> None:
    near = make_view(make_endpoint, "near")
    far = make_view(make_endpoint, "far", zone="b")
    names = [list_names([near, far], round_) for round_ in BIG_ROUNDS]
    assert names == [["near"], ["near"], ["far"]]
    assert [round_.may_wait for round_ in BIG_ROUNDS] == [False, True, False]
    assert all(list_names([near, far], round_) == ["near", "far"] for round_ in ROUNDS)


def test_an_endpoint_that_has_just_refused_is_not_asked_again(make_endpoint: Any) -> None:
    full, late = make_view(make_endpoint, "full"), make_view(make_endpoint, "late")
    full.full_until = late.late_until["r"] = 2.0
    probe, wait = ROUNDS
    assert list_names([full, late], probe) == ["late"]
    assert list_names([full, late], wait) == ["full"]
    # Calls on another route may be shorter, and nested calls ignore earlier refusals.
    assert list_names([full, late], wait, "other") == ["full", "late"]
    assert list_names([full, late], wait, "") == ["full", "late"]


def test_a_call_that_the_zone_would_serve_late_leaves_it_although_it_moves_bytes(
    make_endpoint: Any,
) -> None:
    """Pattern: the endpoint of a zone is slow, and bytes between zones are dear."""
    traits = CallTraits(zone="a", objective_ms=500, moved_bytes=5000)
    chosen = {}
    for near_ms in (220, 400):
        near = make_view(make_endpoint, "near", service_ms=near_ms)
        far = make_view(make_endpoint, "far", zone="b", service_ms=215)
        chosen[near_ms] = choose([near, far], traits)
    assert chosen == {220: "near", 400: "far"}


def test_the_more_bytes_a_call_moves_the_longer_it_stays_in_its_zone(make_endpoint: Any) -> None:
    near = make_view(make_endpoint, "near", service_ms=280)
    far = make_view(make_endpoint, "far", zone="b", service_ms=100)
    sizes = (0, 5_000, 90_000)
    chosen = [choose([near, far], CallTraits("a", 600, size)) for size in sizes]
    assert chosen == ["far", "near", "near"]
