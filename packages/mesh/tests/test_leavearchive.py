import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh.leavearchive import MAX_UNSAVED, RETENTION_S, LeaveArchive
from corianderwall.mesh.memorysource import MemorySource
from corianderwall.mesh.messages import Leave


def make_leave(endpoint: str = "i-1", *, born: int = 1, age_s: float = 0.0) -> Leave:
    at_unix_ms = int((time.time() - age_s) * 1000)
    return Leave(endpoint=endpoint, node="own", born_unix_ms=born, at_unix_ms=at_unix_ms)


class Setup:
    """An archive on a store in memory."""

    def __init__(self, startup_s: float = 0.0) -> None:
        self.source = MemorySource()
        self.loaded: list[tuple[Leave, ...]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.peer: LeaveArchive | None = None
        self.archive = LeaveArchive(
            "own", self.source, self.spawn, self.loaded.append, lambda: True, self.ask, startup_s
        )

    async def ask(self, leave: Leave) -> bool:
        return self.peer is not None and self.peer.accept(leave)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task


def run(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    return Deferred.fromFuture(asyncio.ensure_future(work))


def test_a_leave_is_written_once_and_loaded_by_the_next_process() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        leave = make_leave()
        assert await setup.archive.save(leave)
        calls = setup.source.calls
        assert await setup.archive.save(make_leave(age_s=-5.0))
        assert setup.source.calls == calls
        successor = Setup()
        successor.source.leaves = setup.source.leaves
        await successor.archive.load()
        assert successor.loaded == [(leave,)]
        assert await successor.archive.save(leave)
        # A later start of the same endpoint is another leave.
        assert await successor.archive.save(make_leave(born=2))
        assert setup.source.leaves["i-1"].born_unix_ms == 2

    return run(scenario())


# Guards against a leave that is acknowledged unwritten, as another writer has left one like it.
def test_a_leave_that_names_another_node_does_not_stand_for_one_of_this_node() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        leave = make_leave()
        setup.source.leaves["i-1"] = msgspec.structs.replace(leave, node="other")
        await setup.archive.load()
        assert await setup.archive.save(leave)
        assert setup.source.leaves["i-1"].node == "own"

    return run(scenario())


# Guards against endpoints that end without an acknowledgement, as the platform turns their node
# away.
def test_a_peer_writes_a_leave_for_a_node_that_the_platform_turns_away() -> Deferred[None]:
    async def scenario() -> None:
        setup, helper = Setup(), Setup()
        setup.source.failing = "status 503"
        setup.peer = helper.archive
        leave = make_leave()
        assert await setup.archive.save(leave)
        assert helper.source.leaves == {"i-1": leave}
        assert setup.archive.list_leaves() == helper.archive.list_leaves() == (leave,)
        for task in setup.tasks:
            task.cancel()

    return run(scenario())


def test_a_leave_is_not_acknowledged_while_peers_cannot_write_it_either() -> Deferred[None]:
    async def scenario() -> None:
        setup, helper = Setup(), Setup()
        setup.source.failing = helper.source.failing = "status 503"
        setup.peer = helper.archive
        assert not await setup.archive.save(make_leave())
        # A helper only tries when asked, or many nodes would write once the platform is back.
        for task in setup.tasks:
            task.cancel()
        await asyncio.wait(helper.tasks)
        assert helper.archive.unsaved_count == 0

    return run(scenario())


# Guards against a leave that is missing, as a peer has read the leaves before it was acknowledged.
@pytest.mark.parametrize(("startup_s", "accepted"), [(0.0, False), (30.0, True)])
def test_the_leaves_of_a_peer_count_only_if_it_read_them_after_the_launch(
    startup_s: float, accepted: bool
) -> Deferred[None]:
    async def scenario() -> None:
        reader = Setup()
        reader.source.leaves["i-1"] = make_leave()
        reader.source.leaves["i-2"] = msgspec.structs.replace(make_leave("i-2"), node="other")
        assert reader.archive.find_loaded("own") is None
        await reader.archive.load()
        loaded = reader.archive.find_loaded("own")
        assert loaded is not None and [leave.endpoint for leave in loaded.leaves] == ["i-1"]
        setup = Setup(startup_s)
        older = msgspec.structs.replace(loaded, age_s=20.0)
        now = asyncio.get_running_loop().time()
        assert setup.archive.accept_loaded(older, now, "reader") is accepted
        assert setup.archive.loaded is accepted
        assert setup.loaded == ([loaded.leaves] if accepted else [])
        # It has not read them itself, and not those of other nodes.
        assert setup.archive.find_loaded("other") is None

    return run(scenario())


def test_forged_leaves_do_not_pile_up_while_the_platform_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.leavearchive.SAVE_TIMEOUT_S", 0.01)

    async def scenario() -> None:
        setup = Setup()
        setup.source.failing = "status 503"
        saves = (setup.archive.save(make_leave(f"i-{n}")) for n in range(3 * MAX_UNSAVED))
        assert not any(await asyncio.gather(*saves))
        assert len(setup.tasks) == setup.archive.unsaved_count == MAX_UNSAVED
        for task in setup.tasks:
            task.cancel()

    return run(scenario())


def test_leaves_are_written_again_after_the_platform_has_lost_them() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        former = setup.source.take_copy()
        leave = make_leave()
        assert await setup.archive.save(leave)
        setup.source.restore_copy(former)
        assert not setup.source.leaves
        setup.archive.restore()
        await asyncio.gather(*setup.tasks)
        assert setup.source.leaves == {"i-1": leave}

    return run(scenario())


def test_one_node_deletes_the_leaves_that_have_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr("corianderwall.mesh.leavearchive.SWEEP_INTERVAL_S", 0.01)

    async def scenario() -> None:
        setup = Setup()
        kept = make_leave("i-1")
        await setup.source.write_leave(kept)
        await setup.source.write_leave(make_leave("i-2", age_s=RETENTION_S + 1))
        sweeping = setup.spawn(setup.archive.run())
        await asyncio.sleep(0.05)
        sweeping.cancel()
        assert setup.source.leaves == {"i-1": kept}

    return run(scenario())
