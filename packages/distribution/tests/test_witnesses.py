from collections.abc import Callable
from typing import Any

import pytest

from corianderwall.distribution.messages import NO_VERSION
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.distribution.witnesses import Holders, WitnessRule


@pytest.fixture
def members(build_members: Callable[[str], Any]) -> Any:
    return build_members("aaab")


@pytest.fixture
def holders() -> Holders:
    return Holders()


@pytest.fixture
def witness_rule(members: Any, holders: Holders) -> WitnessRule:
    return WitnessRule(members, holders, DistributionSettings())


def test_two_witnesses_in_one_zone_are_not_enough_in_a_region_of_two_zones(
    witness_rule: WitnessRule, holders: Holders
) -> None:
    holders.record_acknowledgement("h1", 1, 7)
    holders.record_acknowledgement("h2", 1, 7)
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == NO_VERSION
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=False) == 7
    holders.record_acknowledgement("h3", 1, 6)
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == 6


def test_a_witness_that_restarted_no_longer_counts(
    witness_rule: WitnessRule, holders: Holders, members: Any
) -> None:
    holders.record_acknowledgement("h1", 1, 7)
    holders.record_acknowledgement("h3", 1, 7)
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == 7
    members.sessions["h3"] = 2
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == NO_VERSION
    holders.record_acknowledgement("h3", 1, 8)
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == NO_VERSION


def test_a_host_that_is_alone_needs_no_witness(
    holders: Holders, build_members: Callable[[str], Any]
) -> None:
    witness_rule = WitnessRule(build_members("a"), holders, DistributionSettings())
    assert witness_rule.find_witnessed_version(7, needs_distinct_zones=True) == 7
