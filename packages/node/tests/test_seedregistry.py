from random import Random

import pytest
import pytest_twisted

from corianderwall.model.endpoint import Address
from corianderwall.node.seedregistry import SEEDS_KEY, SeedRegistry, make_seed_host
from corianderwall.standins.memory import MemoryObjectApi


def make_host(name):
    return make_seed_host(name, Address(host="127.0.0.1", port=len(name)))


@pytest.fixture
def api():
    return MemoryObjectApi()


def make_registry(api, name):
    return SeedRegistry(api, Random(1), make_host(name))


@pytest_twisted.ensureDeferred
async def test_only_one_of_two_first_nodes_registers_in_an_empty_list(api):
    assert await make_registry(api, "a").register_if_first()
    assert not await make_registry(api, "b").register_if_first()
    assert [host.name for host in await make_registry(api, "b").read()] == ["a"]


@pytest_twisted.ensureDeferred
async def test_the_only_node_need_not_wait_for_itself_after_a_restart(api):
    await make_registry(api, "a").register_if_first()
    assert await make_registry(api, "a").register_if_first()


@pytest_twisted.ensureDeferred
async def test_a_node_is_not_its_own_seed(api):
    await make_registry(api, "a").register_if_first()
    assert await make_registry(api, "a").read() == ()


@pytest_twisted.ensureDeferred
async def test_dead_seeds_are_replaced_and_unknown_ones_returned(api):
    await make_registry(api, "gone").register_if_first()
    live = [make_host(name) for name in ("a", "b", "c")]
    unknown = await make_registry(api, "a").refresh(lambda: live)
    assert [host.name for host in unknown] == ["gone"]
    assert {host.name for host in await make_registry(api, "d").read()} == {"a", "b", "c"}


@pytest_twisted.ensureDeferred
async def test_enough_live_seeds_cost_no_write(api):
    live = [make_host(name) for name in ("a", "b", "c")]
    await make_registry(api, "a").refresh(lambda: live)
    before = (await api.read(SEEDS_KEY)).revision
    await make_registry(api, "a").refresh(lambda: live[1:])
    assert (await api.read(SEEDS_KEY)).revision == before


@pytest_twisted.ensureDeferred
async def test_a_damaged_list_is_replaced(api):
    await api.write_if(SEEDS_KEY, b"\xff{", expected_revision=0)
    assert await make_registry(api, "a").read() == ()
    await make_registry(api, "a").refresh(lambda: [make_host("a")])
    assert [host.name for host in await make_registry(api, "b").read()] == ["a"]
