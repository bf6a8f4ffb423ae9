"""The two ends of a streamed body, and what the parsers hand on."""

from typing import Protocol

Headers = list[tuple[bytes, bytes]]
"""Names in lower case and values, in their order, without hop-by-hop headers and framing."""


class BodySink(Protocol):
    """What the bytes of a body are written to."""

    def write_body(self, data: bytes) -> None:
        """Take the next bytes."""

    def end_body(self) -> None:
        """Take note that the body is whole."""

    def abort_body(self) -> None:
        """Take note that the rest of the body will not come."""


class BodySource(Protocol):
    """What the bytes of a body come from; told when the other end is slower."""

    def pause_body(self) -> None:
        """Stop writing; a bounded amount may still come."""

    def resume_body(self) -> None:
        """Go on writing."""
