"""The cuts and ejections known at one node.

A cut stops all calls to the new version of a move, an ejection those to some of its endpoints.
Nodes gossip both, and never revoke them while the move runs.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from corianderwall.model.message import OutgoingMessage
from corianderwall.model.resource import Move, MoveState
from corianderwall.moves.judgement import Judgement, Verdict
from corianderwall.moves.messages import Cut, Ejection

FANOUT = 6
"""Random peers to which a node forwards a new cut or ejection; about 1 in 400 nodes is missed."""

RESEND_FANOUT = 3
"""Random peers that receive it again each second, until the snapshot shows the move's end."""

MAX_EARLY_CUTS = 64
"""Maximum number of stored cuts of moves that the snapshot lacks, as it lags or they ended."""


@dataclass(slots=True)
class _MoveRecord:
    move: Move
    cut: Cut | None = None
    ejections: dict[str, Ejection] = field(default_factory=dict)


@dataclass(slots=True)
class CutRegistry:
    """One node's known cuts and ejections, stored while their move runs in the snapshot."""

    node: str
    rng: random.Random
    _records: dict[str, _MoveRecord] = field(default_factory=dict)
    _early_cuts: dict[str, Cut] = field(default_factory=dict)

    def update(self, moves: Collection[Move]) -> None:
        """Apply a snapshot: drop ended moves, and keep the cuts and ejections of running ones."""
        running = {move.id: move for move in moves if move.state is MoveState.RUNNING}
        kept: dict[str, _MoveRecord] = {}
        for move_id, move in running.items():
            record = self._records.get(move_id) or _MoveRecord(move)
            record.move = move
            kept[move_id] = record
        self._records = kept
        for cut in [
            self._early_cuts.pop(move_id) for move_id in running if move_id in self._early_cuts
        ]:
            self.add_cut(cut)

    def find_cut(self, move_id: str) -> Cut | None:
        """Return the cut of a running move, if it has one."""
        record = self._records.get(move_id)
        return record.cut if record else None

    def is_cut(self, move_id: str) -> bool:
        """Return whether the new version of a running move must receive no calls."""
        return self.find_cut(move_id) is not None

    def list_ejected(self, move_id: str) -> frozenset[str]:
        """Return the endpoints of the move's new version that must receive no calls."""
        record = self._records.get(move_id)
        return frozenset(record.ejections) if record else frozenset()

    def apply_judgement(
        self, move_id: str, judgement: Judgement, unix_ms: int
    ) -> Cut | Ejection | None:
        """Apply this node's own judgement and return the new cut or ejection to forward, if any."""
        record = self._records.get(move_id)
        if record is None:
            return None
        if judgement.verdict is Verdict.BAD:
            cut = Cut(
                move_id=move_id,
                service=record.move.service,
                version=record.move.to_version,
                node=self.node,
                unix_ms=unix_ms,
                cause=judgement.cause,
                evidence=judgement.evidence,
            )
            return cut if self.add_cut(cut) else None
        if judgement.verdict is Verdict.BAD_ENDPOINTS:
            ejection = Ejection(
                move_id=move_id,
                service=record.move.service,
                node=self.node,
                endpoints=judgement.bad_endpoints,
                evidence=judgement.evidence,
            )
            return ejection if self.add_ejection(ejection) else None
        return None

    def add_cut(self, cut: Cut) -> bool:
        """Store a cut and return whether it is new, so that it is forwarded."""
        record = self._records.get(cut.move_id)
        if record is None:
            if len(self._early_cuts) < MAX_EARLY_CUTS:
                self._early_cuts.setdefault(cut.move_id, cut)
            return False
        if record.cut is not None or cut.version != record.move.to_version:
            return False
        record.cut = cut
        return True

    def add_ejection(self, ejection: Ejection) -> bool:
        """Store an ejection and return whether any endpoint is new, so that it is forwarded."""
        record = self._records.get(ejection.move_id)
        if record is None:
            return False
        new = [each for each in ejection.endpoints if each not in record.ejections]
        for endpoint in new:
            record.ejections[endpoint] = ejection
        return bool(new)

    def forward(
        self, message: Cut | Ejection, peers: Sequence[str], required_peers: Sequence[str] = ()
    ) -> list[OutgoingMessage]:
        """Return the messages that forward `message` to random peers and all `required_peers`."""
        return self._build_messages(message, peers, FANOUT, required_peers)

    def resend(self, peers: Sequence[str]) -> list[OutgoingMessage]:
        """Return the messages that resend all cuts and ejections, for nodes that missed them."""
        outgoing: list[OutgoingMessage] = []
        for record in self._records.values():
            for message in _list_messages(record):
                outgoing.extend(self._build_messages(message, peers, RESEND_FANOUT, ()))
        return outgoing

    def _build_messages(
        self,
        message: Cut | Ejection,
        peers: Sequence[str],
        count: int,
        required_peers: Sequence[str],
    ) -> list[OutgoingMessage]:
        others = [peer for peer in peers if peer != self.node]
        chosen = self.rng.sample(others, min(count, len(others)))
        names = dict.fromkeys([*(peer for peer in required_peers if peer != self.node), *chosen])
        return [OutgoingMessage(peer, message) for peer in names]


def _list_messages(record: _MoveRecord) -> list[Cut | Ejection]:
    messages: list[Cut | Ejection] = []
    for ejection in record.ejections.values():
        if ejection not in messages:
            messages.append(ejection)
    if record.cut is not None:
        messages.append(record.cut)
    return messages
