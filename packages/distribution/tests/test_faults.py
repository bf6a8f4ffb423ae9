"""A state machine that injects faults into a simulated fleet, which checks its invariants.

While the platform is down, at most `MAX_FAILED` hosts of a region are recovering, paused or
isolated at the same time, since the witness rule covers no more.
"""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from corianderwall.distribution.messages import Update
from corianderwall.model.change import PutService, apply_change
from corianderwall.model.delta import compute_delta
from corianderwall.model.resource import Route, Service, VersionShare

NODES = 9
ZONES = 3
MAX_FAILED = 2
RECOVERY_S = 45.0

names = st.integers(0, NODES - 1).map(lambda index: f"host-{index:03d}")


class FaultyFleet(RuleBasedStateMachine):
    fleet_type: type = object

    @initialize(seed=st.integers(0, 9))
    def start(self, seed: int) -> None:
        self.fleet = self.fleet_type(NODES, regions=2, zones=ZONES, seed=seed)
        self.fleet.is_cut = self.is_cut
        self.isolated: set[str] = set()
        self.are_regions_apart = False
        self.fleet.run(8.0)
        assert self.fleet.find_lagging() == []

    def is_cut(self, sender: str, receiver: str) -> bool:
        if sender in self.isolated or receiver in self.isolated:
            return True
        hosts = self.fleet.hosts
        are_near = hosts[sender].locality.region == hosts[receiver].locality.region
        return self.are_regions_apart and not are_near

    def list_failed(self, region: str) -> set[str]:
        return {
            name
            for name, node in self.fleet.nodes.items()
            if self.fleet.hosts[name].locality.region == region
            and (
                name in self.fleet.paused or name in self.isolated or not node.distributor.is_ready
            )
        }

    def may_fail(self, name: str) -> bool:
        region = self.fleet.hosts[name].locality.region
        failed = self.list_failed(region) | {name}
        return self.fleet.is_platform_up or len(failed) <= MAX_FAILED

    @rule(steps=st.sampled_from([1, 1, 1, 3, 10, 60]))
    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.fleet.step()

    @precondition(lambda self: self.fleet.is_platform_up)
    @rule(steps=st.sampled_from([0, 0, 1]))
    def accept_change(self, steps: int) -> None:
        head = self.fleet.head
        split = (VersionShare(version="v1", permille=1000),)
        service = Service(name=f"service-{head.version}", versions=("v1",), split=split)
        self.fleet.accept(apply_change(head, PutService(service)))
        for _ in range(steps):
            self.fleet.step()

    @rule()
    def toggle_platform(self) -> None:
        regions = {host.locality.region for host in self.fleet.hosts.values()}
        are_sound = all(len(self.list_failed(region)) <= MAX_FAILED for region in regions)
        self.fleet.is_platform_up = not (self.fleet.is_platform_up and are_sound)

    @rule(name=names)
    def restart(self, name: str) -> None:
        if self.may_fail(name):
            self.fleet.stop(name)
            self.fleet.start(name)

    @rule()
    def restart_holders(self) -> None:
        """Restart the hosts with the newest versions, the hardest case for the version floor."""
        versions = self.fleet.versions
        for name in sorted(versions, key=lambda name: -versions[name])[:MAX_FAILED]:
            self.restart(name)

    @rule(name=names)
    def pause(self, name: str) -> None:
        if self.may_fail(name):
            self.fleet.paused.add(name)

    @rule()
    def resume(self) -> None:
        self.fleet.paused.clear()

    @rule(name=names)
    def isolate(self, name: str) -> None:
        if self.may_fail(name):
            self.isolated.add(name)

    @rule()
    def join_up(self) -> None:
        self.isolated.clear()
        self.are_regions_apart = False

    @rule()
    def part_regions(self) -> None:
        self.are_regions_apart = True

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplication=st.sampled_from([0.0, 0.3]),
        max_delay_s=st.sampled_from([0.0, 0.1, 1.0]),
    )
    def disturb(self, loss: float, duplication: float, max_delay_s: float) -> None:
        self.fleet.loss = loss
        self.fleet.duplication = duplication
        self.fleet.max_delay_s = max_delay_s

    @rule(name=names)
    def send_dangling_update(self, name: str) -> None:
        distributor = self.fleet.nodes[name].distributor
        base = distributor.current
        if base is not None:
            route = Route(name="dangling", service="absent")
            bad = replace(base, version=base.version + 1, routes=(route,))
            update = Update(1, compute_delta(base, bad))
            self.fleet.send(name, distributor.handle("host-000", update, self.fleet.now))

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.disturb(loss=0.0, duplication=0.0, max_delay_s=0.0)
        self.resume()
        self.join_up()
        self.fleet.is_platform_up = True
        self.fleet.run(RECOVERY_S)
        assert self.fleet.find_lagging() == []
        assert all(
            len(node.membership.list_live_hosts()) == NODES for node in self.fleet.nodes.values()
        )


@pytest.mark.parametrize("steps", [15, 40])
def test_no_fault_rolls_a_version_back(steps: int, fleet_type: type) -> None:
    machine = type("Machine", (FaultyFleet,), {"fleet_type": fleet_type})
    machine.TestCase.settings = settings(
        max_examples=300 // steps,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    machine.TestCase("runTest").runTest()
