"""A node's participation in moves: evidence, shares, cuts, aggregation and control.

Performs no I/O: the node passes in snapshots, members, outcomes, messages and ticks, sends the
returned messages and writes the returned changes.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from corianderwall.model.change import AdvanceMove, EndMove
from corianderwall.model.endpoint import Endpoint, EndpointState
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import Move, MoveState, Snapshot
from corianderwall.moves.control import Capacity, DecisionInputs, HeldLease, MoveController
from corianderwall.moves.cut import CutRegistry
from corianderwall.moves.evaluation import (
    Aggregation,
    LocalMonitor,
    create_aggregation,
    create_monitor,
)
from corianderwall.moves.evidence import EvidenceRecorder
from corianderwall.moves.judgement import Judgement
from corianderwall.moves.messages import Cut, Ejection, EvidenceAck, EvidenceReport
from corianderwall.moves.reporting import choose_aggregators
from corianderwall.moves.share import TrafficSplitter, compute_phase

WARMUP_S = 20.0
"""Time after an endpoint's start during which its latency is not counted."""

WARMUP_FRACTION = 0.1
"""Upper limit of the warm-up, as a fraction of the move's duration."""

RESEND_PERIOD_S = 1.0

Held = TypeVar("Held")


@dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """The nodes and endpoints in the current membership; `nodes` holds sorted names."""

    nodes: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class MoveAgent:
    """One node's state and actions for all running moves, during one incarnation of the node."""

    node: str
    incarnation: int
    rng: random.Random
    recorder: EvidenceRecorder = field(default_factory=EvidenceRecorder)
    cuts: CutRegistry = field(init=False)
    _members: Members = field(default_factory=lambda: Members(nodes=(), endpoints=()))
    _moves: dict[str, Move] = field(default_factory=dict)
    _splitters: dict[str, TrafficSplitter] = field(default_factory=dict)
    _monitors: dict[str, LocalMonitor] = field(default_factory=dict)
    _aggregations: dict[str, Aggregation] = field(default_factory=dict)
    _controllers: dict[str, MoveController] = field(default_factory=dict)
    _aggregators: dict[str, list[str]] = field(default_factory=dict)
    _next_resend_at: float = 0.0

    def __post_init__(self) -> None:
        self.cuts = CutRegistry(self.node, self.rng)

    def update_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the configuration version that is active at this node."""
        running = [move for move in snapshot.moves if move.state is MoveState.RUNNING]
        self._moves = {move.id: move for move in running}
        self.cuts.update(running)
        self.recorder.update(running, self._map_zones())
        _drop_ended(self._splitters, self._moves)
        _drop_ended(self._monitors, self._moves)
        _drop_ended(self._aggregations, self._moves)
        _drop_ended(self._controllers, self._moves)
        for move in running:
            self._update_move(move)

    def update_members(self, members: Members) -> None:
        """Apply a change of the membership."""
        self._members = members
        self._aggregators.clear()
        zones = self._map_zones()
        self.recorder.update(list(self._moves.values()), zones)
        for move in self._moves.values():
            new_zones = self._map_new_zones(move)
            for evaluation in (self._monitors.get(move.id), self._aggregations.get(move.id)):
                if evaluation is not None:
                    evaluation.judge.zones = new_zones

    def record(self, outcome: AttemptOutcome) -> None:
        """Count the outcome of one attempt of a call."""
        self.recorder.record(outcome)

    def choose_version(self, service: str, sticky: str = "") -> str:
        """Return the version that receives a call, or an empty string without a running move."""
        evidence = self.recorder.find(service)
        if evidence is None:
            return ""
        move = evidence.move
        is_new = self._splitters[move.id].choose_new(sticky)
        return move.to_version if is_new else move.from_version

    def handle_message(self, message: PeerMessage) -> list[OutgoingMessage]:
        """Handle a message from a peer and return the messages to send in response."""
        if isinstance(message, EvidenceReport):
            return self._handle_report(message)
        if isinstance(message, EvidenceAck):
            monitor = self._monitors.get(message.move_id)
            if monitor is not None:
                monitor.reporter.handle_ack(message)
        elif isinstance(message, Cut):
            return self._forward(message) if self.cuts.add_cut(message) else []
        elif isinstance(message, Ejection):
            return self._forward(message) if self.cuts.add_ejection(message) else []
        return []

    def tick(self, now: float, unix_ms: int) -> list[OutgoingMessage]:
        """Judge the last window and return the messages to send; call this every `WINDOW_S`."""
        outgoing: list[OutgoingMessage] = []
        for move in list(self._moves.values()):
            outgoing.extend(self._tick_monitor(move, now, unix_ms))
            outgoing.extend(self._tick_aggregation(move, unix_ms))
        if now >= self._next_resend_at:
            self._next_resend_at = now + RESEND_PERIOD_S
            outgoing.extend(self.cuts.resend(self._members.nodes))
        return outgoing

    def is_aggregator(self, move_id: str) -> bool:
        """Return whether this node merges the evidence of a move and may acquire its lease."""
        return self.node in self.list_aggregators(move_id)

    def decide(
        self,
        move_id: str,
        lease: HeldLease | None,
        busy_slots: float,
        now: float,
        unix_ms: int,
    ) -> AdvanceMove | EndMove | None:
        """Return the change to write for a move, if any; `busy_slots` is the sum over all nodes."""
        move = self._moves.get(move_id)
        if move is None:
            return None
        aggregation = self._aggregations.get(move_id)
        controller = self._controllers.setdefault(move_id, MoveController(move_id))
        return controller.decide(
            DecisionInputs(
                move=move,
                judgement=aggregation.judgement if aggregation else None,
                capacity=Capacity(self._count_new_slots(move), busy_slots),
                lease=lease,
                now=now,
                unix_ms=unix_ms,
                cut=self.cuts.find_cut(move_id),
            )
        )

    def get_judgement(self, move_id: str) -> Judgement | None:
        """Return the judgement of a move's merged evidence, if this node aggregates it."""
        aggregation = self._aggregations.get(move_id)
        return aggregation.judgement if aggregation else None

    def _update_move(self, move: Move) -> None:
        splitter = self._splitters.get(move.id)
        if splitter is None:
            phase = compute_phase(move.id, self.node, self._members.nodes)
            splitter = self._splitters[move.id] = TrafficSplitter(phase)
        splitter.update(move.share_permille)
        self._apply_cut(move.id)
        evidence = self.recorder.find(move.service)
        if evidence is not None and move.id not in self._monitors:
            self._monitors[move.id] = create_monitor(
                evidence,
                self.node,
                self.incarnation,
                self._map_new_zones(move),
                len(self._members.nodes),
            )

    def _apply_cut(self, move_id: str) -> None:
        if self.cuts.is_cut(move_id) and move_id in self._splitters:
            self._splitters[move_id].stop()

    def _handle_report(self, report: EvidenceReport) -> list[OutgoingMessage]:
        move = self._moves.get(report.move_id)
        if move is None or not self.is_aggregator(report.move_id):
            return []
        aggregation = self._ensure_aggregation(move)
        responses: list[PeerMessage] = []
        ack = aggregation.add_report(report)
        if ack is not None:
            responses.append(ack)
        cut = self.cuts.find_cut(move.id)
        if cut is not None:
            responses.append(cut)
        return [OutgoingMessage(report.node, response) for response in responses]

    def _ensure_aggregation(self, move: Move) -> Aggregation:
        aggregation = self._aggregations.get(move.id)
        if aggregation is None:
            aggregation = create_aggregation(move, self.node, self._map_new_zones(move))
            self._aggregations[move.id] = aggregation
        return aggregation

    def _forward(self, message: Cut | Ejection) -> list[OutgoingMessage]:
        self._apply_cut(message.move_id)
        aggregators = self.list_aggregators(message.move_id)
        return self.cuts.forward(message, self._members.nodes, aggregators)

    def _tick_monitor(self, move: Move, now: float, unix_ms: int) -> list[OutgoingMessage]:
        monitor = self._monitors[move.id]
        monitor.evidence.warming = self._list_warming(move, unix_ms)
        reports = monitor.tick(self.list_aggregators(move.id), self.cuts.list_ejected(move.id), now)
        outgoing = self._apply_judgement(move, monitor.judgement, unix_ms)
        for aggregator, report in reports.items():
            if aggregator == self.node:
                for response in self._handle_report(report):
                    self.handle_message(response.message)
            else:
                outgoing.append(OutgoingMessage(aggregator, report))
        return outgoing

    def _tick_aggregation(self, move: Move, unix_ms: int) -> list[OutgoingMessage]:
        aggregation = self._aggregations.get(move.id)
        if aggregation is None:
            return []
        judgement = aggregation.tick(move, self.cuts.list_ejected(move.id))
        return self._apply_judgement(move, judgement, unix_ms)

    def _apply_judgement(
        self, move: Move, judgement: Judgement, unix_ms: int
    ) -> list[OutgoingMessage]:
        new_message = self.cuts.apply_judgement(move.id, judgement, unix_ms)
        return self._forward(new_message) if new_message is not None else []

    def list_aggregators(self, move_id: str) -> list[str]:
        """Return the nodes that merge the evidence of a move and compete for its lease."""
        aggregators = self._aggregators.get(move_id)
        if aggregators is None:
            aggregators = self._aggregators[move_id] = choose_aggregators(
                move_id, self._members.nodes
            )
        return aggregators

    def _list_new_endpoints(self, move: Move) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._members.endpoints
            if endpoint.service == move.service and endpoint.version == move.to_version
        ]

    def _list_warming(self, move: Move, unix_ms: int) -> frozenset[str]:
        duration_ms = move.deadline_unix_ms - move.started_unix_ms
        warmup_ms = min(WARMUP_S * 1000, WARMUP_FRACTION * duration_ms)
        return frozenset(
            endpoint.name
            for endpoint in self._list_new_endpoints(move)
            if unix_ms < endpoint.started_unix_ms + warmup_ms
        )

    def _count_new_slots(self, move: Move) -> int:
        ejected = self.cuts.list_ejected(move.id)
        return sum(
            endpoint.slots
            for endpoint in self._list_new_endpoints(move)
            if endpoint.state is EndpointState.READY and endpoint.name not in ejected
        )

    def _map_new_zones(self, move: Move) -> dict[str, str]:
        return {each.name: each.locality.zone for each in self._list_new_endpoints(move)}

    def _map_zones(self) -> dict[str, str]:
        return {each.name: each.locality.zone for each in self._members.endpoints}


def _drop_ended(held: dict[str, Held], running: Mapping[str, Move]) -> None:
    for move_id in [move_id for move_id in held if move_id not in running]:
        del held[move_id]
