"""Messages between nodes about moves."""

import msgspec

from corianderwall.model.message import PeerMessage


class CellReport(msgspec.Struct, frozen=True, array_like=True):
    """The cumulative counts of one cell; `route` and `place` are indexes into the report's `names`.

    `buckets` is a flat sequence of bucket index and count for each bucket that is not empty.
    """

    is_new: bool
    route: int
    place: int
    level: int
    calls: int
    failures: int
    refusals: int
    buckets: tuple[int, ...]


class EvidenceReport(PeerMessage, frozen=True, kw_only=True):
    """The cumulative counts of a node's cells that the aggregator has not acknowledged yet.

    `sequence` counts the reports of one incarnation of the node about the move.
    """

    move_id: str
    node: str
    incarnation: int
    sequence: int
    names: tuple[str, ...]
    cells: tuple[CellReport, ...]


class EvidenceAck(PeerMessage, frozen=True, kw_only=True):
    """Acknowledges that the report with this sequence number was counted."""

    move_id: str
    aggregator: str
    incarnation: int
    sequence: int


class Cut(PeerMessage, frozen=True, kw_only=True):
    """Stops all calls to `version` for the rest of the move.

    `node` found the `evidence` at `unix_ms`.
    """

    move_id: str
    service: str
    version: str
    node: str
    unix_ms: int
    cause: str
    evidence: str


class Ejection(PeerMessage, frozen=True, kw_only=True):
    """Stops all calls to these endpoints of the new version for the rest of the move."""

    move_id: str
    service: str
    node: str
    endpoints: tuple[str, ...]
    evidence: str


MESSAGES: tuple[type[PeerMessage], ...] = (EvidenceReport, EvidenceAck, Cut, Ejection)
