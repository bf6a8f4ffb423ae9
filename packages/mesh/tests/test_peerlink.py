import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from corianderwall.mesh.directory import Directory
from corianderwall.mesh.messages import CallMetadata, Load, ResponseMetadata
from corianderwall.mesh.owner import ForwardedRequest, OwnerResponse
from corianderwall.mesh.peerlink import EXPECT_BODY_BYTES, PeerLink
from corianderwall.mesh.sending import LinkSender
from corianderwall.mesh.settings import HeaderNames
from corianderwall.mesh.uplink import Uplink
from corianderwall.standins.scripted import ReceivedRequest, ScriptedUpstream, make_response

METADATA = CallMetadata(
    endpoint="i-1",
    left_ms=500.0,
    due_ms=500.0,
    priority=0,
    caller="s",
    nested=False,
    is_retry=False,
    may_wait=True,
    idempotent=False,
    route="r",
)
RAN = msgspec.json.encode(ResponseMetadata(ran=True, load=Load(slots=1))).decode()


def run_scenario(
    respond: Callable[[ReceivedRequest], Awaitable[bytes | None]],
    scenario: Callable[[Callable[..., Awaitable[OwnerResponse]]], Awaitable[None]],
    make_node: Any,
    header_names: HeaderNames,
) -> Deferred[None]:
    """Run `scenario` with a function that sends a call to a peer that responds as scripted."""

    async def run() -> None:
        peer = ScriptedUpstream(respond)
        await peer.start()
        link = PeerLink(Directory(make_node("own")), header_names, LinkSender(Uplink()))
        node = msgspec.structs.replace(make_node("peer"), port=peer.port)

        async def send(name: str, body: bytes = b"") -> OwnerResponse:
            headers = [(b"host", b"h"), (b"request-id", name.encode())]
            request = ForwardedRequest(name.encode(), b"POST", b"/", headers)
            sending = Deferred.fromCoroutine(link.send_call(node, METADATA, request, body))
            return await sending.asFuture(asyncio.get_running_loop())

        await scenario(send)
        peer.stop()

    return Deferred.fromFuture(asyncio.ensure_future(run()))


def test_a_response_of_a_peer_to_another_call_is_never_passed_on(
    make_node: Any, header_names: HeaderNames
) -> Deferred[None]:
    """Pattern: the copy of an earlier response comes late on a connection that is in use again."""

    async def respond_with_a_copy(request: ReceivedRequest) -> bytes:
        request.headers["request-id"] = "q1"
        return make_response(request, extra_headers=f"cw-answer: {RAN}\r\n")

    async def scenario(send: Callable[..., Awaitable[OwnerResponse]]) -> None:
        first, second = await send("q1"), await send("q2")
        assert first.response is not None
        assert (second.response, second.metadata.ran) == (None, None)

    return run_scenario(respond_with_a_copy, scenario, make_node, header_names)


# Guards against a call that fails with an exception, which the caller sees as 500.
def test_a_report_that_cannot_be_decoded_is_a_lost_response(
    make_node: Any, header_names: HeaderNames
) -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        return make_response(request, extra_headers="cw-answer: 1,2,3\r\n")

    async def scenario(send: Callable[..., Awaitable[OwnerResponse]]) -> None:
        lost = await send("q1")
        assert (lost.response, lost.metadata.ran) == (None, None)

    return run_scenario(respond, scenario, make_node, header_names)


def test_a_peer_lost_before_it_asked_for_the_body_has_not_run_the_call(
    make_node: Any, header_names: HeaderNames
) -> Deferred[None]:
    async def reset(request: ReceivedRequest) -> bytes:
        raise ConnectionError

    async def scenario(send: Callable[..., Awaitable[OwnerResponse]]) -> None:
        assert (await send("q1", b"x" * EXPECT_BODY_BYTES)).metadata.ran is False
        assert (await send("q2", b"x" * (EXPECT_BODY_BYTES - 1))).metadata.ran is None

    return run_scenario(reset, scenario, make_node, header_names)
