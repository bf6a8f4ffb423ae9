"""Runs the decisions on shares and leases often while calls come in, and not at all otherwise."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

SHARE_TICK_S = 0.02


class ShareTimer:
    """Calls `tick` every `SHARE_TICK_S` from `wake` on, until it returns that nothing runs."""

    def __init__(self, loop: "asyncio.AbstractEventLoop", tick: "Callable[[], bool]") -> None:
        self._loop = loop
        self._tick = tick
        self._timer: asyncio.TimerHandle | None = None

    def wake(self) -> None:
        """Take note of a call; cheap while the timer runs."""
        if self._timer is None:
            self._timer = self._loop.call_later(SHARE_TICK_S, self._run)

    def stop(self) -> None:
        """Run no more until the next `wake`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        if self._tick():
            self.wake()
