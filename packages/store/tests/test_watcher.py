from random import Random

import pytest
from twisted.internet.defer import Deferred

from corianderwall.model.change import AddVersion, Operation, PutService
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Service, VersionShare
from corianderwall.standins.memory import Fault, ManualTimer, MemoryObjectApi
from corianderwall.store.api import split_revision
from corianderwall.store.document import HEAD_KEY, StoredHead, decode_head
from corianderwall.store.head import HeadStore
from corianderwall.store.http_api import CALL_TIMEOUT_S
from corianderwall.store.watcher import MAX_POLL_WAIT_S, HeadWatcher

MAX_ACTIVATION_S = 7.0
"""Time within which a change must be active on all nodes."""

V1_SPLIT = (VersionShare(version="v1", permille=1000),)
FAR_DEADLINE = 1e9


class WatcherHarness:
    """A watcher and a store that changes the watched head in the same object table."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.api = MemoryObjectApi()
        self.delivered: list[StoredHead] = []
        self.errors: list[CorianderwallError] = []
        self.changes = 0
        self.store = HeadStore(MemoryObjectApi(self.api.table), self.timer, Random(1))
        self.watcher = watcher = HeadWatcher(
            self.api,
            self.timer,
            Random(2),
            self._deliver,
            self.errors.append,
            lambda found: self.store.restore_head(found, deadline=FAR_DEADLINE),
        )
        self.running = Deferred.fromCoroutine(watcher.run())
        self.running.addErrback(lambda _: None)

    def _deliver(self, stored: StoredHead) -> None:
        self.delivered.append(stored)
        self.store.remember_head(stored)

    def change(self) -> None:
        self.changes += 1
        service = Service(name="placements", versions=("v1",), split=V1_SPLIT)
        change = AddVersion("placements", f"x{self.changes}")
        operation = Operation(f"op-{self.changes}", "asha", change)
        if self.changes == 1:
            operation = Operation("op-1", "asha", PutService(service))
        Deferred.fromCoroutine(self.store.commit(operation, deadline=FAR_DEADLINE))

    def list_watched_revisions(self) -> list[int]:
        return list(dict.fromkeys(self.api.watch_revisions))

    def list_versions(self) -> list[int]:
        return [each.head.version for each in self.delivered]


@pytest.fixture
def harness() -> WatcherHarness:
    return WatcherHarness()


def test_each_newer_head_is_delivered_once(harness: WatcherHarness) -> None:
    for _ in range(3):
        harness.change()
        harness.timer.clock.advance(3)
        harness.timer.clock.advance(3)
    assert harness.list_versions() == [1, 2, 3]
    assert harness.list_watched_revisions() == [0, *(each.revision for each in harness.delivered)]


def test_an_older_head_under_a_newer_revision_is_not_delivered(harness: WatcherHarness) -> None:
    table = harness.api.table
    harness.change()
    older = table.read_value(HEAD_KEY)
    harness.change()
    harness.timer.clock.advance(3)
    table.write(HEAD_KEY, older, table.read_revision(HEAD_KEY))
    for _ in range(10):
        harness.timer.clock.advance(1)
    assert harness.list_versions() == [2]


# Guards against changes that the nodes ignore, because a platform that came back from an earlier
# copy has given out their revisions and versions before.
def test_a_head_that_the_platform_has_lost_is_written_again(harness: WatcherHarness) -> None:
    table = harness.api.table
    harness.change()
    harness.change()
    copy = table.take_copy()
    for _ in range(3):
        harness.change()
    for _ in range(10):
        harness.timer.clock.advance(1)
    assert harness.list_versions()[-1] == 5
    table.restore_copy(copy)
    for _ in range(10):
        harness.timer.clock.advance(1)
    restored = decode_head(table.read_value(HEAD_KEY))
    assert (restored.version, restored.digest) == (5, harness.delivered[-1].head.digest)
    assert table.read_revision(HEAD_KEY) < split_revision(harness.delivered[-1].revision)[1]
    harness.change()
    for _ in range(10):
        harness.timer.clock.advance(1)
    assert harness.list_versions()[-1] == 6
    assert harness.errors == []


def test_a_watch_goes_on_from_its_revision_after_an_outage_without_reading(
    harness: WatcherHarness,
) -> None:
    harness.change()
    harness.timer.clock.advance(3)

    async def fail_calls(kind: str, key: str) -> Fault:
        return Fault.DOWN

    working, harness.api.fault_hook = harness.api.fault_hook, fail_calls
    for _ in range(50):
        harness.timer.clock.advance(1)
    harness.change()
    harness.api.fault_hook = working
    for _ in range(10):
        harness.timer.clock.advance(1)
    assert harness.list_versions() == [1, 2]
    assert {error.code for error in harness.errors} == {ErrorCode.PLATFORM_UNAVAILABLE}
    assert set(harness.api.calls) == {f"watch {HEAD_KEY}"}


def test_an_outage_and_a_platform_that_does_not_wait_cost_few_calls(
    harness: WatcherHarness,
) -> None:
    for _ in range(600):
        harness.timer.clock.advance(0.1)
    assert len(harness.api.calls) <= 61


def test_a_malformed_head_is_reported_and_the_watch_goes_on(harness: WatcherHarness) -> None:
    harness.api.table.write(HEAD_KEY, b"\xff", 0)
    for _ in range(20):
        harness.timer.clock.advance(1)
    assert {error.code for error in harness.errors} == {ErrorCode.DAMAGED_UPDATE}
    harness.api.table.delete(HEAD_KEY, harness.api.table.read_revision(HEAD_KEY))
    harness.change()
    for _ in range(20):
        harness.timer.clock.advance(1)
    assert harness.list_versions() == [1]


def test_a_silent_connection_is_detected_within_the_activation_bound() -> None:
    assert MAX_POLL_WAIT_S + CALL_TIMEOUT_S < MAX_ACTIVATION_S


def test_a_stopped_watcher_does_not_report_the_end_of_its_poll(harness: WatcherHarness) -> None:
    poll_end: Deferred[Fault] = Deferred()

    async def wait_for_poll_end(kind: str, key: str) -> Fault:
        return await poll_end

    harness.api.fault_hook = wait_for_poll_end
    harness.timer.clock.advance(60.0)
    polls = len(harness.api.watch_revisions)
    harness.watcher.stop()
    poll_end.callback(Fault.DOWN)
    for _ in range(10):
        harness.timer.clock.advance(10.0)
    assert len(harness.api.watch_revisions) == polls
    assert harness.errors == []
    assert harness.running.called
