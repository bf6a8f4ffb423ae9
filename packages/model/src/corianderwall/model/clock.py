"""Time as the decisions see it: the instants are passed in, so tests own them."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the two instants that decisions use, both in seconds."""

    def read_monotonic(self) -> float:
        """Return seconds that never go back; comparable within one process only."""

    def read_unix(self) -> float:
        """Return seconds since the epoch; comparable between hosts, may step."""


class SystemClock:
    """The clock of the operating system."""

    def read_monotonic(self) -> float:
        """Return the monotonic clock in seconds."""
        return time.monotonic()

    def read_unix(self) -> float:
        """Return the wall clock in seconds since the epoch."""
        return time.time()
