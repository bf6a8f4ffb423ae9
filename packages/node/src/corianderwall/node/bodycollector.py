"""Buffers a short request body before the first attempt."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class BodyCollector:
    """A body sink that delivers the complete body in one piece."""

    __slots__ = ("_chunks", "_deliver")

    def __init__(self, deliver: "Callable[[bytes], None]") -> None:
        self._deliver = deliver
        self._chunks: list[bytes] = []

    def write_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._chunks.append(data)

    def end_body(self) -> None:
        """Deliver the complete body."""
        self._deliver(b"".join(self._chunks))

    def abort_body(self) -> None:
        """Do nothing, as the caller has disconnected and no attempt was sent."""
