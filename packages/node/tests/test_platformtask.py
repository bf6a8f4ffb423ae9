from random import Random

import pytest
import pytest_twisted
from twisted.internet.defer import Deferred

from corianderwall.model.endpoint import Address
from corianderwall.model.resource import EMPTY_SNAPSHOT
from corianderwall.node.platformtask import SWEEP_INTERVAL_S, PlatformTask
from corianderwall.node.seedregistry import SeedRegistry, make_seed_host
from corianderwall.standins.memory import Fault, ManualTimer, MemoryObjectApi, inject_no_fault
from corianderwall.store.head import HeadStore
from corianderwall.store.lease import LeaseKeeper
from corianderwall.store.sweep import ABANDONED_AFTER_MS

ME = make_seed_host("me", Address(host="127.0.0.1", port=1))


@pytest.fixture
def api():
    return MemoryObjectApi()


@pytest.fixture
def timer():
    return ManualTimer()


@pytest.fixture
def offered():
    return []


@pytest.fixture
def task(api, timer, offered):
    random = Random(1)
    return PlatformTask(
        api=api,
        store=HeadStore(api, timer, random),
        seed_registry=SeedRegistry(api, random, ME),
        timer=timer,
        random=random,
        offer=lambda snapshot, asked_at: offered.append((snapshot, asked_at)),
    )


def test_a_read_reports_when_it_was_requested(task, timer, offered):
    task.start_head_read()
    assert offered == [(EMPTY_SNAPSHOT, timer.read_monotonic())]


def test_a_watcher_that_loses_its_role_stops_watching(task):
    task.set_watching(True)
    assert task.is_watching
    task.set_watching(False)
    assert not task.is_watching


@pytest_twisted.ensureDeferred
async def test_a_first_node_waits_for_the_platform_and_then_finds_no_seeds(task, api, timer):
    async def refuse(kind, key):
        return Fault.DOWN

    api.fault_hook = refuse
    found = Deferred.fromCoroutine(task.find_seeds())
    for _ in range(20):
        timer.clock.advance(1.0)
    assert not found.called
    api.fault_hook = inject_no_fault
    timer.clock.advance(10.0)
    assert await found == ()


def test_an_abandoned_lease_is_swept_in_the_end(task, api, timer):
    keeper = LeaseKeeper(api, timer, name="moves/old", holder="a", ttl_s=10.0)
    assert Deferred.fromCoroutine(keeper.acquire()).result
    timer.clock.advance(2 * SWEEP_INTERVAL_S)
    task.sweep()
    assert len(api.table.list_keys("leases/")) == 1
    timer.clock.advance(ABANDONED_AFTER_MS / 1000)
    task.sweep()
    assert api.table.list_keys("leases/") == []
