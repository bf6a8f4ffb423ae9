import asyncio
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred

from corianderwall.httpflow.flow import BodySource, Headers
from corianderwall.mesh.exchange import Response
from corianderwall.mesh.sending import CHUNK_BYTES, LinkSender
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

    def respond(self, status: int, headers: Headers, body: bytes, account: object = None) -> None:
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
        self.sender = LinkSender(self.uplink)

    def send(self, name: str, size: int) -> FakeCall:
        call = FakeCall(name, self.log)
        self.sender.respond(call, Response(200, [], b"x" * size))  # type: ignore[arg-type]
        return call

    def upload(self, name: str, size: int) -> "FakeAttempt":
        attempt = FakeAttempt(name, self.log, b"x" * size)
        self.sender.send_request_body(attempt)  # type: ignore[arg-type]
        return attempt

    async def wait_for(self, call: "FakeCall | FakeAttempt") -> None:
        async with asyncio.timeout(5.0):
            while not call.ended:
                await asyncio.sleep(0.001)


class FakeAttempt:
    """An attempt whose body has been asked for."""

    def __init__(self, name: str, log: list[str], body: bytes) -> None:
        self.is_open = True
        self.call = SimpleNamespace(body=body, source=None)
        self.body = b""
        self.ended = False
        self._name = name
        self._log = log

    def write_body(self, data: bytes) -> None:
        self.body += data
        self._log.append(self._name)

    def end_body(self) -> None:
        self.ended = True


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


def test_uploads_and_big_responses_take_turns_on_the_link() -> Deferred[None]:
    """Load pattern: uploads leave a host on a slow link while it responds to other calls."""

    async def scenario() -> None:
        setup = Setup()
        upload, big = setup.upload("up", BIG), setup.send("big", BIG)
        small, small_upload = setup.send("c", 100), setup.upload("d", 100)
        assert small.ended
        assert small_upload.ended
        assert not upload.ended
        assert setup.uplink.estimate_wait(asyncio.get_running_loop().time()) > 0.03
        await setup.wait_for(big)
        assert upload.body == b"x" * BIG
        assert [name for name in setup.log if name != "d"] == ["up"] * 10 + ["big"] * 10

    return run(scenario())


def test_an_upload_that_was_given_up_frees_the_link() -> Deferred[None]:
    async def scenario() -> None:
        setup = Setup()
        given_up, other = setup.upload("up", BIG), setup.upload("other", BIG)
        given_up.is_open = False
        await setup.wait_for(other)
        assert not given_up.ended
        assert len(given_up.body) <= CHUNK_BYTES

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
