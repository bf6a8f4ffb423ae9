"""Bounds the memory that a host uses for the bodies of responses."""

import math
from collections.abc import Callable

RESPONSE_MEMORY_FRACTION = 0.25
"""Fraction of a process's memory for response bodies; request bodies have as much."""


class ResponseMemory:
    """Counts the bytes of response bodies against `capacity`, both in bytes.

    A body counts from its first byte until it has been handed on. If there is no room, the largest
    one that is still being received is given up, so that an endpoint that sends without end does
    not cost the responses of others; `given_up` counts these.
    """

    def __init__(self, capacity: float = math.inf) -> None:
        self.capacity = capacity
        self.held = 0
        self.given_up = 0
        self._growing: set[HeldBody] = set()

    def open(self, give_up: Callable[[], None]) -> "HeldBody":
        """Return the account of a new body; `give_up` stops receiving it."""
        body = HeldBody(self, give_up)
        self._growing.add(body)
        return body

    def make_room(self) -> None:
        """Give up the largest bodies that are still being received, until the rest fits."""
        while self.held > self.capacity and self._growing:
            largest = max(self._growing, key=lambda body: body.size)
            self.given_up += 1
            largest.cancel()

    def settle(self, body: "HeldBody") -> None:
        """Keep `body`, which is no longer received."""
        self._growing.discard(body)


class HeldBody:
    """The account of one body, which ends with this object.

    Whoever holds the body also holds this object.
    """

    __slots__ = ("_give_up", "_memory", "is_open", "size")

    def __init__(self, memory: ResponseMemory, give_up: Callable[[], None]) -> None:
        self.size = 0
        self.is_open = True
        self._memory = memory
        self._give_up: Callable[[], None] | None = give_up

    def __del__(self) -> None:
        self._memory.held -= self.size

    def grow(self, size: int) -> bool:
        """Add `size` bytes and return whether the body may be received further."""
        self.size += size
        self._memory.held += size
        if self._memory.held > self._memory.capacity:
            self._memory.make_room()
        return self.is_open

    def complete(self) -> None:
        """Keep the body, all of which has been received."""
        self._give_up = None
        self._memory.settle(self)

    def cancel(self) -> None:
        """Release the body, and stop receiving it if that is still going on."""
        self.is_open = False
        give_up, self._give_up = self._give_up, None
        self._memory.settle(self)
        self._memory.held -= self.size
        self.size = 0
        if give_up is not None:
            give_up()
