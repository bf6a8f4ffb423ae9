"""Clock and sleep of tasks, so that tests own the time."""

from collections.abc import Awaitable
from typing import Any, Protocol

from twisted.internet.task import deferLater

from corianderwall.model.clock import Clock, SystemClock


class Timer(Clock, Protocol):
    """A clock that can also wait."""

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Return an awaitable that is done after this many seconds."""


class ReactorTimer(SystemClock):
    """The clock of the operating system and the reactor's timers."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Return a deferred that fires after this many seconds."""
        return deferLater(self._reactor, seconds)
