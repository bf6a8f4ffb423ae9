import pytest

from corianderwall.moves.comparison import Contrast, Origin
from corianderwall.moves.detector import Sample

ZONES = {"e1": "z1", "e2": "z2"}


@pytest.fixture
def contrast():
    return Contrast()


def take(contrast, place, calls, hits, *, is_new, route="r"):
    contrast.take(Origin(place, route), Sample(calls, hits, 0.01), is_new=is_new)


def test_versions_that_fail_alike_are_not_told_apart(contrast):
    take(contrast, "e1", 40, 16, is_new=True)
    take(contrast, "z1", 40, 16, is_new=False)
    assert contrast.measure(ZONES) == 0


def test_a_new_version_that_alone_fails_stands_out(contrast):
    take(contrast, "e1", 40, 16, is_new=True)
    take(contrast, "z1", 40, 0, is_new=False)
    assert contrast.measure(ZONES) > 3


def test_an_old_version_without_calls_tells_nothing(contrast):
    take(contrast, "e1", 40, 16, is_new=True)
    assert contrast.measure(ZONES) == 0


def test_a_bad_zone_of_both_is_not_a_bad_version_though_their_calls_differ_by_zone(contrast):
    take(contrast, "e1", 90, 36, is_new=True)
    take(contrast, "e2", 10, 0, is_new=True)
    take(contrast, "z1", 10, 4, is_new=False)
    take(contrast, "z2", 90, 0, is_new=False)
    assert contrast.measure(ZONES) == pytest.approx(0)


def test_a_route_and_an_endpoint_are_compared_on_their_own(contrast):
    for route, hits in (("good", 0), ("bad", 20)):
        take(contrast, "e1", 40, hits, is_new=True, route=route)
        take(contrast, "z1", 40, 0, is_new=False, route=route)
    assert contrast.measure(ZONES, route="good") == 0
    assert contrast.measure(ZONES, route="bad") > contrast.measure(ZONES, endpoint="e1") > 3


def test_old_calls_fade_and_ejected_endpoints_are_left_out(contrast):
    take(contrast, "e1", 40, 16, is_new=True)
    take(contrast, "z1", 40, 0, is_new=False)
    fresh = contrast.measure(ZONES)
    for _ in range(20):
        contrast.decay()
    assert contrast.measure(ZONES) < fresh / 3
    contrast.forget(["e1"])
    assert contrast.measure(ZONES) == 0
