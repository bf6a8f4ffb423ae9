"""The clock that decision code reads; tests replace it to control time."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and wall-clock time, both in seconds."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds, comparable within one process only."""

    def read_unix(self) -> float:
        """Return seconds since the epoch, comparable between hosts; the value may jump."""


class SystemClock:
    """The operating system's clock."""

    def read_monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def read_unix(self) -> float:
        """Return the wall clock in seconds since the epoch."""
        return time.time()
