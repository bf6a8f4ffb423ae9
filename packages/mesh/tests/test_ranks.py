from typing import Any

from corianderwall.mesh.directory import Directory
from corianderwall.mesh.ranks import find_zone_leads, list_leads


def make_fleet(make_node: Any, own: str) -> Directory:
    names = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
    directory = Directory(make_node(own, zone=names[own]))
    for name, zone in names.items():
        directory.merge_node(make_node(name, zone=zone), 0.0)
    return directory


def test_all_nodes_agree_on_one_lead_per_zone_and_their_order(make_node: Any) -> None:
    fleets = [make_fleet(make_node, own) for own in ("a1", "a2", "b1", "b2")]
    leads = [find_zone_leads(fleet, True) for fleet in fleets]
    assert all(lead == leads[0] for lead in leads)
    assert set(leads[0]) == {"a", "b"}
    orders = [list_leads(fleet, True) for fleet in fleets]
    assert all(order == orders[0] for order in orders)
    assert set(orders[0]) == set(leads[0].values())


def test_a_lead_that_does_not_reach_the_platform_is_replaced(make_node: Any) -> None:
    fleet = make_fleet(make_node, "a1")
    lead = find_zone_leads(fleet, True)["b"]
    fleet.peers[lead].source_ok = False
    assert find_zone_leads(fleet, True)["b"] != lead


def test_a_silent_lead_is_replaced(make_node: Any) -> None:
    fleet = make_fleet(make_node, "a1")
    lead = find_zone_leads(fleet, True)["b"]
    fleet.note_silence(lead, 0.0)
    assert find_zone_leads(fleet, True)["b"] != lead


def test_where_no_node_reaches_the_platform_one_goes_on_trying(make_node: Any) -> None:
    fleet = make_fleet(make_node, "a1")
    for peer in fleet.peers.values():
        peer.source_ok = False
    assert set(find_zone_leads(fleet, False)) == {"a", "b"}
