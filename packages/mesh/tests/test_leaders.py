from typing import Any

from corianderwall.mesh.directory import Directory
from corianderwall.mesh.leaders import find_zone_leaders, list_leaders


def make_fleet(make_node: Any, own: str) -> Directory:
    names = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
    directory = Directory(make_node(own, zone=names[own]))
    for name, zone in names.items():
        directory.merge_node(make_node(name, zone=zone), 0.0)
    return directory


def test_all_nodes_agree_on_one_leader_per_zone_and_their_order(make_node: Any) -> None:
    fleets = [make_fleet(make_node, own) for own in ("a1", "a2", "b1", "b2")]
    leaders = [find_zone_leaders(directory, True) for directory in fleets]
    assert all(leader == leaders[0] for leader in leaders)
    assert set(leaders[0]) == {"a", "b"}
    orders = [list_leaders(directory, True) for directory in fleets]
    assert all(order == orders[0] for order in orders)
    assert set(orders[0]) == set(leaders[0].values())


def test_a_leader_that_does_not_reach_the_platform_is_replaced(make_node: Any) -> None:
    directory = make_fleet(make_node, "a1")
    leader = find_zone_leaders(directory, True)["b"]
    directory.peers[leader].source_ok = False
    assert find_zone_leaders(directory, True)["b"] != leader


def test_an_unresponsive_leader_is_replaced(make_node: Any) -> None:
    directory = make_fleet(make_node, "a1")
    leader = find_zone_leaders(directory, True)["b"]
    directory.record_failure(leader, 0.0)
    assert find_zone_leaders(directory, True)["b"] != leader


def test_a_zone_has_a_leader_even_if_no_node_reaches_the_platform(make_node: Any) -> None:
    directory = make_fleet(make_node, "a1")
    for peer in directory.peers.values():
        peer.source_ok = False
    assert set(find_zone_leaders(directory, False)) == {"a", "b"}
