"""Runs the periodic decisions on shares and leases, only while there are calls."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

SHARE_TICK_S = 0.02


class ShareTimer:
    """Calls `tick` every `SHARE_TICK_S` after `wake`, until `tick` returns False."""

    def __init__(self, loop: "asyncio.AbstractEventLoop", tick: "Callable[[], bool]") -> None:
        self._loop = loop
        self._tick = tick
        self._timer: asyncio.TimerHandle | None = None

    def wake(self) -> None:
        """Start the timer if it is not running; cheap enough to be run for every call."""
        if self._timer is None:
            self._timer = self._loop.call_later(SHARE_TICK_S, self._run)

    def stop(self) -> None:
        """Stop the timer until the next `wake`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        if self._tick():
            self.wake()
