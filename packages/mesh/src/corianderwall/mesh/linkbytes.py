"""Counts the bytes that this node exchanges with its peers, by purpose and by zone."""

from dataclasses import dataclass, field

from corianderwall.httpflow.flow import Headers

HEADER_LINE_BYTES = 4
"""Bytes of a header line besides its name and value."""
START_LINE_BYTES = 30
"""Typical size of a request or status line and the framing headers."""


@dataclass(slots=True)
class LinkBytes:
    """Totals in bytes, by purpose and whether the peer is in another zone."""

    own_zone: str
    totals: dict[tuple[str, bool], int] = field(default_factory=dict)

    def count(self, purpose: str, zone: str, size: int) -> None:
        """Add `size` bytes that were sent to or received from a peer in `zone`."""
        key = (purpose, zone != self.own_zone)
        self.totals[key] = self.totals.get(key, 0) + size

    def count_heads(self, zone: str, *heads: Headers) -> None:
        """Add the heads of a call and its response."""
        size = sum(
            START_LINE_BYTES
            + sum(len(name) + len(value) + HEADER_LINE_BYTES for name, value in head)
            for head in heads
        )
        self.count("call_heads", zone, size)
