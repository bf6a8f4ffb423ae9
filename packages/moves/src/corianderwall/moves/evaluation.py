"""Judging of one running move, from the calls of one node or from the merged reports of all."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from corianderwall.model.resource import Move
from corianderwall.moves.evidence import Cell, CellKey, MoveEvidence, Window
from corianderwall.moves.judgement import Judge, Judgement, Verdict
from corianderwall.moves.messages import EvidenceAck, EvidenceReport
from corianderwall.moves.pool import EvidencePool
from corianderwall.moves.reporting import Reporter
from corianderwall.moves.settings import choose_settings

WINDOW_S = 0.5
"""Length of the windows after which evidence is judged, in seconds."""

NO_FAILURE_WINDOW_S = 2.0
"""The same for a node's own evidence while no new failures of the new version occur."""

AGGREGATED_ERROR_FRACTION = 0.8
"""Fraction of a move's error rate for the merged evidence. Both aggregators judge the same
evidence, so their false alarms coincide. The nodes share the rest for their own evidence."""


@dataclass(slots=True)
class WindowBuilder:
    """Divides cumulative evidence into windows."""

    evidence: MoveEvidence
    _previous: dict[CellKey, Cell] = field(default_factory=dict)

    def close_window(self) -> Window:
        """Return the calls counted since the last window was closed."""
        window: dict[CellKey, Cell] = {}
        for key, cell in self.evidence.cells.items():
            previous = self._previous.get(key)
            if previous is None:
                previous = self._previous[key] = Cell()
            if cell.total == previous.total:
                continue
            window[key] = _subtract(cell, previous)
            _copy(cell, previous)
        return window


@dataclass(slots=True)
class LocalMonitor:
    """Judges a move from one node's own calls and reports them to the aggregators."""

    evidence: MoveEvidence
    judge: Judge
    reporter: Reporter
    judgement: Judgement = field(default_factory=lambda: Judgement(verdict=Verdict.UNDECIDED))
    _window_builder: WindowBuilder = field(init=False)
    _judged_failures: int = 0
    _next_window_at: float = 0.0

    def __post_init__(self) -> None:
        self._window_builder = WindowBuilder(self.evidence)

    def tick(
        self, aggregators: Sequence[str], ejected: frozenset[str], now: float
    ) -> dict[str, EvidenceReport]:
        """Judge the last window and return the due reports by aggregator.

        Weak evidence against the version causes no action here, but makes the report urgent, so
        that the aggregators can combine it with the weak evidence of other nodes.
        """
        self.evidence.ejected = ejected
        self.judge.eject(tuple(ejected))
        is_urgent = False
        if self._is_due(now):
            self._next_window_at = now + NO_FAILURE_WINDOW_S
            is_urgent = self._judge_window()
        return self.reporter.collect_reports(aggregators, now, is_urgent=is_urgent)

    def _is_due(self, now: float) -> bool:
        return now >= self._next_window_at or self.evidence.new_failures != self._judged_failures

    def _judge_window(self) -> bool:
        """Return whether the version is suspicious after the window."""
        self._judged_failures = self.evidence.new_failures
        window = self._window_builder.close_window()
        if not window:
            return False
        self.judge.add_window(window)
        self.judgement = self.judge.judge()
        return self.judgement.is_suspicious


@dataclass(slots=True)
class Aggregation:
    """Merges the evidence of all nodes on one move and judges it."""

    pool: EvidencePool
    judge: Judge
    judgement: Judgement = field(default_factory=lambda: Judgement(verdict=Verdict.UNDECIDED))

    def add_report(self, report: EvidenceReport) -> EvidenceAck | None:
        """Count a node's report and return the acknowledgement."""
        return self.pool.add_report(report)

    def tick(self, move: Move, ejected: frozenset[str]) -> Judgement:
        """Judge the reports received since the last tick."""
        self.judge.start_step(move.step, move.share_permille)
        self.judge.eject(tuple(ejected))
        window = self.pool.close_window()
        if window:
            self.judge.add_window(window)
        self.judgement = self.judge.judge()
        return self.judgement


def create_monitor(
    evidence: MoveEvidence, node: str, incarnation: int, zones: Mapping[str, str], nodes: int
) -> LocalMonitor:
    """Return the monitor of one of `nodes` nodes, which share a fraction of the error rate."""
    error_fraction = (1 - AGGREGATED_ERROR_FRACTION) / max(nodes, 1)
    settings = choose_settings(evidence.move.policy, _count_windows(evidence.move), error_fraction)
    return LocalMonitor(
        evidence=evidence,
        judge=Judge(settings, zones),
        reporter=Reporter(node, incarnation, evidence),
    )


def create_aggregation(move: Move, node: str, zones: Mapping[str, str]) -> Aggregation:
    """Return the aggregation of a move at `node`."""
    settings = choose_settings(move.policy, _count_windows(move), AGGREGATED_ERROR_FRACTION)
    return Aggregation(pool=EvidencePool(move.id, node), judge=Judge(settings, zones))


def _count_windows(move: Move) -> float:
    return (move.deadline_unix_ms - move.started_unix_ms) / 1000 / WINDOW_S


def _subtract(after: Cell, previous: Cell) -> Cell:
    difference = Cell()
    difference.calls = after.calls - previous.calls
    difference.failures = after.failures - previous.failures
    difference.refusals = after.refusals - previous.refusals
    difference.buckets = [
        new - old for new, old in zip(after.buckets, previous.buckets, strict=True)
    ]
    return difference


def _copy(source: Cell, target: Cell) -> None:
    target.calls = source.calls
    target.failures = source.failures
    target.refusals = source.refusals
    target.buckets = list(source.buckets)
