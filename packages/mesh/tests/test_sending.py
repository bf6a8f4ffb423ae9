import asyncio
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from corianderwall.httpflow.flow import BodySource, Headers
from corianderwall.mesh.sending import CHUNK_BYTES, ResponseSender
from corianderwall.mesh.uplink import BIG_RATE_FRACTION, Uplink


class FakeCall:
    """An incoming call that records the order of writes among all calls."""

    method = b"GET"

    def __init__(self, name: str, log: list[str]) -> None:
        self.is_open = True
        self.body = b""
        self.source: BodySource | None = None
        self.ended = False
        self._name = name
        self._log = log

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.body = body
        self.ended = True

    def start_response(
        self, status: int, headers: Headers, length: int, source: BodySource
    ) -> None:
        self.source = source

    def write_body(self, data: bytes) -> None:
        self.body += data
        self._log.append(self._name)

    def end_response(self) -> None:
        self.ended = True


class Setup:
    """A sender on a link that sends each chunk in 2 ms."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.uplink = Uplink(CHUNK_BYTES / 0.002 / BIG_RATE_FRACTION)
        self.sender = ResponseSender(self.uplink)

    def send(self, name: str, size: int) -> FakeCall:
        call = FakeCall(name, self.log)
        self.sender.send(call, 200, [], b"x" * size)  # type: ignore[arg-type]
        return call

    async def wait_for(self, call: FakeCall) -> None:
        async with asyncio.timeout(5.0):
            while not call.ended:
                await asyncio.sleep(0.001)


BIG = 10 * CHUNK_BYTES


def run(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    return Deferred.fromFuture(asyncio.ensure_future(work))


def test_big_responses_are_written_one_after_another_and_small_ones_at_once() -> Deferred[None]:
    """Load pattern: big responses at the same time on a slow link."""

    async def scenario() -> None:
        setup = Setup()
        first, second = setup.send("a", BIG), setup.send("b", BIG)
        small = setup.send("c", 100)
        assert small.ended
        await setup.wait_for(second)
        assert (first.body, second.body) == (b"x" * BIG, b"x" * BIG)
        assert setup.log == ["a"] * 10 + ["b"] * 10

    return run(scenario())


def test_a_receiver_that_does_not_keep_up_does_not_hold_up_the_others() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        slow, other = setup.send("slow", BIG), setup.send("other", BIG)
        assert slow.source is not None
        slow.source.pause_body()
        await setup.wait_for(other)
        assert not slow.ended
        slow.source.resume_body()
        await setup.wait_for(slow)
        assert slow.body == b"x" * BIG

    return run(scenario())


def test_the_response_to_a_caller_that_left_is_not_sent() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        gone, other = setup.send("gone", BIG), setup.send("other", BIG)
        gone.is_open = False
        await setup.wait_for(other)
        assert not gone.ended
        assert len(gone.body) <= CHUNK_BYTES

    return run(scenario())
