import asyncio

from twisted.internet.defer import Deferred

from corianderwall.model.endpoint import Address
from corianderwall.node.crashdetector import CHECK_DELAY_S, CrashDetector, LostCall
from corianderwall.standins.scripted import ReceivedRequest, ScriptedUpstream, make_response

START = "i-1@1"
CALLS = (LostCall("q1", "f1"), LostCall("q2", "f2"))

Crash = tuple[str, tuple[LostCall, ...]]


async def respond_ok(request: ReceivedRequest) -> bytes:
    return make_response(request)


def check_crashes(
    expected: list[Crash], *, is_ended: bool, may_connect: bool = True
) -> Deferred[None]:
    """Check which crashes are found after two calls have been lost."""

    async def run() -> None:
        found: list[Crash] = []
        upstream = ScriptedUpstream(respond_ok)
        await upstream.start()
        detector = CrashDetector(
            Address(host="127.0.0.1", port=upstream.port),
            lambda: may_connect,
            lambda start, calls: found.append((start, calls)),
        )
        if is_ended:
            upstream.crash()
        for call in CALLS:
            detector.record_loss(START, call)
        await asyncio.sleep(CHECK_DELAY_S * 5)
        upstream.stop()
        assert found == expected

    return Deferred.fromFuture(asyncio.ensure_future(run()))


def test_calls_lost_with_their_endpoint_are_reported_together() -> Deferred[None]:
    return check_crashes([(START, CALLS)], is_ended=True)


def test_calls_lost_by_an_endpoint_that_still_listens_are_no_crash() -> Deferred[None]:
    return check_crashes([], is_ended=False)


def test_an_endpoint_with_all_its_connections_is_not_probed() -> Deferred[None]:
    return check_crashes([], is_ended=True, may_connect=False)
