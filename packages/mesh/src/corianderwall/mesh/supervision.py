"""Runs the lasting tasks of a node and starts one again that has ended by an exception."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_error

RESTART_MIN_S = 0.2
RESTART_MAX_S = 5.0
"""First and longest pause before a task is started again."""
STABLE_S = 10.0
"""Time without a failure after which the pauses begin anew."""
MAX_FAILURES = 3
"""Failures in a row from which the node says that it is not ready."""

Work = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """Keeps tasks running; `failures` counts their exceptions by name."""

    def __init__(self, spawn: Spawn) -> None:
        self.failures: dict[str, int] = {}
        self._spawn = spawn
        self._loop = asyncio.get_running_loop()
        self._in_a_row: dict[str, int] = {}

    @property
    def has_failed(self) -> bool:
        """Return whether a task fails each time it is started."""
        return any(count >= MAX_FAILURES for count in self._in_a_row.values())

    def start(self, name: str, work: Work) -> None:
        """Run `work` until it returns or is cancelled."""
        self._spawn(self._run(name, work))

    async def _run(self, name: str, work: Work) -> None:
        while True:
            settling = self._loop.call_later(STABLE_S, self._in_a_row.pop, name, None)
            try:
                await work()
                self._in_a_row.pop(name, None)
                return
            except Exception as error:
                self._record_failure(name, error)
            finally:
                settling.cancel()
            pause_s = RESTART_MIN_S * 2 ** (self._in_a_row[name] - 1)
            await asyncio.sleep(min(RESTART_MAX_S, pause_s))

    def _record_failure(self, name: str, error: Exception) -> None:
        self.failures[name] = self.failures.get(name, 0) + 1
        self._in_a_row[name] = self._in_a_row.get(name, 0) + 1
        log_error(
            "a task has failed and is started again",
            task=name,
            error=repr(error),
            in_a_row=self._in_a_row[name],
        )
