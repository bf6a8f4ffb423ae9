import asyncio
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from corianderwall.httpflow.flow import BodySource, Headers
from corianderwall.mesh.sending import PIECE_BYTES, AnswerSender
from corianderwall.mesh.uplink import USED_PART, Uplink


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

    def start_answer(self, status: int, headers: Headers, length: int, source: BodySource) -> None:
        self.source = source

    def write_body(self, data: bytes) -> None:
        self.body += data
        self._log.append(self._name)

    def end_answer(self) -> None:
        self.ended = True


class World:
    """A sender on a link that sends each chunk in 2 ms."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.uplink = Uplink(PIECE_BYTES / 0.002 / USED_PART)
        self.sender = AnswerSender(self.uplink)

    def send(self, name: str, size: int) -> FakeCall:
        call = FakeCall(name, self.log)
        self.sender.send(call, 200, [], b"x" * size)  # type: ignore[arg-type]
        return call

    async def wait_for(self, call: FakeCall) -> None:
        async with asyncio.timeout(5.0):
            while not call.ended:
                await asyncio.sleep(0.001)


BIG = 10 * PIECE_BYTES


def run(work: Coroutine[Any, Any, None]) -> Deferred[None]:
    return Deferred.fromFuture(asyncio.ensure_future(work))


def test_big_answers_are_written_one_after_another_and_short_ones_at_once() -> Deferred[None]:
    """Load pattern: big responses at the same time on a slow link."""

    async def scenario() -> None:
        world = World()
        first, second = world.send("a", BIG), world.send("b", BIG)
        short = world.send("c", 100)
        assert short.ended
        await world.wait_for(second)
        assert (first.body, second.body) == (b"x" * BIG, b"x" * BIG)
        assert world.log == ["a"] * 10 + ["b"] * 10

    return run(scenario())


def test_a_receiver_that_does_not_keep_up_does_not_hold_up_the_others() -> Deferred[None]:
    async def scenario() -> None:
        world = World()
        slow, other = world.send("slow", BIG), world.send("other", BIG)
        assert slow.source is not None
        slow.source.pause_body()
        await world.wait_for(other)
        assert not slow.ended
        slow.source.resume_body()
        await world.wait_for(slow)
        assert slow.body == b"x" * BIG

    return run(scenario())


def test_the_answer_to_a_caller_that_left_is_not_sent() -> Deferred[None]:
    async def scenario() -> None:
        world = World()
        gone, other = world.send("gone", BIG), world.send("other", BIG)
        gone.is_open = False
        await world.wait_for(other)
        assert not gone.ended
        assert len(gone.body) <= PIECE_BYTES

    return run(scenario())
