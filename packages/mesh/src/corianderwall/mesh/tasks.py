"""Runs coroutines as tasks of a node."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
"""Runs a coroutine as a task that is logged if it fails."""


def make_canceller(task: asyncio.Task[None]) -> Callable[[], None]:
    """Return what cancels `task` when the caller of its call has left."""

    def cancel() -> None:
        task.cancel()

    return cancel
