from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest_twisted

# Modules that import the reactor are imported inside the fixtures, since the pytest plugin must
# install its reactor first.


@pytest_twisted.async_yield_fixture
async def make_node() -> AsyncIterator[Callable[[], Any]]:
    from corianderwall.standins.operator_node import ScriptedNode

    nodes: list[ScriptedNode] = []

    async def start() -> ScriptedNode:
        nodes.append(ScriptedNode())
        await nodes[-1].start()
        return nodes[-1]

    yield start
    for node in nodes:
        await node.stop()


@pytest_twisted.async_fixture
async def node(make_node) -> Any:
    from corianderwall.ctl import rpc_pb2 as pb

    scripted = await make_node()
    result = pb.ChangeResult(version=7, operation_id="op-1")
    for method in pb.DESCRIPTOR.services_by_name["Operators"].methods:
        if method.output_type.name == "ChangeResult":
            scripted.set_responses(method.name, result)
    return scripted


@pytest_twisted.async_fixture
async def closed_address(make_node) -> str:
    closed = await make_node()
    await closed.stop()
    return closed.address
