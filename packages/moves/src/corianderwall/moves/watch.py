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

CALM_WINDOW_S = 2.0
"""The same for a node's own evidence while no new failures of the new version occur."""

AGGREGATED_PART = 0.8
"""Fraction of a move's error rate for the merged evidence. Both aggregators judge the same
evidence, so their false alarms coincide. The nodes share the rest for their own evidence."""


@dataclass(slots=True)
class WindowCutter:
    """Divides cumulative evidence into windows."""

    evidence: MoveEvidence
    _before: dict[CellKey, Cell] = field(default_factory=dict)

    def close_window(self) -> Window:
        """Return the calls counted since the last window was closed."""
        window: dict[CellKey, Cell] = {}
        for key, cell in self.evidence.cells.items():
            before = self._before.get(key)
            if before is None:
                before = self._before[key] = Cell()
            if cell.total == before.total:
                continue
            window[key] = _subtract(cell, before)
            _copy(cell, before)
        return window


@dataclass(slots=True)
class LocalWatch:
    """Judges a move from one node's own calls and reports them to the aggregators."""

    evidence: MoveEvidence
    judge: Judge
    reporter: Reporter
    judgement: Judgement = field(default_factory=lambda: Judgement(verdict=Verdict.UNDECIDED))
    _cutter: WindowCutter = field(init=False)
    _seen_failures: int = 0
    _next_calm_at: float = 0.0

    def __post_init__(self) -> None:
        self._cutter = WindowCutter(self.evidence)

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
            self._next_calm_at = now + CALM_WINDOW_S
            is_urgent = self._judge_window()
        return self.reporter.collect_reports(aggregators, now, is_urgent=is_urgent)

    def _is_due(self, now: float) -> bool:
        return now >= self._next_calm_at or self.evidence.new_failures != self._seen_failures

    def _judge_window(self) -> bool:
        """Return whether the version is suspicious after the window."""
        self._seen_failures = self.evidence.new_failures
        window = self._cutter.close_window()
        if not window:
            return False
        self.judge.take_window(window)
        self.judgement = self.judge.judge()
        return self.judgement.is_suspicious


@dataclass(slots=True)
class Aggregation:
    """Merges the evidence of all nodes on one move and judges it."""

    pool: EvidencePool
    judge: Judge
    judgement: Judgement = field(default_factory=lambda: Judgement(verdict=Verdict.UNDECIDED))

    def take_report(self, report: EvidenceReport) -> EvidenceAck | None:
        """Count a node's report and return the acknowledgement."""
        return self.pool.take_report(report)

    def tick(self, move: Move, ejected: frozenset[str]) -> Judgement:
        """Judge the reports received since the last tick."""
        self.judge.start_step(move.step, move.share_permille)
        self.judge.eject(tuple(ejected))
        window = self.pool.close_window()
        if window:
            self.judge.take_window(window)
        self.judgement = self.judge.judge()
        return self.judgement


def start_watch(
    evidence: MoveEvidence, node: str, incarnation: int, zones: Mapping[str, str], nodes: int
) -> LocalWatch:
    """Return the watch of one of `nodes` nodes, which share a fraction of the error rate."""
    part = (1 - AGGREGATED_PART) / max(nodes, 1)
    settings = choose_settings(evidence.move.policy, _count_windows(evidence.move), part)
    return LocalWatch(
        evidence=evidence,
        judge=Judge(settings, zones),
        reporter=Reporter(node, incarnation, evidence),
    )


def start_aggregation(move: Move, node: str, zones: Mapping[str, str]) -> Aggregation:
    """Return the aggregation of a move at `node`."""
    settings = choose_settings(move.policy, _count_windows(move), AGGREGATED_PART)
    return Aggregation(pool=EvidencePool(move.id, node), judge=Judge(settings, zones))


def _count_windows(move: Move) -> float:
    return (move.deadline_unix_ms - move.started_unix_ms) / 1000 / WINDOW_S


def _subtract(after: Cell, before: Cell) -> Cell:
    difference = Cell()
    difference.calls = after.calls - before.calls
    difference.failures = after.failures - before.failures
    difference.refusals = after.refusals - before.refusals
    difference.buckets = [new - old for new, old in zip(after.buckets, before.buckets, strict=True)]
    return difference


def _copy(source: Cell, target: Cell) -> None:
    target.calls = source.calls
    target.failures = source.failures
    target.refusals = source.refusals
    target.buckets = list(source.buckets)
