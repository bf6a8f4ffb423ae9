"""Bounds the memory that a host uses for the request bodies of its running calls."""

import math
from dataclasses import dataclass

BODY_MEMORY_FRACTION = 0.25
"""Fraction of a process's memory for request bodies; most of the rest is the program itself."""


@dataclass(slots=True)
class BodyMemory:
    """Counts the bytes of request bodies against `capacity`, both in bytes."""

    capacity: float = math.inf
    held: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes, or return False if they don't fit beside the bytes held.

        A body always fits into empty memory, since it would otherwise never be served.
        """
        if self.held and self.held + size > self.capacity:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.held -= size
