import asyncio
from collections.abc import Awaitable, Callable

import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh import suspectarchive
from corianderwall.mesh.memorysource import MemorySource
from corianderwall.mesh.suspectarchive import SuspectArchive
from corianderwall.traffic.suspects import (
    QUARANTINE_CRASHES,
    QUARANTINES_S,
    SuspectRecord,
    Suspects,
)


class Setup:
    """A node's suspects and their archive at a store."""

    def __init__(self) -> None:
        self.source = MemorySource()
        self.suspects = Suspects()
        self.archive = SuspectArchive(self.suspects, self.source)

    def crash(self, count: int = QUARANTINE_CRASHES) -> None:
        now = asyncio.get_running_loop().time()
        for number in range(count):
            self.suspects.record_crash(f"i-{number}@1", ["f"], now)

    async def wait_until_saved(self) -> None:
        async with asyncio.timeout(5.0):
            while self.suspects.unsaved:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)


@pytest.fixture(autouse=True)
def hurry(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(suspectarchive, "SAVE_INTERVAL_S", 0.01)
    monkeypatch.setattr(suspectarchive, "RETRY_INTERVAL_S", 0.01)


def run_scenario(scenario: Callable[[Setup], Awaitable[None]]) -> Deferred[None]:
    async def run() -> None:
        setup = Setup()
        saving = asyncio.ensure_future(setup.archive.run())
        try:
            await scenario(setup)
        finally:
            saving.cancel()

    return Deferred.fromFuture(asyncio.ensure_future(run()))


def make_expired() -> SuspectRecord:
    return SuspectRecord(
        fingerprint="old",
        crashes=("1", "2", "3"),
        refuted=(),
        trials=0,
        age_s=QUARANTINES_S[-1] + 1.0,
    )


def test_only_a_quarantine_is_written() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.crash(QUARANTINE_CRASHES - 1)
        await setup.wait_until_saved()
        assert setup.source.suspects == {}
        setup.crash()
        await setup.wait_until_saved()
        assert len(setup.source.suspects["f"].crashes) == QUARANTINE_CRASHES

    return run_scenario(scenario)


# Guards against a loss of all hosts after which such a request ends three endpoints again.
def test_a_fleet_that_starts_anew_knows_the_quarantines() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.crash()
        await setup.wait_until_saved()
        later = Suspects()
        await SuspectArchive(later, setup.source).load(deletes_expired=False)
        assert later.find_release("f", asyncio.get_running_loop().time()) is not None

    return run_scenario(scenario)


def test_a_quarantine_is_deleted_once_the_request_was_answered() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.crash()
        await setup.wait_until_saved()
        setup.suspects.record_response("f", asyncio.get_running_loop().time())
        await setup.wait_until_saved()
        assert setup.source.suspects == {}

    return run_scenario(scenario)


def test_a_write_that_fails_is_made_later() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.source.failing = "down"
        setup.crash()
        await asyncio.sleep(0.1)
        setup.source.failing = ""
        await setup.wait_until_saved()
        assert set(setup.source.suspects) == {"f"}

    return run_scenario(scenario)


def test_a_store_that_has_lost_a_quarantine_gets_it_again() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        copy = setup.source.take_copy()
        setup.crash()
        await setup.wait_until_saved()
        setup.source.restore_copy(copy)
        setup.suspects.restore_saved()
        await setup.wait_until_saved()
        assert set(setup.source.suspects) == {"f"}

    return run_scenario(scenario)


@pytest.mark.parametrize("is_first", [True, False])
def test_one_node_deletes_what_has_expired(is_first: bool) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.source.suspects["old"] = make_expired()
        await setup.archive.load(deletes_expired=is_first)
        assert setup.suspects.is_empty
        await setup.wait_until_saved()
        assert (setup.source.suspects == {}) is is_first

    return run_scenario(scenario)
