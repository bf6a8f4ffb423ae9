"""The protocols of a streamed body's ends, and the type of parsed headers."""

from typing import Protocol

Headers = list[tuple[bytes, bytes]]
"""Pairs of lower-case name and value in received order, without hop-by-hop headers."""


class BodySink(Protocol):
    """The destination of a streamed body."""

    def write_body(self, data: bytes) -> None:
        """Receive the next bytes."""

    def end_body(self) -> None:
        """Receive the end of the body, which is complete."""

    def abort_body(self) -> None:
        """Drop the body, as the rest of it will not arrive."""


class BodySource(Protocol):
    """The origin of a streamed body; paused while the destination is slower."""

    def pause_body(self) -> None:
        """Stop writing; a bounded amount of data may still follow."""

    def resume_body(self) -> None:
        """Resume writing."""
