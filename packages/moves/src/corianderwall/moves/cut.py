"""Cuts and ejections at one node: learnt once, passed on, and never undone within the move."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from corianderwall.model.message import OutgoingMessage
from corianderwall.model.resource import Move, MoveState
from corianderwall.moves.judgement import Judgement, Verdict
from corianderwall.moves.messages import Cut, Ejection

FANOUT = 6
"""Peers that a node tells when it learns something; all but about 1 in 400 nodes then know."""

REMINDER_FANOUT = 3
"""Peers told again in each later second, until the snapshot states the end of the move."""

MAX_EARLY_CUTS = 64
"""Cuts kept of moves that this node's snapshot does not show, because it lags or they ended."""


@dataclass(slots=True)
class _Known:
    move: Move
    cut: Cut | None = None
    ejections: dict[str, Ejection] = field(default_factory=dict)


@dataclass(slots=True)
class CutBook:
    """What one node knows to be cut or ejected; kept while the move runs in the snapshot."""

    node: str
    rng: random.Random
    _known: dict[str, _Known] = field(default_factory=dict)
    _early: dict[str, Cut] = field(default_factory=dict)

    def update(self, moves: Collection[Move]) -> None:
        """Follow the snapshot: forget ended moves, keep all that is known of running ones."""
        running = {move.id: move for move in moves if move.state is MoveState.RUNNING}
        kept: dict[str, _Known] = {}
        for move_id, move in running.items():
            known = self._known.get(move_id) or _Known(move)
            known.move = move
            kept[move_id] = known
        self._known = kept
        for cut in [self._early.pop(move_id) for move_id in running if move_id in self._early]:
            self.take_cut(cut)

    def find_cut(self, move_id: str) -> Cut | None:
        """Return the cut of a running move, if there is one."""
        known = self._known.get(move_id)
        return known.cut if known else None

    def is_cut(self, move_id: str) -> bool:
        """Return whether the new version of a running move must receive no calls."""
        return self.find_cut(move_id) is not None

    def list_ejected(self, move_id: str) -> frozenset[str]:
        """Return the endpoints of the move's new version that must receive no calls."""
        known = self._known.get(move_id)
        return frozenset(known.ejections) if known else frozenset()

    def take_judgement(
        self, move_id: str, judgement: Judgement, unix_ms: int
    ) -> Cut | Ejection | None:
        """Act on this node's own judgement; return what was learnt and has to be passed on."""
        known = self._known.get(move_id)
        if known is None:
            return None
        if judgement.verdict is Verdict.BAD:
            cut = Cut(
                move_id=move_id,
                service=known.move.service,
                version=known.move.to_version,
                node=self.node,
                unix_ms=unix_ms,
                cause=judgement.cause,
                evidence=judgement.evidence,
            )
            return cut if self.take_cut(cut) else None
        if judgement.verdict is Verdict.BAD_ENDPOINTS:
            ejection = Ejection(
                move_id=move_id,
                service=known.move.service,
                node=self.node,
                endpoints=judgement.bad_endpoints,
                evidence=judgement.evidence,
            )
            return ejection if self.take_ejection(ejection) else None
        return None

    def take_cut(self, cut: Cut) -> bool:
        """Learn of a cut; return whether it is new and has to be passed on."""
        known = self._known.get(cut.move_id)
        if known is None:
            if len(self._early) < MAX_EARLY_CUTS:
                self._early.setdefault(cut.move_id, cut)
            return False
        if known.cut is not None or cut.version != known.move.to_version:
            return False
        known.cut = cut
        return True

    def take_ejection(self, ejection: Ejection) -> bool:
        """Learn of ejected endpoints; return whether some are new and have to be passed on."""
        known = self._known.get(ejection.move_id)
        if known is None:
            return False
        new = [each for each in ejection.endpoints if each not in known.ejections]
        for endpoint in new:
            known.ejections[endpoint] = ejection
        return bool(new)

    def spread(
        self, message: Cut | Ejection, peers: Sequence[str], first: Sequence[str] = ()
    ) -> list[OutgoingMessage]:
        """Return the messages that pass on what was just learnt; `first` are always told."""
        return self._tell(message, peers, FANOUT, first)

    def remind(self, peers: Sequence[str]) -> list[OutgoingMessage]:
        """Return this second's reminders, which reach the nodes that missed the first telling."""
        outgoing: list[OutgoingMessage] = []
        for known in self._known.values():
            for message in _list_messages(known):
                outgoing.extend(self._tell(message, peers, REMINDER_FANOUT, ()))
        return outgoing

    def _tell(
        self, message: Cut | Ejection, peers: Sequence[str], count: int, first: Sequence[str]
    ) -> list[OutgoingMessage]:
        others = [peer for peer in peers if peer != self.node]
        chosen = self.rng.sample(others, min(count, len(others)))
        names = dict.fromkeys([*(peer for peer in first if peer != self.node), *chosen])
        return [OutgoingMessage(peer, message) for peer in names]


def _list_messages(known: _Known) -> list[Cut | Ejection]:
    messages: list[Cut | Ejection] = []
    for ejection in known.ejections.values():
        if ejection not in messages:
            messages.append(ejection)
    if known.cut is not None:
        messages.append(known.cut)
    return messages
