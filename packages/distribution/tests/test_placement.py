from corianderwall.distribution.placement import choose_collectors, choose_watchers
from corianderwall.model.endpoint import Address, Host, Locality


def make_hosts(count: int) -> list[Host]:
    address = Address(host="127.0.0.1", port=7000)
    return [
        Host(
            name=f"host-{index}",
            locality=Locality(
                region=f"region-{index % 2}", zone=f"zone-{index % 5 * 2 + index % 2}"
            ),
            peer_address=address,
            call_address=address,
        )
        for index in range(count)
    ]


def test_each_region_has_two_watchers_in_distinct_zones() -> None:
    watchers = choose_watchers(make_hosts(100))
    regions = [host.locality.region for host in watchers]
    assert regions == ["region-0", "region-0", "region-1", "region-1"]
    assert len({host.locality.zone for host in watchers}) == 4


def test_the_loss_of_a_host_moves_only_its_own_roles() -> None:
    hosts = make_hosts(100)
    before = choose_watchers(hosts)
    after = choose_watchers(host for host in hosts if host != before[0])
    assert set(before[1:]) <= set(after)


def test_collectors_are_in_their_zone() -> None:
    collectors = choose_collectors(make_hosts(100), "zone-1", count=2)
    assert [host.locality.zone for host in collectors] == ["zone-1", "zone-1"]
