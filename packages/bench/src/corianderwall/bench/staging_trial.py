"""A trial of optimistic staging: candidates travel while their write is in flight.

The nodes stage a candidate and pass it on; once the write has succeeded, a short message makes
each swap to what it has staged. Only the measurement of convergence uses this.
"""

import random
from typing import cast

from corianderwall.distribution.distributor import Distributor
from corianderwall.distribution.messages import HeldVersion
from corianderwall.membership.membership import Membership
from corianderwall.model.codec import compute_digest
from corianderwall.model.delta import Delta, apply_delta, compute_delta
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.resource import Snapshot
from corianderwall.model.validation import require_valid


class Candidate(PeerMessage, frozen=True, tag="ca"):
    """A change whose write is in flight."""

    delta: Delta


class Commit(PeerMessage, frozen=True, tag="co"):
    """The write of a candidate has succeeded."""

    session: int
    version: int
    digest: str


STAGING_MESSAGES: tuple[type[PeerMessage], ...] = (Candidate, Commit)


class StagingDistributor(Distributor):
    """Stages candidates; what is staged is in force only after the commit and the witnesses."""

    def __init__(self, members: Membership, *, rng: random.Random, now: float) -> None:
        super().__init__(members, rng=rng, now=now)
        self._staged: dict[str, Snapshot] = {}

    def stage(self, candidate: Snapshot) -> list[OutgoingMessage]:
        """Stage a candidate of this node and send it out."""
        base = self._replica.history.newest
        if base is None:
            return []
        delta = compute_delta(base, candidate)
        self._staged = {delta.result_digest: candidate}
        return [OutgoingMessage(peer, Candidate(delta)) for peer in self._members.neighbours]

    def handle_head(
        self, snapshot: Snapshot, now: float, *, asked_at: float | None = None
    ) -> list[OutgoingMessage]:
        """Take the platform's head; a staged one is passed on as a commit."""
        return self._shorten(super().handle_head(snapshot, now, asked_at=asked_at))

    def handle(self, peer: str, message: PeerMessage, now: float) -> list[OutgoingMessage]:
        """Take candidates and commits too."""
        if isinstance(message, Candidate):
            return self._take_candidate(peer, message.delta)
        if isinstance(message, Commit):
            return self._take_commit(peer, message, now)
        return self._shorten(super().handle(peer, message, now))

    def _take_candidate(self, peer: str, delta: Delta) -> list[OutgoingMessage]:
        base = self._replica.history.newest
        if base is None or delta.result_digest in self._staged:
            return []
        try:
            candidate = apply_delta(base, delta)
            require_valid(candidate)
        except CorianderwallError:
            return []
        self._staged = {delta.result_digest: candidate}
        others = (name for name in self._members.neighbours if name != peer)
        return [OutgoingMessage(name, Candidate(delta)) for name in others]

    def _take_commit(self, peer: str, commit: Commit, now: float) -> list[OutgoingMessage]:
        staged = self._staged.get(commit.digest)
        outgoing = super().handle(peer, HeldVersion(commit.session, commit.version), now)
        if staged is not None and staged.version > self.held_version:
            self._replica.holders.record_acknowledgement(peer, commit.session, commit.version)
            taken = self._replica.store(staged, peer, now)
            return self._shorten(taken + self._activate_newest(now))
        return self._shorten(outgoing)

    def _shorten(self, outgoing: list[OutgoingMessage]) -> list[OutgoingMessage]:
        """Replace updates of what was staged by commits."""
        history = self._replica.history
        newest = history.newest
        if newest is None or compute_digest(newest) not in self._staged:
            return outgoing
        session = self._members.me.incarnation
        commit = Commit(session, newest.version, history.digest)
        return [
            OutgoingMessage(each.peer, commit) if type(each.message).__name__ == "Update" else each
            for each in outgoing
        ]


def make_staging_distributor(members: Membership, rng: random.Random, now: float) -> Distributor:
    """Return a distributor that stages."""
    return cast("Distributor", StagingDistributor(members, rng=rng, now=now))
