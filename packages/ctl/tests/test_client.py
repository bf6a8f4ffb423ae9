import pytest
import pytest_twisted
from twisted.internet import reactor

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.client import OperatorClient
from corianderwall.ctl.failures import NodesUnreachableError
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.standins.operator_node import LostResponse

UNAVAILABLE = CorianderwallError(ErrorCode.PLATFORM_UNAVAILABLE, "down")
UNKNOWN = CorianderwallError(ErrorCode.OUTCOME_UNKNOWN, "lost", effect=Effect.UNKNOWN)
MISSING = CorianderwallError(ErrorCode.NOT_FOUND, "there is no route")
DONE = pb.ChangeResult(version=7, operation_id="op-1")


async def delete_route(*addresses: str, timeout_s: float = 3.0) -> pb.ChangeResult:
    request = pb.DeleteRequest(identity=pb.Identity(operation_id="op-1"), name="accept")
    client = OperatorClient(reactor, addresses, "a-token")
    deadline = reactor.seconds() + timeout_s
    return await client.call("DeleteRoute", request, pb.ChangeResult, deadline=deadline)


@pytest_twisted.ensureDeferred
async def test_the_next_node_is_called_if_one_is_unreachable(node, closed_address) -> None:
    assert await delete_route(closed_address, node.address) == DONE
    assert node.authorizations == {"Bearer a-token"}


@pytest.mark.parametrize("first", [LostResponse(), UNKNOWN, UNAVAILABLE])
@pytest_twisted.ensureDeferred
async def test_a_retry_on_another_node_is_the_same_operation(make_node, node, first) -> None:
    failing = await make_node()
    failing.set_responses("DeleteRoute", first)
    assert await delete_route(failing.address, node.address) == DONE
    sent = failing.find_requests("DeleteRoute", pb.DeleteRequest)
    again = node.find_requests("DeleteRoute", pb.DeleteRequest)
    assert sent[0].identity == pb.Identity(operation_id="op-1")
    assert again[0].identity == pb.Identity(operation_id="op-1", repeated_call=True)


@pytest_twisted.ensureDeferred
async def test_a_refusal_is_final(make_node, node) -> None:
    refusing = await make_node()
    refusing.set_responses("DeleteRoute", MISSING)
    with pytest.raises(CorianderwallError) as caught:
        await delete_route(refusing.address, node.address)
    assert (caught.value.code, caught.value.effect) == (ErrorCode.NOT_FOUND, Effect.NONE)
    assert node.requests == []


@pytest.mark.parametrize("second", [MISSING, UNAVAILABLE])
@pytest_twisted.ensureDeferred
async def test_every_error_after_a_lost_response_has_an_unknown_outcome(make_node, second) -> None:
    lost, other = await make_node(), await make_node()
    lost.set_responses("DeleteRoute", LostResponse())
    other.set_responses("DeleteRoute", second)
    with pytest.raises(CorianderwallError) as caught:
        await delete_route(lost.address, other.address, timeout_s=0.4)
    assert caught.value.code is ErrorCode.OUTCOME_UNKNOWN
    assert caught.value.effect is Effect.UNKNOWN


@pytest_twisted.ensureDeferred
async def test_an_error_says_that_all_nodes_are_unreachable(closed_address) -> None:
    with pytest.raises(NodesUnreachableError) as caught:
        await delete_route(closed_address, timeout_s=1.0)
    assert caught.value.effect is Effect.NONE


@pytest_twisted.ensureDeferred
async def test_a_response_of_another_media_type_is_an_error(node) -> None:
    node.set_responses("GetConfig", b"")
    client = OperatorClient(reactor, (node.address,), "a-token")
    deadline = reactor.seconds() + 0.3
    with pytest.raises(CorianderwallError):
        await client.call("GetConfig", pb.GetConfigRequest(), pb.MoveList, deadline=deadline)
