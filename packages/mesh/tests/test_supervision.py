import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh import supervision
from corianderwall.mesh.supervision import MAX_FAILURES, Supervisor


class Work:
    """A task that fails some times before it goes on."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.starts = 0

    async def run(self) -> None:
        self.starts += 1
        if self.starts <= self.failures:
            raise RuntimeError("nobody expected this")
        await asyncio.Event().wait()


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervision, "RESTART_MIN_S", 0.001)
    monkeypatch.setattr(supervision, "STABLE_S", 0.05)


def run(scenario: Callable[[Supervisor], Coroutine[Any, Any, None]]) -> Deferred[None]:
    async def play() -> None:
        tasks: list[asyncio.Task[None]] = []

        def spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
            tasks.append(asyncio.get_running_loop().create_task(work))
            return tasks[-1]

        await scenario(Supervisor(spawn))
        for task in tasks:
            task.cancel()

    return Deferred.fromFuture(asyncio.ensure_future(play()))


# Guards against a task that ends for good by an exception, which a node did not show before.
def test_a_task_that_fails_is_started_again_and_counted() -> Deferred[None]:
    async def scenario(supervisor: Supervisor) -> None:
        work = Work(failures=2)
        supervisor.start("work", work.run)
        await asyncio.sleep(0.04)
        assert work.starts == 3
        assert supervisor.failures == {"work": 2}
        assert not supervisor.has_failed

    return run(scenario)


def test_a_task_that_always_fails_shows_until_it_runs_for_a_while() -> Deferred[None]:
    async def scenario(supervisor: Supervisor) -> None:
        work = Work(failures=MAX_FAILURES)
        supervisor.start("work", work.run)
        await asyncio.sleep(0.03)
        assert work.starts == MAX_FAILURES + 1
        assert supervisor.has_failed
        await asyncio.sleep(0.1)
        assert not supervisor.has_failed

    return run(scenario)


def test_a_task_that_returns_is_not_started_again() -> Deferred[None]:
    async def scenario(supervisor: Supervisor) -> None:
        starts = 0

        async def end() -> None:
            nonlocal starts
            starts += 1

        supervisor.start("end", end)
        await asyncio.sleep(0.02)
        assert (starts, supervisor.failures) == (1, {})

    return run(scenario)
