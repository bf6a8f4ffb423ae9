"""The node's side of reporting: sends each aggregator the evidence it has not acknowledged."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from corianderwall.moves.evidence import Cell, CellKey, MoveEvidence
from corianderwall.moves.messages import CellReport, EvidenceAck, EvidenceReport

AGGREGATORS_PER_MOVE = 2
MAX_REPORT_CELLS = 32
"""Maximum number of cells in a report; the others follow in later reports."""

MAX_REPORT_BYTES = 4096
"""Maximum size of an encoded report; a typical cell takes about 40 bytes."""

REPORT_PERIOD_S = 1.0
LARGE_SHARE_PERIOD_S = 0.5
LARGE_SHARE_PERMILLE = 500
"""Seconds between reports to the first aggregator: below the large share, and from it on."""

SECOND_AGGREGATOR_PERIOD_S = 3.0
"""Seconds between reports to the second aggregator."""

_FIXED_BYTES = 400
_CELL_BYTES = 30
_BUCKET_BYTES = 5


def choose_aggregators(move_id: str, nodes: Sequence[str]) -> list[str]:
    """Return the nodes that aggregate this move, the preferred one first."""

    def compute_weight(node: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{move_id}\0{node}".encode())

    return sorted(nodes, key=compute_weight, reverse=True)[:AGGREGATORS_PER_MOVE]


@dataclass(slots=True)
class _Progress:
    acknowledged: dict[CellKey, int] = field(default_factory=dict)
    sent: dict[CellKey, int] = field(default_factory=dict)
    sent_sequence: int = 0
    next_report_at: float = 0.0


@dataclass(slots=True)
class Reporter:
    """Builds the reports of one incarnation of a node about one move."""

    node: str
    incarnation: int
    evidence: MoveEvidence
    _sequence: int = 0
    _progress: dict[str, _Progress] = field(default_factory=dict)

    def collect_reports(
        self, aggregators: Sequence[str], now: float, *, is_urgent: bool = False
    ) -> dict[str, EvidenceReport]:
        """Return the due reports by aggregator; urgent reports are due immediately."""
        reports = {}
        for rank, aggregator in enumerate(aggregators):
            progress = self._progress.setdefault(aggregator, _Progress())
            if now < progress.next_report_at and not is_urgent:
                continue
            progress.next_report_at = now + self._choose_period(rank)
            report = self._build_report(progress)
            if report is not None:
                reports[aggregator] = report
        return reports

    def _choose_period(self, rank: int) -> float:
        if rank > 0:
            return SECOND_AGGREGATOR_PERIOD_S
        is_large = self.evidence.move.share_permille >= LARGE_SHARE_PERMILLE
        return LARGE_SHARE_PERIOD_S if is_large else REPORT_PERIOD_S

    def handle_ack(self, ack: EvidenceAck) -> None:
        """Record the counts that an aggregator has acknowledged, unless for an older report."""
        progress = self._progress.get(ack.aggregator)
        if progress is None or ack.incarnation != self.incarnation:
            return
        if ack.sequence == progress.sent_sequence:
            progress.acknowledged.update(progress.sent)

    def _build_report(self, progress: _Progress) -> EvidenceReport | None:
        chosen = self._choose_cells(progress)
        if not chosen:
            return None
        self._sequence += 1
        progress.sent = {key: cell.total for key, cell in chosen}
        progress.sent_sequence = self._sequence
        names = sorted({name for key, _ in chosen for name in (key.route, key.place)})
        index = {name: position for position, name in enumerate(names)}
        return EvidenceReport(
            move_id=self.evidence.move.id,
            node=self.node,
            incarnation=self.incarnation,
            sequence=self._sequence,
            names=tuple(names),
            cells=tuple(_encode_cell(key, cell, index) for key, cell in chosen),
        )

    def _choose_cells(self, progress: _Progress) -> list[tuple[CellKey, Cell]]:
        changed = [
            (key, cell)
            for key, cell in self.evidence.cells.items()
            if cell.total != progress.acknowledged.get(key, 0)
        ]
        changed.sort(key=lambda each: _rank_cell(each[0], each[1], progress), reverse=True)
        bytes_left = MAX_REPORT_BYTES - _FIXED_BYTES
        chosen = []
        for key, cell in changed[:MAX_REPORT_CELLS]:
            bytes_left -= _estimate_bytes(key, cell)
            if bytes_left < 0:
                break
            chosen.append((key, cell))
        return chosen


def _rank_cell(key: CellKey, cell: Cell, progress: _Progress) -> tuple[bool, int, int]:
    unacknowledged = cell.total - progress.acknowledged.get(key, 0)
    return key.is_new, cell.failures if key.is_new else 0, unacknowledged


def _estimate_bytes(key: CellKey, cell: Cell) -> int:
    names = len(key.route.encode()) + len(key.place.encode())
    filled = sum(1 for count in cell.buckets if count)
    return _CELL_BYTES + names + filled * _BUCKET_BYTES


def _encode_cell(key: CellKey, cell: Cell, index: dict[str, int]) -> CellReport:
    pairs = [number for pair in enumerate(cell.buckets) if pair[1] for number in pair]
    return CellReport(
        is_new=key.is_new,
        route=index[key.route],
        place=index[key.place],
        level=key.level,
        calls=cell.calls,
        failures=cell.failures,
        refusals=cell.refusals,
        buckets=tuple(pairs),
    )
