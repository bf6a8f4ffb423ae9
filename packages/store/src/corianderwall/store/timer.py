"""Clock with a sleep function, which tests replace to control the time."""

from collections.abc import Awaitable
from typing import Any, Protocol

from twisted.internet.task import deferLater

from corianderwall.model.clock import Clock, SystemClock


class Timer(Clock, Protocol):
    """A clock with a sleep function."""

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Return an awaitable that completes after `seconds`."""


class ReactorTimer(SystemClock):
    """Timer based on the clock of the operating system and the reactor."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def sleep(self, seconds: float) -> Awaitable[object]:
        """Return a deferred that fires after `seconds`."""
        return deferLater(self._reactor, seconds)
