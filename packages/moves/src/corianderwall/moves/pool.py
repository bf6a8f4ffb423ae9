"""The aggregator's side of reporting: merges the reports of all nodes, counting each call once."""

from dataclasses import dataclass, field

from corianderwall.moves.evidence import Cell, CellKey, Window
from corianderwall.moves.histogram import BUCKET_COUNT
from corianderwall.moves.messages import CellReport, EvidenceAck, EvidenceReport

MAX_SOURCES = 4096
"""Maximum number of node incarnations in a pool; reports of others are not counted."""


@dataclass(frozen=True, slots=True)
class Source:
    """One incarnation of a node, whose counts start at zero."""

    node: str
    incarnation: int


@dataclass(slots=True)
class _SourceState:
    sequence: int = 0
    cells: dict[CellKey, CellReport] = field(default_factory=dict)


@dataclass(slots=True)
class EvidencePool:
    """Merges the reports about one move.

    The latest report of a source replaces its older ones cell by cell, so a report that arrives
    twice, late or through another peer adds nothing. The counts of a source stay after its
    incarnation has ended.
    """

    move_id: str
    aggregator: str
    _sources: dict[Source, _SourceState] = field(default_factory=dict)
    _pending: dict[CellKey, Cell] = field(default_factory=dict)

    def add_report(self, report: EvidenceReport) -> EvidenceAck | None:
        """Count the new calls in `report`; return None for another move or beyond `MAX_SOURCES`."""
        if report.move_id != self.move_id:
            return None
        source = Source(report.node, report.incarnation)
        source_state = self._sources.get(source)
        if source_state is None:
            if len(self._sources) >= MAX_SOURCES:
                return None
            source_state = self._sources[source] = _SourceState()
        if report.sequence > source_state.sequence:
            source_state.sequence = report.sequence
            self._count_cells(source_state, report)
        return EvidenceAck(
            move_id=report.move_id,
            aggregator=self.aggregator,
            incarnation=report.incarnation,
            sequence=report.sequence,
        )

    def close_window(self) -> Window:
        """Return the calls counted since the last window was closed."""
        window = self._pending
        self._pending = {}
        return window

    def _count_cells(self, source_state: _SourceState, report: EvidenceReport) -> None:
        for cell in report.cells:
            if not _is_well_formed(cell, len(report.names)):
                continue
            key = CellKey(
                cell.is_new, report.names[cell.route], report.names[cell.place], cell.level
            )
            before = source_state.cells.get(key)
            if before is not None and not _has_grown(before, cell):
                continue
            source_state.cells[key] = cell
            pending = self._pending.get(key)
            if pending is None:
                pending = self._pending[key] = Cell()
            _add_difference(pending, cell, before)


def _is_well_formed(cell: CellReport, names: int) -> bool:
    if not (0 <= cell.route < names and 0 <= cell.place < names):
        return False
    if len(cell.buckets) % 2 or not 0 <= cell.failures <= cell.calls or cell.refusals < 0:
        return False
    return all(0 <= bucket < BUCKET_COUNT for bucket in cell.buckets[::2])


def _has_grown(before: CellReport, after: CellReport) -> bool:
    return (
        after.calls >= before.calls
        and after.failures >= before.failures
        and after.refusals >= before.refusals
    )


def _add_difference(cell: Cell, after: CellReport, before: CellReport | None) -> None:
    _add_scaled(cell, after, 1)
    if before is not None:
        _add_scaled(cell, before, -1)


def _add_scaled(cell: Cell, report: CellReport, factor: int) -> None:
    cell.calls += factor * report.calls
    cell.failures += factor * report.failures
    cell.refusals += factor * report.refusals
    for position in range(0, len(report.buckets), 2):
        cell.buckets[report.buckets[position]] += factor * report.buckets[position + 1]
