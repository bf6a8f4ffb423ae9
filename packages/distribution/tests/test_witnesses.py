from dataclasses import dataclass, field

import pytest

from corianderwall.distribution.messages import NO_VERSION
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.distribution.witnesses import Holders, WitnessRule
from corianderwall.membership.status import Status
from corianderwall.model.endpoint import Address, Host, Locality


def make_host(name: str, zone: str) -> Host:
    address = Address(host="127.0.0.1", port=7000)
    locality = Locality(region="r", zone=zone)
    return Host(name=name, locality=locality, peer_address=address, call_address=address)


@dataclass
class FixedMembers:
    hosts: tuple[Host, ...]
    sessions: dict[str, int] = field(default_factory=dict)
    neighbours: tuple[str, ...] = ()
    has_joined: bool = True
    view_digest: int = 1

    @property
    def me(self) -> Host:
        return self.hosts[0]

    def find_host(self, name: str) -> Host | None:
        return next((host for host in self.hosts if host.name == name), None)

    def list_hosts(self) -> tuple[Host, ...]:
        return self.hosts

    def get_status(self, name: str) -> Status:
        return Status.LIVE

    def get_session(self, name: str) -> int:
        return self.sessions.get(name, 1)


@pytest.fixture
def members() -> FixedMembers:
    zones = ("a", "a", "a", "b")
    return FixedMembers(tuple(make_host(f"h{index}", zone) for index, zone in enumerate(zones)))


@pytest.fixture
def holders() -> Holders:
    return Holders()


@pytest.fixture
def witness_rule(members: FixedMembers, holders: Holders) -> WitnessRule:
    return WitnessRule(members, holders, DistributionSettings())


def test_two_witnesses_of_one_zone_are_not_enough_where_there_are_two(
    witness_rule: WitnessRule, holders: Holders
) -> None:
    holders.note("h1", 1, 7)
    holders.note("h2", 1, 7)
    assert witness_rule.find_witnessed(7, is_patient=True) == NO_VERSION
    assert witness_rule.find_witnessed(7, is_patient=False) == 7
    holders.note("h3", 1, 6)
    assert witness_rule.find_witnessed(7, is_patient=True) == 6


def test_a_witness_that_restarted_no_longer_counts(
    witness_rule: WitnessRule, holders: Holders, members: FixedMembers
) -> None:
    holders.note("h1", 1, 7)
    holders.note("h3", 1, 7)
    assert witness_rule.find_witnessed(7, is_patient=True) == 7
    members.sessions["h3"] = 2
    assert witness_rule.find_witnessed(7, is_patient=True) == NO_VERSION
    holders.note("h3", 1, 8)
    assert witness_rule.find_witnessed(7, is_patient=True) == NO_VERSION


def test_a_host_that_is_alone_needs_no_witness(holders: Holders) -> None:
    members = FixedMembers((make_host("h0", "a"),))
    witness_rule = WitnessRule(members, holders, DistributionSettings())
    assert witness_rule.find_witnessed(7, is_patient=True) == 7
