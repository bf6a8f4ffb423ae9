"""The messages that nodes exchange about moves."""

import msgspec

from corianderwall.model.message import PeerMessage


class CellReport(msgspec.Struct, frozen=True, array_like=True):
    """The cumulative counts of one cell; `route` and `place` index the report's `names`.

    `buckets` holds pairs of bucket and count for the buckets that are not empty.
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
    """A node's cells that the aggregator has not acknowledged yet, with cumulative counts.

    `sequence` grows by one with each report of an incarnation of the node about the move.
    """

    move_id: str
    node: str
    incarnation: int
    sequence: int
    names: tuple[str, ...]
    cells: tuple[CellReport, ...]


class EvidenceAck(PeerMessage, frozen=True, kw_only=True):
    """Tells a node that its report of this sequence was counted."""

    move_id: str
    aggregator: str
    incarnation: int
    sequence: int


class Cut(PeerMessage, frozen=True, kw_only=True):
    """Tells that `version` must receive no more calls in this move, for good.

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
    """Tells that these endpoints of the new version must receive no more calls in this move."""

    move_id: str
    service: str
    node: str
    endpoints: tuple[str, ...]
    evidence: str


MESSAGES: tuple[type[PeerMessage], ...] = (EvidenceReport, EvidenceAck, Cut, Ejection)
