import pytest

from corianderwall.moves.comparison import CallGroup, VersionComparison
from corianderwall.moves.detector import Sample

ZONES = {"e1": "z1", "e2": "z2"}


@pytest.fixture
def comparison():
    return VersionComparison()


def add_sample(comparison, place, calls, bad_calls, *, is_new, route="r"):
    comparison.add_sample(CallGroup(place, route), Sample(calls, bad_calls, 0.01), is_new=is_new)


def test_versions_that_fail_alike_give_no_evidence(comparison):
    add_sample(comparison, "e1", 40, 16, is_new=True)
    add_sample(comparison, "z1", 40, 16, is_new=False)
    assert comparison.compute_log_ratio(ZONES) == 0


def test_a_new_version_that_alone_fails_gives_evidence(comparison):
    add_sample(comparison, "e1", 40, 16, is_new=True)
    add_sample(comparison, "z1", 40, 0, is_new=False)
    assert comparison.compute_log_ratio(ZONES) > 3


def test_an_old_version_without_calls_gives_no_evidence(comparison):
    add_sample(comparison, "e1", 40, 16, is_new=True)
    assert comparison.compute_log_ratio(ZONES) == 0


def test_a_zone_that_is_bad_for_both_versions_gives_no_evidence_though_their_calls_differ_by_zone(
    comparison,
):
    add_sample(comparison, "e1", 90, 36, is_new=True)
    add_sample(comparison, "e2", 10, 0, is_new=True)
    add_sample(comparison, "z1", 10, 4, is_new=False)
    add_sample(comparison, "z2", 90, 0, is_new=False)
    assert comparison.compute_log_ratio(ZONES) == pytest.approx(0)


def test_a_route_and_an_endpoint_are_compared_on_their_own(comparison):
    for route, bad_calls in (("good", 0), ("bad", 20)):
        add_sample(comparison, "e1", 40, bad_calls, is_new=True, route=route)
        add_sample(comparison, "z1", 40, 0, is_new=False, route=route)
    assert comparison.compute_log_ratio(ZONES, route="good") == 0
    assert (
        comparison.compute_log_ratio(ZONES, route="bad")
        > comparison.compute_log_ratio(ZONES, endpoint="e1")
        > 3
    )


def test_old_calls_decay_and_removed_endpoints_are_not_counted(comparison):
    add_sample(comparison, "e1", 40, 16, is_new=True)
    add_sample(comparison, "z1", 40, 0, is_new=False)
    fresh = comparison.compute_log_ratio(ZONES)
    for _ in range(20):
        comparison.decay()
    assert comparison.compute_log_ratio(ZONES) < fresh / 3
    comparison.remove_endpoints(["e1"])
    assert comparison.compute_log_ratio(ZONES) == 0
