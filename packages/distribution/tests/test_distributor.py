from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from corianderwall.distribution.events import DigestConflict, UpdateRefused
from corianderwall.distribution.messages import SnapshotPart, Update
from corianderwall.model.change import PutRoute, PutService, apply_change
from corianderwall.model.codec import compute_digest
from corianderwall.model.delta import compute_delta
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Route, Service, Snapshot, VersionShare

Build = Callable[..., Any]


def put_service(snapshot: Snapshot, name: str) -> Snapshot:
    split = (VersionShare(version="v1", permille=1000),)
    return apply_change(snapshot, PutService(Service(name=name, versions=("v1",), split=split)))


def put_services(fleet: Any, count: int, *, pause_s: float = 0.0) -> None:
    for index in range(count):
        fleet.accept(put_service(fleet.head, f"service-{fleet.head.version}-{index}"))
        fleet.run(pause_s)


def test_a_change_is_active_everywhere_within_a_second(build_fleet: Build) -> None:
    fleet = build_fleet(40)
    reads = fleet.platform_reads
    put_services(fleet, 1)
    fleet.run(1.0)
    assert fleet.find_lagging() == []
    assert fleet.platform_reads - reads <= 4


def test_a_burst_of_changes_ends_at_the_newest_everywhere(build_fleet: Build) -> None:
    fleet = build_fleet(20)
    put_services(fleet, 30, pause_s=0.1)
    fleet.run(1.0)
    assert fleet.find_lagging() == []


def test_a_node_that_missed_many_versions_catches_up_in_one_exchange(build_fleet: Build) -> None:
    fleet = build_fleet(10)
    fleet.paused.add("host-003")
    fleet.is_cut = lambda sender, receiver: "host-003" in (sender, receiver)
    put_services(fleet, 100, pause_s=0.1)
    fleet.paused.discard("host-003")
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(4.0)
    assert fleet.find_lagging() == []


def test_a_dangling_head_is_refused_whole(build_fleet: Build) -> None:
    fleet = build_fleet(3)
    node = fleet.nodes["host-000"]
    bad = replace(fleet.head, version=9, routes=(Route(name="r", service="absent"),))
    with pytest.raises(CorianderwallError) as caught:
        node.distributor.handle_head(bad, fleet.now)
    assert caught.value.code is ErrorCode.DANGLING_REFERENCE
    assert node.distributor.held_version == 0


def test_a_dangling_update_of_a_peer_is_refused_whole(build_fleet: Build) -> None:
    fleet = build_fleet(3)
    base = fleet.head
    bad = replace(base, version=9, routes=(Route(name="r", service="absent"),))
    node = fleet.nodes["host-000"]
    node.distributor.handle("host-001", Update(1, compute_delta(base, bad)), fleet.now)
    assert node.distributor.held_version == 0
    kinds = [
        event.code for event in node.distributor.take_events() if isinstance(event, UpdateRefused)
    ]
    assert kinds == [ErrorCode.DANGLING_REFERENCE]


def test_a_damaged_part_is_refused_whole(build_fleet: Build) -> None:
    fleet = build_fleet(3)
    node = fleet.nodes["host-000"]
    part = SnapshotPart(session=1, version=9, digest="0" * 32, index=0, count=1, data=b"damaged")
    node.distributor.handle("host-001", part, fleet.now)
    assert node.distributor.held_version == 0
    assert any(isinstance(event, UpdateRefused) for event in node.distributor.take_events())


def test_crossed_updates_end_at_the_newer_version(build_fleet: Build) -> None:
    fleet = build_fleet(3)
    first = put_service(fleet.head, "a")
    second = put_service(first, "b")
    node = fleet.nodes["host-000"]
    node.distributor.handle("host-001", Update(1, compute_delta(first, second)), fleet.now)
    assert node.distributor.held_version == 0
    node.distributor.handle("host-001", Update(1, compute_delta(fleet.head, first)), fleet.now)
    node.distributor.handle("host-002", Update(1, compute_delta(first, second)), fleet.now)
    assert node.distributor.held_version == 2
    node.distributor.handle("host-001", Update(1, compute_delta(fleet.head, first)), fleet.now)
    assert node.distributor.held_version == 2


def test_a_version_is_not_active_before_two_others_hold_it(build_fleet: Build) -> None:
    fleet = build_fleet(6, regions=1, zones=3)
    node = fleet.nodes["host-000"]
    fleet.is_cut = lambda sender, receiver: True
    changed = put_service(fleet.head, "a")
    fleet.accept(changed)
    fleet.is_platform_up = False
    node.distributor.handle_head(changed, fleet.now)
    fleet.run(2.0)
    assert node.distributor.held_version == 1
    assert node.distributor.current.version == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(4.0)
    assert fleet.find_lagging() == []


def test_a_returning_node_waits_for_its_region_while_the_platform_is_down(
    build_fleet: Build,
) -> None:
    fleet = build_fleet(10)
    put_services(fleet, 3, pause_s=1.0)
    fleet.is_platform_up = False
    fleet.stop("host-002")
    fleet.run(0.5)
    near = {name for name, host in fleet.hosts.items() if host.locality.region == "region-0"}
    held_back = sorted(near - {"host-002"})[0]
    fleet.is_cut = lambda sender, receiver: {sender, receiver} == {held_back, "host-002"}
    fleet.start("host-002")
    fleet.run(5.0)
    assert not fleet.nodes["host-002"].distributor.is_ready
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(5.0)
    assert fleet.find_lagging() == []


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_many_nodes_return_with_the_platform_up(build_fleet: Build, share: float) -> None:
    fleet = build_fleet(30)
    put_services(fleet, 3, pause_s=1.0)
    reads = fleet.platform_reads
    for name in list(fleet.nodes)[: int(30 * share)]:
        fleet.stop(name)
        fleet.start(name)
    fleet.run(8.0)
    assert fleet.find_lagging() == []
    assert fleet.platform_reads - reads < 60


def test_half_of_the_fleet_returns_with_the_platform_down(build_fleet: Build) -> None:
    fleet = build_fleet(30)
    put_services(fleet, 3, pause_s=1.0)
    fleet.is_platform_up = False
    for name in list(fleet.nodes)[:15]:
        fleet.stop(name)
        fleet.start(name)
    fleet.run(15.0)
    assert fleet.find_lagging() == []


def test_nodes_that_all_restarted_serve_nothing_until_the_platform_is_back(
    build_fleet: Build,
) -> None:
    fleet = build_fleet(10)
    put_services(fleet, 3, pause_s=1.0)
    fleet.is_platform_up = False
    for name in list(fleet.nodes):
        fleet.stop(name)
        fleet.start(name)
    fleet.run(30.0)
    assert not any(node.distributor.is_ready for node in fleet.nodes.values())
    fleet.is_platform_up = True
    fleet.run(8.0)
    assert fleet.find_lagging() == []


def test_the_wait_for_a_version_names_the_hosts_that_lack_it(build_fleet: Build) -> None:
    fleet = build_fleet(20)
    fleet.paused.add("host-007")
    put_services(fleet, 1)
    fleet.run(1.0)
    core = fleet.nodes["host-001"].distributor
    fleet.send("host-001", core.start_wait(1, fleet.now + 10.0, fleet.now))
    fleet.run(1.0)
    assert core.read_rollout(1).lacking == ("host-007",)
    fleet.paused.discard("host-007")
    fleet.run(4.0)
    assert core.read_rollout(1).is_complete


def test_a_restarted_host_is_not_counted_before_it_is_ready(build_fleet: Build) -> None:
    fleet = build_fleet(10)
    put_services(fleet, 1)
    fleet.run(1.0)
    fleet.is_platform_up = False
    fleet.is_cut = lambda sender, receiver: False
    fleet.stop("host-007")
    fleet.start("host-007")
    fleet.step()
    assert not fleet.nodes["host-007"].distributor.is_ready
    fleet.run(0.3)
    core = fleet.nodes["host-001"].distributor
    fleet.send("host-001", core.start_wait(1, fleet.now + 10.0, fleet.now))
    fleet.run(0.3)
    assert core.read_rollout(1).lacking == ("host-007",)
    fleet.run(6.0)
    assert core.read_rollout(1).is_complete


def test_regions_apart_converge_when_they_meet(build_fleet: Build) -> None:
    fleet = build_fleet(20)
    regions = {name: host.locality.region for name, host in fleet.hosts.items()}
    fleet.is_cut = lambda sender, receiver: regions[sender] != regions[receiver]
    put_services(fleet, 2, pause_s=10.0)
    fleet.run(1.0)
    assert fleet.find_lagging() == []


def test_another_snapshot_under_the_held_version_is_reported_once(build_fleet: Build) -> None:
    fleet = build_fleet(3)
    put_services(fleet, 1)
    fleet.run(1.0)
    node = fleet.nodes["host-000"]
    other = replace(fleet.head, services=())
    for _ in range(3):
        node.distributor.handle_head(other, fleet.now)
    events = node.distributor.take_events()
    assert events == [DigestConflict("platform", 1)]
    assert node.distributor.current == fleet.head


def test_a_large_snapshot_travels_in_bounded_parts(build_fleet: Build) -> None:
    fleet = build_fleet(6)
    head = put_service(fleet.head, "a")
    routes = tuple(
        Route(name=f"route-{index:05d}", service="a", path_prefix=f"/{fleet.rng.random()}")
        for index in range(8000)
    )
    fleet.accept(apply_change(replace(head, routes=routes), PutRoute(routes[0])))
    fleet.run(5.0)
    assert fleet.find_lagging() == []
    assert compute_digest(fleet.nodes["host-004"].distributor.current) == compute_digest(fleet.head)
