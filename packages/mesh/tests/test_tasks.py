from collections.abc import Callable

from twisted.internet.defer import Deferred

from corianderwall.mesh.tasks import run_call


class FakeCall:
    """A fake incoming call whose caller waits for the response."""

    def __init__(self) -> None:
        self.is_open = True
        self.responded = False
        self.aborted = False
        self.status = 0
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status

    def abort_response(self) -> None:
        self.aborted = True


async def fail() -> None:
    raise RuntimeError("broken")


async def wait(deferred: Deferred[None]) -> None:
    await deferred


def test_a_failure_gives_a_response_with_500() -> None:
    call = FakeCall()
    run_call(call, fail())  # type: ignore[arg-type]
    assert call.status == 500


def test_a_failure_after_the_start_of_a_response_aborts_it() -> None:
    call = FakeCall()
    call.responded = True
    run_call(call, fail())  # type: ignore[arg-type]
    assert (call.status, call.aborted) == (0, True)


def test_a_caller_that_disconnects_cancels_the_work() -> None:
    call = FakeCall()
    cancelled: list[bool] = []
    run_call(call, wait(Deferred(lambda _: cancelled.append(True))))  # type: ignore[arg-type]
    assert call.on_disconnect is not None
    call.is_open = False
    call.on_disconnect()
    assert cancelled == [True]
    assert call.status == 0
