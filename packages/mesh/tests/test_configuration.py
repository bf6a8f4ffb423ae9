import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh import configuration as configuration_module
from corianderwall.mesh.configuration import (
    CONFIG_CONFIRM_KIND,
    CONFIG_PULL_KIND,
    CONFIG_PUSH_KIND,
    ConfigPush,
    ConfigurationHolder,
    ConfigurationSync,
    FollowTimes,
)
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.leaders import ZONE_STANDBYS, list_zone_followers
from corianderwall.mesh.memorysource import MemorySource
from corianderwall.mesh.messages import NodeRecord
from corianderwall.mesh.source import (
    CALL_TIMEOUT_S,
    WATCH_TIMEOUT_MARGIN_S,
    SourceError,
)
from corianderwall.model.resource import Route, Service, Snapshot

APPLY_S = 2.0
"""The operator's bound within which a version has to be active everywhere."""
CONTACT_S = 3.0
"""Time after an outage of the platform from which the operator's bounds hold again."""


def make_snapshot(version: int) -> Snapshot:
    routes = tuple(
        Route(name=f"r{i}", service="s", host="h.example", path_prefix=f"/{i}/")
        for i in range(version)
    )
    return Snapshot(version=version, services=(Service(name="s"),), routes=routes)


def make_record(name: str, zone: str = "a") -> NodeRecord:
    return NodeRecord(name=name, zone=zone, host="127.0.0.1", port=1, incarnation=1)


class SyncNode:
    """The configuration sync of one node; its messages reach `peers` without a network."""

    def __init__(
        self,
        name: str,
        version: int,
        *,
        former: int = 0,
        zone: str = "a",
        source: Any = None,
    ) -> None:
        self.directory = Directory(make_record(name, zone))
        self.holder = ConfigurationHolder()
        for each in (former, version):
            if each:
                self.holder.apply(make_snapshot(each), "test")
        self.peers: dict[str, SyncNode] = {}
        self.sent: list[tuple[str, str]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        joined = asyncio.Event()
        joined.set()
        link: Any = self
        self.sync = ConfigurationSync(
            self.holder, source or MemorySource(), self.directory, link, joined, self.spawn, APPLY_S
        )

    def connect(self, *others: "SyncNode") -> None:
        for other in others:
            name = other.directory.own.name
            self.peers[name] = other
            self.directory.merge_node(other.directory.own, 0.0)

    async def post(self, node: NodeRecord, kind: str, body: bytes) -> bytes | None:
        """Deliver a message to a peer in place of the link."""
        self.sent.append((node.name, kind))
        await asyncio.sleep(0.001)
        sync = self.peers[node.name].sync
        handlers: dict[str, Callable[[bytes], bytes | None]] = {
            CONFIG_PULL_KIND: sync.handle_pull,
            CONFIG_PUSH_KIND: sync.handle_push,
            CONFIG_CONFIRM_KIND: sync.handle_confirmation,
        }
        return handlers[kind](body)

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def receive_heartbeat(self, other: "SyncNode") -> None:
        """Handle the version in a heartbeat of `other`."""
        peer = self.directory.peers[other.directory.own.name]
        self.sync.handle_version(peer, other.holder.snapshot.version)

    async def finish_tasks(self) -> None:
        while self.tasks:
            await asyncio.wait(set(self.tasks), timeout=5.0)

    async def wait_for_version(self, version: int, timeout_s: float) -> None:
        """Wait until `version` is active; raise `TimeoutError` after `timeout_s`."""
        async with asyncio.timeout(timeout_s):
            while self.holder.snapshot.version != version:
                await asyncio.sleep(0.01)


async def start_watching(source: MemorySource) -> tuple[SyncNode, "asyncio.Task[None]"]:
    """Return a node that has activated version 1 of `source`, and the task of its watch."""
    source.put_config(make_snapshot(1))
    node = SyncNode("n0", 0, source=source)
    watching = node.spawn(node.sync.run())
    await node.wait_for_version(1, 1.0)
    return node, watching


def run(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    return Deferred.fromFuture(asyncio.ensure_future(work))


def test_a_node_without_configuration_fetches_it_from_one_of_many_peers() -> Deferred[None]:
    """After a power loss of all hosts, each node gets heartbeats of all others at once."""

    async def scenario() -> None:
        newcomer = SyncNode("n0", 0)
        others = [SyncNode(f"n{i}", 5) for i in range(1, 30)]
        newcomer.connect(*others)
        for other in others:
            newcomer.receive_heartbeat(other)
        await newcomer.finish_tasks()
        assert newcomer.holder.snapshot.version == 5
        assert newcomer.sent == [("n1", CONFIG_PULL_KIND)]

    return run(scenario())


def test_a_change_that_the_leader_sends_in_time_is_not_fetched(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr(configuration_module, "PULL_DELAY_S", 0.02)

    async def scenario() -> None:
        node, far = SyncNode("n0", 4), SyncNode("n1", 5, zone="b")
        node.connect(far)
        node.receive_heartbeat(far)
        node.holder.apply(make_snapshot(5), "lead")
        await node.finish_tasks()
        assert node.sent == []

    return run(scenario())


def test_a_change_that_no_leader_sends_is_fetched_and_forwarded_in_the_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr(configuration_module, "PULL_DELAY_S", 0.01)

    async def scenario() -> None:
        node, far, near = (
            SyncNode("n0", 4),
            SyncNode("n1", 5, former=4, zone="b"),
            SyncNode("n2", 4),
        )
        node.connect(far, near)
        node.receive_heartbeat(far)
        await node.finish_tasks()
        assert node.holder.snapshot.version == 5
        assert near.holder.snapshot.version == 5

    return run(scenario())


def test_a_delta_that_does_not_match_is_followed_by_a_full_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr(configuration_module, "PULL_DELAY_S", 0.01)

    async def scenario() -> None:
        node, other = SyncNode("n0", 3), SyncNode("n1", 6, former=3)
        node.connect(other)
        make_push = other.sync._make_push

        def make_mismatched_push(known: int) -> ConfigPush:
            push = make_push(known)
            return msgspec.structs.replace(push, base_version=2) if known else push

        monkeypatch.setattr(other.sync, "_make_push", make_mismatched_push)
        node.receive_heartbeat(other)
        await node.finish_tasks()
        assert node.holder.snapshot == make_snapshot(6)
        assert [kind for _, kind in node.sent][:2] == [CONFIG_PULL_KIND] * 2

    return run(scenario())


def test_a_pull_returns_nothing_if_there_is_no_newer_version() -> Deferred[None]:
    async def scenario() -> None:
        assert SyncNode("n0", 4).sync.handle_pull(b"4") is None

    return run(scenario())


# Guards against configurations that are not in force after the platform was silent: a watch whose
# response is lost must not hide that the platform responds again.
@pytest.mark.parametrize("silence_s", [0.5, 2.0, 6.5])
def test_a_version_written_after_a_silence_of_the_platform_is_active_within_the_contact_time(
    silence_s: float,
) -> Deferred[None]:
    async def scenario() -> None:
        source = MemorySource()
        node, watching = await start_watching(source)
        await asyncio.sleep(configuration_module.WATCH_PAUSE_S + 0.05)
        source.start_silence()
        await asyncio.sleep(silence_s)
        source.end_silence()
        source.put_config(make_snapshot(2))
        await node.wait_for_version(2, CONTACT_S)
        watching.cancel()

    return run(scenario())


# Guards against configurations that are skipped after the store came back from an earlier copy and
# has given out the revision of the last watch again.
def test_a_version_is_active_although_its_revision_was_given_out_before() -> Deferred[None]:
    async def scenario() -> None:
        source = MemorySource()
        node, watching = await start_watching(source)
        copy = source.take_copy()
        for version in (2, 3):
            source.put_config(make_snapshot(version))
        await node.wait_for_version(3, 1.0)
        source.restore_copy(copy)
        source.put_config(make_snapshot(4))
        for _ in range(3):
            source.put_order("s", "v2", 60.0)
        await node.wait_for_version(4, CONTACT_S)
        watching.cancel()

    return run(scenario())


# The time limits leave what the operator grants for a change, also if the first standby is cut off
# together with the leader.
@pytest.mark.parametrize("apply_s", [2.0, 2.5])
def test_a_leader_is_replaced_within_the_bound_of_a_change(apply_s: float) -> None:
    times = FollowTimes.plan(apply_s)
    assert times.compute_longest_s(ZONE_STANDBYS) < apply_s
    pause_s = configuration_module.WATCH_PAUSE_S
    assert times.silence_s > times.watch_s + pause_s


class Zone:
    """The nodes of one zone, each with its own way to the store."""

    def __init__(self, size: int) -> None:
        self.source = MemorySource()
        self.nodes = [SyncNode(f"n{i}", 0, source=PathToSource(self.source)) for i in range(size)]
        for node in self.nodes:
            node.connect(*(other for other in self.nodes if other is not node))

    def list_followers(self) -> list[SyncNode]:
        names = list_zone_followers(self.nodes[0].directory, True)
        by_name = {node.directory.own.name: node for node in self.nodes}
        return [by_name[name] for name in names]

    async def start(self) -> None:
        self.source.put_config(make_snapshot(1))
        self.watching = [node.spawn(node.sync.run()) for node in self.nodes]
        for node in self.nodes:
            await node.wait_for_version(1, 2.0)

    def stop(self) -> None:
        for task in self.watching:
            task.cancel()


class PathToSource:
    """Forwards the calls of one node; while `cut`, none of them gets a response."""

    def __init__(self, source: MemorySource) -> None:
        self._source = source
        self.cut = False

    async def read_config(self) -> Any:
        return await self._pass(self._source.read_config(), CALL_TIMEOUT_S)

    async def watch_config(self, after: Any, wait_s: float) -> Any:
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        return await self._pass(self._source.watch_config(after, wait_s), timeout_s)

    async def list_nodes(self, *, stale: bool) -> Any:
        return await self._pass(self._source.list_nodes(stale=stale), CALL_TIMEOUT_S)

    async def _pass(self, call: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
        end = asyncio.get_running_loop().time() + timeout_s
        response = await call
        if self.cut:
            await asyncio.sleep(end - asyncio.get_running_loop().time())
            raise SourceError("no response")
        return response


# Guards against nodes that stay behind as long as the leader of their zone notices that it is cut
# off, or for ever if it is frozen: its store calls fail only after their own timeouts.
@pytest.mark.parametrize("cause", ["cut", "cut with a standby", "frozen"])
def test_a_version_is_active_in_time_although_the_leader_does_not_get_it(
    cause: str,
) -> Deferred[None]:
    async def scenario() -> None:
        zone = Zone(4)
        await zone.start()
        followers = zone.list_followers()
        harmed = followers[: 2 if cause == "cut with a standby" else 1]
        await asyncio.sleep(1.0)
        for node in harmed:
            if cause == "frozen":
                zone.watching[zone.nodes.index(node)].cancel()
            node.sync._source.cut = True  # type: ignore[attr-defined]
        zone.source.put_config(make_snapshot(2))
        others = [node for node in zone.nodes if node not in harmed]
        await asyncio.gather(*(node.wait_for_version(2, APPLY_S) for node in others))
        assert sum(node.sync.takeover_count for node in others) >= 1
        zone.stop()

    return run(scenario())


def test_standbys_make_no_calls_while_the_leader_gets_responses() -> Deferred[None]:
    async def scenario() -> None:
        zone = Zone(4)
        await zone.start()
        before = zone.source.calls
        await asyncio.sleep(3.0)
        interval_s = FollowTimes.plan(APPLY_S).watch_s + configuration_module.WATCH_PAUSE_S
        assert zone.source.calls - before <= 3.0 / interval_s + 1
        assert not any(node.sync.takeover_count for node in zone.nodes)
        zone.stop()

    return run(scenario())


# Guards against a leader that is replaced for good by a short cut.
def test_the_leader_watches_alone_again_once_it_gets_responses() -> Deferred[None]:
    async def scenario() -> None:
        zone = Zone(3)
        await zone.start()
        leader, standby, _ = zone.list_followers()
        leader.sync._source.cut = True  # type: ignore[attr-defined]
        async with asyncio.timeout(APPLY_S):
            while not standby.sync.follows_source:
                await asyncio.sleep(0.01)
        leader.sync._source.cut = False  # type: ignore[attr-defined]
        async with asyncio.timeout(CONTACT_S):
            while standby.sync.follows_source or not leader.sync.source_ok:
                await asyncio.sleep(0.01)
        zone.stop()

    return run(scenario())
