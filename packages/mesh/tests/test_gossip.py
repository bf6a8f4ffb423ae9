import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh.configuration import ConfigurationHolder
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.gossip import (
    FULL_TABLES_EVERY,
    LEAVE_READERS,
    LOADED_LEAVES_KIND,
    MIN_UNSYNCED_PEERS,
    RECENT_CHANGE_AGE_S,
    RETRY_CHECK_INTERVAL_S,
    TABLES_KIND,
    TABLES_PULL_KIND,
    Gossip,
)
from corianderwall.mesh.leavearchive import LeaveArchive
from corianderwall.mesh.messages import (
    EndpointRecord,
    EndpointState,
    EvacuationState,
    Heartbeat,
    Leave,
    LoadedLeaves,
    MoveOrder,
    MoveView,
    NodeRecord,
    Tables,
)
from corianderwall.mesh.moves import MoveTracker
from corianderwall.mesh.suspectarchive import SuspectArchive
from corianderwall.model.resource import Snapshot
from corianderwall.traffic.suspects import SuspectRecord, Suspects

EVACUATION = EvacuationState(era=1, revision=5, zones=("a",))
Reply = Callable[[str, bytes], bytes | None]


class RecordingLink:
    """Records sent messages and responds with the result of `reply`."""

    def __init__(self, reply: Reply) -> None:
        self.posted: list[tuple[str, str, bytes]] = []
        self._reply = reply

    async def post(self, node: NodeRecord, kind: str, body: bytes) -> bytes | None:
        """Record a message and return the scripted response."""
        self.posted.append((node.name, kind, body))
        return self._reply(kind, body)

    def tick(self) -> None:
        """Do nothing, as there are no connections."""

    def close_unused(self) -> None:
        """Do nothing, as there are no connections."""

    def list_tables(self) -> list[Tables]:
        """Return the tables that were sent."""
        return [
            msgspec.msgpack.decode(body, type=Tables)
            for _, kind, body in self.posted
            if kind == TABLES_KIND
        ]


class FakePlatform:
    """A platform store that lists the given nodes."""

    def __init__(self, records: tuple[NodeRecord, ...]) -> None:
        self.announced: list[NodeRecord] = []
        self.leaves: tuple[Leave, ...] = ()
        self.leave_reads = 0
        self.responds = asyncio.Event()
        self.responds.set()
        self._records = records

    async def announce_node(self, record: NodeRecord) -> None:
        """Record the announcement."""
        self.announced.append(record)

    async def list_nodes(self, *, stale: bool) -> tuple[NodeRecord, ...]:
        """Return the given nodes."""
        return self._records

    async def list_leaves(self, *, stale: bool) -> tuple[Leave, ...]:
        """Return the given leaves once the platform responds."""
        self.leave_reads += 1
        await self.responds.wait()
        return self.leaves

    async def list_suspects(self) -> tuple[SuspectRecord, ...]:
        """Return nothing, as no request is in quarantine."""
        return ()


class Newcomer:
    """The gossip of one node, with scripted responses of its peers."""

    def __init__(self, records: tuple[NodeRecord, ...], reply: Reply) -> None:
        self.learned: list[EndpointRecord] = []
        self.link = RecordingLink(reply)
        self.restored: list[Leave] = []
        tracker = SimpleNamespace(
            merge_record=self.learned.append, restore_leave=self.restored.append
        )
        self.gate = SimpleNamespace(synced=False, endpoint=tracker)
        self.holder = ConfigurationHolder()
        self.directory = Directory(make_record("own"))
        self.early_evacuations: set[EvacuationState | None] = set()
        self.moves = MoveTracker(0.1, Random(1))
        self.suspects = Suspects()
        self.source = FakePlatform(records)
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaves = LeaveArchive(
            "own",
            self.source,  # type: ignore[arg-type]
            self.spawn,
            lambda leaves: self.gossip.restore_leaves(leaves),
            lambda: False,
            lambda leave: self.gossip.ask_to_save(leave),
        )
        self.gossip = Gossip(
            self.directory,
            self.link,  # type: ignore[arg-type]
            self.source,  # type: ignore[arg-type]
            self.holder,
            SimpleNamespace(handle_version=lambda peer, version: None),  # type: ignore[arg-type]
            asyncio.Event(),
            self.moves,
            self.gate,  # type: ignore[arg-type]
            self.suspects,
            SuspectArchive(self.suspects, self.source),  # type: ignore[arg-type]
            self.leaves,
            self.make_heartbeat,
            self.spawn,
            Random(1),
            SimpleNamespace(  # type: ignore[arg-type]
                merge=self.merge_evacuations, make_state=lambda: EVACUATION
            ),
        )

    def merge_evacuations(self, state: EvacuationState | None, origin: str) -> bool:
        """Record what is known before the endpoint gets calls."""
        if not self.gate.synced:
            self.early_evacuations.add(state)
        return False

    async def synchronize(self) -> None:
        """Load the leaves and pull records, as a node does after its start."""
        self.spawn(self.leaves.load())
        await self.gossip.pull_records()

    def make_heartbeat(self) -> Heartbeat:
        digest = self.directory.compute_digest()
        return Heartbeat(
            node=self.directory.own,
            config_version=0,
            digest=digest,
            source_ok=True,
            suspects_digest=self.suspects.compute_digest(),
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def make_record(name: str) -> NodeRecord:
    return NodeRecord(name=name, zone="a", host="127.0.0.1", port=1, incarnation=1)


def run(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    """Run a scenario on the event loop of the reactor."""
    return Deferred.fromFuture(asyncio.ensure_future(work))


def test_a_joining_node_sends_only_its_own_record_to_all_peers() -> Deferred[None]:
    """Many nodes of a large fleet start together behind slow links, so messages must be small."""
    peers = tuple(make_record(f"n{i}") for i in range(40))

    async def scenario() -> None:
        newcomer = Newcomer(peers, lambda kind, body: None)
        await newcomer.gossip.join()
        await asyncio.sleep(0)
        sent = newcomer.link.list_tables()
        assert len(sent) == 40
        assert all(tables.nodes == () and tables.sender.name == "own" for tables in sent)

    return run(scenario())


@pytest.mark.parametrize(("listed", "writes"), [("own", 0), ("n2", 1)])
def test_a_node_registers_at_the_platform_only_if_it_is_not_listed_there(
    listed: str, writes: int
) -> Deferred[None]:
    """All nodes restart together, and each write to the store costs money."""

    async def scenario() -> None:
        records = (make_record("n1"), make_record(listed))
        newcomer = Newcomer(records, lambda kind, body: None)
        await newcomer.gossip.join()
        assert [record.name for record in newcomer.source.announced] == ["own"] * writes

    return run(scenario())


# Guards against nodes that start together and list only the entry of another writer: they would
# never look for each other again.
def test_a_node_goes_on_listing_until_a_listed_node_responds(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.gossip.HEAR_TIMEOUT_S", 0.02)
    monkeypatch.setattr("corianderwall.mesh.gossip.JOIN_RETRY_MIN_S", 0.01)

    async def scenario() -> None:
        foreign = msgspec.structs.replace(make_record("foreign"), incarnation=0)
        listed = msgspec.structs.replace(make_record("n1"), incarnation=0)

        newcomer = Newcomer((foreign,), lambda kind, body: None)
        joining = newcomer.spawn(newcomer.gossip.join())
        await asyncio.sleep(0.03)
        newcomer.source._records = (foreign, listed)
        await asyncio.wait([joining], timeout=1.0)
        assert "n1" in {name for name, _, _ in newcomer.link.posted}

    return run(scenario())


# Guards against calls to an endpoint, and roles of a node, whose address another node has got, or
# whose entry another writer has copied.
@pytest.mark.parametrize("sends", ["tables", "heartbeat"])
def test_a_node_has_left_if_another_one_responds_at_its_address(sends: str) -> Deferred[None]:
    async def scenario() -> None:
        successor = Heartbeat(node=make_record("n2"), config_version=0, digest="", source_ok=True)
        newcomer = Newcomer((), lambda kind, body: msgspec.msgpack.encode(successor))
        directory = newcomer.directory
        directory.merge_node(make_record("n1"), 0.0)
        endpoint = EndpointRecord(
            id="i-1", service="s", version="v1", node="n1", zone="a", slots=4, born_unix_ms=1
        )
        directory.merge_endpoint(endpoint, 0.0)
        assert len(directory.list_ready("s")) == 1
        if sends == "tables":
            newcomer.gossip.broadcast_tables(Tables(sender=directory.own))
        else:
            newcomer.gossip.broadcast_heartbeat()
        await asyncio.wait(newcomer.tasks)
        assert directory.list_ready("s") == []
        assert [peer.record.name for peer in directory.list_live()] == ["n2"]
        # A later process of that name counts again.
        directory.merge_node(msgspec.structs.replace(make_record("n1"), incarnation=2), 0.0)
        assert len(directory.list_ready("s")) == 1

    return run(scenario())


def test_records_are_pulled_until_a_peer_sends_them_even_if_the_endpoint_is_in_use_before(
    monkeypatch: pytest.MonkeyPatch, make_endpoint: Any
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.gossip.SYNC_TIMEOUT_S", 0.02)
    monkeypatch.setattr("corianderwall.mesh.gossip.PULL_INTERVAL_S", 0.01)
    monkeypatch.setattr("corianderwall.mesh.gossip.HEARTBEAT_INTERVAL_S", 0.01)
    leaving = make_endpoint("i-1", node="own", state=EndpointState.DRAINING)
    tables = msgspec.msgpack.encode(Tables(sender=make_record("n1"), endpoints=(leaving,)))

    async def scenario() -> None:
        pulls = 0

        def reply(kind: str, body: bytes) -> bytes | None:
            nonlocal pulls
            pulls += kind == TABLES_PULL_KIND
            return tables if kind == TABLES_PULL_KIND and pulls > 6 else None

        newcomer = Newcomer((make_record("n1"),), reply)
        newcomer.directory.merge_node(make_record("n1"), 0.0)
        await newcomer.synchronize()
        assert newcomer.gate.synced
        assert newcomer.learned == [leaving]
        assert pulls == 7

    return run(scenario())


# Guards against calls in an evacuated zone in the moment after its node has got its peers' records.
def test_a_node_that_starts_gets_the_evacuations_before_its_endpoint_gets_calls() -> Deferred[None]:
    async def scenario() -> None:
        peer = Newcomer((), lambda kind, body: None)
        peer.gate.synced = True
        newcomer = Newcomer(
            (),
            lambda kind, body: peer.gossip.handle_pull(body) if kind == TABLES_PULL_KIND else None,
        )
        newcomer.directory.merge_node(make_record("n1"), 0.0)
        await newcomer.synchronize()
        assert newcomer.gate.synced
        assert EVACUATION in newcomer.early_evacuations

    return run(scenario())


def test_a_peer_with_another_digest_mostly_gets_recent_records(
    make_endpoint: Any,
) -> Deferred[None]:
    """Records change all the time, so two nodes rarely have the same digest."""

    async def scenario() -> None:
        newcomer = Newcomer((), lambda kind, body: None)
        directory = newcomer.directory
        now = asyncio.get_running_loop().time()
        for i in range(30):
            directory.merge_endpoint(make_endpoint(f"i-{i}"), now - RECENT_CHANGE_AGE_S - 1)
        directory.merge_endpoint(make_endpoint("i-new"), now)
        for i in range(FULL_TABLES_EVERY):
            peer = make_record(f"n{i}")
            directory.merge_node(peer, now)
            heartbeat = Heartbeat(node=peer, config_version=0, digest="another", source_ok=True)
            newcomer.gossip.handle_heartbeat(msgspec.msgpack.encode(heartbeat))
        await asyncio.sleep(0)
        sizes = [len(tables.endpoints) for tables in newcomer.link.list_tables()]
        assert sizes == [1] * (FULL_TABLES_EVERY - 1) + [31]

    return run(scenario())


def make_heartbeat(name: str, *, synced: bool) -> bytes:
    node = make_record(name)
    heartbeat = Heartbeat(node=node, config_version=0, digest="", source_ok=True, synced=synced)
    return msgspec.msgpack.encode(heartbeat)


@pytest.mark.parametrize(("peers", "others_synced"), [(3, 0), (20, 0), (20, 1)])
def test_the_endpoint_is_used_at_once_if_all_nodes_have_started_together(
    monkeypatch: pytest.MonkeyPatch, peers: int, others_synced: int
) -> Deferred[None]:
    """After a power loss of all hosts, callers send calls as soon as the nodes are ready."""
    monkeypatch.setattr("corianderwall.mesh.gossip.SYNC_TIMEOUT_S", 600.0)
    monkeypatch.setattr("corianderwall.mesh.gossip.PULL_INTERVAL_S", 0.001)

    async def scenario() -> None:
        newcomer = Newcomer((), lambda kind, body: None)
        for i in range(peers):
            name = f"n{i}"
            newcomer.directory.merge_node(make_record(name), 0.0)
            newcomer.gossip.handle_heartbeat(make_heartbeat(name, synced=i < others_synced))
        syncing = newcomer.spawn(newcomer.synchronize())
        await asyncio.wait([syncing], timeout=1.0)
        assert newcomer.gate.synced is (others_synced == 0)
        pulls = {name for name, kind, _ in newcomer.link.posted if kind == TABLES_PULL_KIND}
        if others_synced:
            assert pulls == {"n0"}
        syncing.cancel()

    return run(scenario())


# Guards against the use of an endpoint whose leave was acknowledged before all nodes ended.
@pytest.mark.parametrize("origin", ["platform", "peer"])
def test_an_endpoint_gets_no_calls_before_the_leaves_of_earlier_processes_are_known(
    monkeypatch: pytest.MonkeyPatch, origin: str
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.gossip.SYNC_TIMEOUT_S", 0.02)
    monkeypatch.setattr("corianderwall.mesh.gossip.PULL_INTERVAL_S", 0.01)
    monkeypatch.setattr("corianderwall.mesh.gossip.HEARTBEAT_INTERVAL_S", 0.01)
    leave = Leave(endpoint="i-1", node="own", born_unix_ms=1, at_unix_ms=2)
    other = Leave(endpoint="i-2", node="n2", born_unix_ms=1, at_unix_ms=2)

    async def scenario() -> None:
        tables = msgspec.msgpack.encode(Tables(sender=make_record("n1"), leaves=(leave, other)))
        asked = asyncio.Event()

        def reply(kind: str, body: bytes) -> bytes | None:
            return tables if kind == TABLES_PULL_KIND and asked.is_set() else None

        newcomer = Newcomer((make_record("n1"),), reply)
        newcomer.directory.merge_node(make_record("n1"), 0.0)
        newcomer.source.leaves = (leave, other)
        newcomer.source.responds.clear()
        syncing = newcomer.spawn(newcomer.synchronize())
        await asyncio.sleep(0.1)
        assert not newcomer.gate.synced
        if origin == "platform":
            newcomer.source.responds.set()
        else:
            asked.set()
        await asyncio.wait([syncing], timeout=1.0)
        assert newcomer.gate.synced
        assert newcomer.restored == [leave]

    return run(scenario())


# Guards against a sound endpoint that stays out, and against the use of one that left while the
# platform was away: once that returns, the configuration may come before the leaves.
def test_an_endpoint_gets_calls_without_the_leaves_some_time_after_there_is_a_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.gossip.SYNC_TIMEOUT_S", 0.02)
    monkeypatch.setattr("corianderwall.mesh.gossip.LEAVES_TIMEOUT_S", 0.1)
    monkeypatch.setattr("corianderwall.mesh.gossip.PULL_INTERVAL_S", 0.01)
    monkeypatch.setattr("corianderwall.mesh.gossip.HEARTBEAT_INTERVAL_S", 0.01)

    async def scenario() -> None:
        newcomer = Newcomer((), lambda kind, body: None)
        newcomer.source.responds.clear()
        syncing = newcomer.spawn(newcomer.synchronize())
        await asyncio.sleep(0.2)
        assert not newcomer.gate.synced
        newcomer.holder.apply(Snapshot(version=1), "test")
        await asyncio.sleep(0.05)
        assert not newcomer.gate.synced
        await asyncio.sleep(0.15)
        assert newcomer.gate.synced
        syncing.cancel()

    return run(scenario())


@pytest.mark.parametrize(("age_s", "peers", "reads"), [(0.0, 40, 0), (9.0, 40, 1), (0.0, 2, 1)])
def test_few_nodes_read_the_leaves_for_all_that_start_together(
    age_s: float, peers: int, reads: int
) -> Deferred[None]:
    leave = Leave(endpoint="i-1", node="own", born_unix_ms=1, at_unix_ms=1)
    loaded = LoadedLeaves(leaves=(leave,), age_s=age_s)

    async def scenario() -> None:
        newcomer = Newcomer(
            (), lambda kind, body: msgspec.msgpack.encode(loaded) if body == b"own" else None
        )
        newcomer.source.leaves = (leave,)
        loading = newcomer.spawn(newcomer.gossip.load_leaves())
        # A new fleet is listed some time after the start.
        await asyncio.sleep(0.4)
        for number in range(peers):
            newcomer.directory.merge_node(make_record(f"n{number}"), 0.0)
        await loading
        assert newcomer.leaves.loaded
        assert newcomer.restored == [leave]
        assert newcomer.source.leave_reads == reads
        asked = {name for name, kind, _ in newcomer.link.posted if kind == LOADED_LEAVES_KIND}
        assert len(asked) == (LEAVE_READERS if peers > LEAVE_READERS else 0)

    return run(scenario())


def test_unresponsive_peers_do_not_show_that_all_nodes_have_started_together(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.gossip.SYNC_TIMEOUT_S", 600.0)
    monkeypatch.setattr("corianderwall.mesh.gossip.PULL_INTERVAL_S", 0.001)

    async def scenario() -> None:
        newcomer = Newcomer((), lambda kind, body: None)
        for i in range(20):
            newcomer.directory.merge_node(make_record(f"n{i}"), 0.0)
        for i in range(MIN_UNSYNCED_PEERS - 1):
            newcomer.gossip.handle_heartbeat(make_heartbeat(f"n{i}", synced=False))
        syncing = newcomer.spawn(newcomer.synchronize())
        await asyncio.wait([syncing], timeout=1.0)
        assert not newcomer.gate.synced
        syncing.cancel()

    return run(scenario())


# Guards against calls of a node that has just started to a version that is bad or being tested.
def test_a_starting_node_learns_the_moves_with_the_endpoints() -> Deferred[None]:
    async def scenario() -> None:
        knowing = Newcomer((), lambda kind, body: None)
        knowing.gate.synced = True
        order = MoveOrder(service="s", version="v2", duration_s=9.0, revision=5, created=4)
        knowing.moves.merge_view(MoveView(order=order, age_s=0.0, cut=True), 0.0)
        for version in ("v1", "v2"):
            record = EndpointRecord(
                id=version,
                service="s",
                version=version,
                node="n1",
                zone="a",
                slots=1,
                born_unix_ms=1,
            )
            knowing.directory.merge_endpoint(record, 0.0)
        tables = knowing.gossip.handle_pull(b"")
        newcomer = Newcomer((), lambda kind, body: tables if kind == TABLES_PULL_KIND else None)
        newcomer.directory.merge_node(make_record("n1"), 0.0)
        await newcomer.synchronize()
        views = newcomer.directory.list_ready("s")
        allowed = newcomer.moves.filter_endpoints("s", views, 0.0, try_new=False)
        assert [view.record.version for view in allowed] == ["v1"]

    return run(scenario())


# Guards against a message to each node for each of the calls that ran at a crash.
def test_answered_suspects_are_sent_together_and_crashes_at_once() -> Deferred[None]:
    async def scenario() -> None:
        newcomer = Newcomer((), lambda kind, body: None)
        newcomer.directory.merge_node(make_record("n1"), 0.0)
        running = asyncio.ensure_future(newcomer.gossip.run())
        suspects, now = newcomer.suspects, asyncio.get_running_loop().time()
        newcomer.gossip.share_suspects(suspects.record_crash("i@1", ["f", "g"], now))
        for fingerprint in ("f", "g"):
            newcomer.gossip.share_suspects(suspects.record_response(fingerprint, now))
        await asyncio.sleep(2 * RETRY_CHECK_INTERVAL_S)
        running.cancel()
        crashed, answered = (
            table.suspects for table in newcomer.link.list_tables() if table.suspects
        )
        assert [record.crashes for record in crashed] == [("i@1",), ("i@1",)]
        assert [record.crashes for record in answered] == [(), ()]

    return Deferred.fromFuture(asyncio.ensure_future(scenario()))


# Guards against a node that gets calls after its start without the requests that crash endpoints.
def test_a_joining_node_gets_the_suspects_with_all_records() -> Deferred[None]:
    async def scenario() -> None:
        first, second = (Newcomer((), lambda kind, body: None) for _ in range(2))
        first.gate.synced = True
        first.suspects.record_crash("i@1", ["f"], asyncio.get_running_loop().time())
        body = first.gossip.handle_pull(b"")
        assert body is not None
        second.gossip.handle_tables(body)
        assert second.suspects.count_crashes("f") == 1

    return Deferred.fromFuture(asyncio.ensure_future(scenario()))
