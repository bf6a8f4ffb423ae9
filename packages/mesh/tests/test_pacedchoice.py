from random import Random
from typing import Any

import pytest

from corianderwall.mesh.directory import EndpointView
from corianderwall.mesh.messages import Load, Refusal, ResponseMetadata
from corianderwall.mesh.pacedchoice import estimate_paced_wait, record_paced_refusal
from corianderwall.mesh.selection import ROUNDS, CallTraits, choose_endpoint, list_candidates

SMALL = CallTraits(zone="a", objective_ms=600, moved_bytes=0)


def make_view(make_endpoint: Any, name: str, cold_per_s: float | None) -> EndpointView:
    load = Load(slots=4, service_ms=100.0, cold_per_s=cold_per_s)
    return EndpointView(make_endpoint(name), load)


def test_a_cold_endpoint_is_chosen_in_proportion_to_its_pace(make_endpoint: Any) -> None:
    """Load pattern: two cold endpoints are idle beside a warm one, which runs 40 calls a second."""
    views = [
        make_view(make_endpoint, "warm", None),
        make_view(make_endpoint, "slow", 4.0),
        make_view(make_endpoint, "fast", 12.0),
    ]
    random = Random(1)
    chosen = [choose_endpoint(views, SMALL, (), 0.0, random) for _ in range(5600)]
    names = [view.record.id for view in chosen if view is not None]
    assert names.count("slow") == pytest.approx(400, rel=0.25)
    assert names.count("fast") == pytest.approx(1200, rel=0.15)
    cold = [choose_endpoint(views[1:], SMALL, (), 0.0, random) for _ in range(1000)]
    assert all(view in views[1:] for view in cold)


def test_an_endpoint_is_not_asked_before_its_next_turn(make_endpoint: Any) -> None:
    view = make_view(make_endpoint, "cold", 5.0)
    full = ResponseMetadata(ran=False, load=view.load, refusal=Refusal.FULL, wait_ms=350.0)
    record_paced_refusal(view, full, route="", now=1.0)
    assert list_candidates([view], SMALL, ROUNDS[0], "r", 1.3) == []
    assert list_candidates([view], SMALL, ROUNDS[0], "r", 1.4) == [view]
    assert estimate_paced_wait([view], 1.1) == pytest.approx(0.25)
    record_paced_refusal(view, full, route="r", now=1.0)
    assert list_candidates([view], SMALL, ROUNDS[1], "r", 1.15) == []
    assert list_candidates([view], SMALL, ROUNDS[1], "r", 1.25) == [view]


def test_a_refusal_without_a_pace_changes_nothing(make_endpoint: Any) -> None:
    view = make_view(make_endpoint, "warm", None)
    late = ResponseMetadata(ran=False, load=view.load, refusal=Refusal.LATE, wait_ms=900.0)
    record_paced_refusal(view, late, route="r", now=1.0)
    assert (view.full_until, view.late_until) == (0.0, {})
    assert estimate_paced_wait([view], 1.0) is None
