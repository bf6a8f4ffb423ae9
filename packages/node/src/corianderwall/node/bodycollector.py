"""Collects a short request body before the first attempt."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class BodyCollector:
    """A body sink that hands over the whole body at once."""

    __slots__ = ("_chunks", "_deliver")

    def __init__(self, deliver: "Callable[[bytes], None]") -> None:
        self._deliver = deliver
        self._chunks: list[bytes] = []

    def write_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(data)

    def end_body(self) -> None:
        """Hand over the whole body."""
        self._deliver(b"".join(self._chunks))

    def abort_body(self) -> None:
        """Do nothing, as the caller has left and nothing was sent."""
