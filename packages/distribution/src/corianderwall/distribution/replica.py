"""The snapshots of a node: it receives them from the platform or peers and forwards them."""

import msgspec

from corianderwall.distribution.advert import Advert, shorten_digest
from corianderwall.distribution.catchup import CatchUp
from corianderwall.distribution.events import DigestConflict, DistributionEvent, UpdateRefused
from corianderwall.distribution.history import History
from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import (
    NO_VERSION,
    CatchUpRequest,
    HeldVersion,
    SnapshotPart,
    Update,
)
from corianderwall.distribution.parts import Assembly, split_snapshot
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.distribution.witnesses import Holders
from corianderwall.model.delta import Delta, apply_delta
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.resource import Snapshot
from corianderwall.model.validation import require_valid

PLATFORM = "platform"
"""The source of a snapshot that was read from the platform."""

_encoder = msgspec.msgpack.Encoder()


class Replica:
    """Stores the newest snapshot that has reached this node; its version never decreases.

    A new snapshot is forwarded to the neighbours at once: as a small delta if they lack it, as an
    acknowledgement otherwise. A peer that has neither the base nor the result requests it.
    """

    def __init__(self, members: Members, settings: DistributionSettings, session: int) -> None:
        self._members = members
        self._settings = settings
        self._session = session
        self._assembly = Assembly()
        self._parts: tuple[SnapshotPart, ...] = ()
        self._events: list[DistributionEvent] = []
        self._conflicts: dict[str, int] = {}
        self.holders = Holders()
        self.history = History(settings.history_size)
        self.catch_up = CatchUp(self.history, settings.catch_up_wait_s)
        self.held_since = 0.0

    def take_events(self) -> list[DistributionEvent]:
        """Return and forget the events since the last call."""
        events, self._events = self._events, []
        return events

    def make_advert(self) -> Advert:
        """Return the advert for this node's heartbeats."""
        digest = shorten_digest(self.history.digest)
        return Advert(self._session, self.history.version, digest)

    def make_held(self, *, wants_reply: bool = False) -> HeldVersion:
        """Return the acknowledgement of the newest snapshot."""
        return HeldVersion(self._session, self.history.version, wants_reply)

    def store(self, snapshot: Snapshot, source: str, now: float) -> list[OutgoingMessage]:
        """Store and forward a newer snapshot; an invalid one raises an error with no effect."""
        if snapshot.version <= self.history.version:
            return []
        require_valid(snapshot)
        base_digest = self.history.digest
        self.history.add(snapshot)
        self.held_since = now
        self._parts = ()
        self.catch_up.finish()
        update = self._make_eager_update(base_digest)
        peers = dict.fromkeys(self._members.neighbours)
        if source != PLATFORM:
            peers[source] = None
        return [self._make_forward(peer, source, update) for peer in peers]

    def handle_update(self, peer: str, message: Update, now: float) -> list[OutgoingMessage]:
        """Apply a delta to the newest snapshot; request a catch-up if its base is another one."""
        delta = message.delta
        self.holders.record_acknowledgement(peer, message.session, delta.changed.version)
        if self._is_known_version(peer, delta.changed.version, delta.result_digest):
            return self._acknowledge(peer)
        if self.history.newest is None or delta.base_digest != self.history.digest:
            return self.catch_up.request(peer, now)
        try:
            return self.store(apply_delta(self.history.newest, delta), peer, now)
        except CorianderwallError as error:
            return self._refuse(peer, error, now)

    def handle_part(self, peer: str, message: SnapshotPart, now: float) -> list[OutgoingMessage]:
        """Add a part of a whole snapshot and store the snapshot once all parts have arrived."""
        self.holders.record_acknowledgement(peer, message.session, message.version)
        if self._is_known_version(peer, message.version, message.digest):
            return []
        self.catch_up.extend_deadline(peer, now)
        try:
            snapshot = self._assembly.add(message)
            return [] if snapshot is None else self.store(snapshot, peer, now)
        except CorianderwallError as error:
            return self._refuse(peer, error, now)

    def handle_held(self, peer: str, message: HeldVersion, now: float) -> list[OutgoingMessage]:
        """Record the acknowledgement of a peer; request its snapshot if it is newer."""
        self.holders.record_acknowledgement(peer, message.session, message.version)
        outgoing = []
        if message.version > self.history.version:
            outgoing += self.catch_up.request(peer, now)
        if message.wants_reply:
            outgoing.append(OutgoingMessage(peer, self.make_held()))
        return outgoing

    def handle_advert(self, peer: str, advert: Advert, now: float) -> list[OutgoingMessage]:
        """Record the advert of a peer; request its snapshot if it is newer."""
        self.holders.record_acknowledgement(peer, advert.session, advert.version)
        if advert.version > self.history.version:
            return self.catch_up.request(peer, now)
        digest = shorten_digest(self.history.digest)
        if advert.version == self.history.version and advert.digest != digest:
            self.report_conflict(peer)
        return []

    def report_conflict(self, source: str) -> None:
        """Report once per source and version that its snapshot differs from the stored one."""
        version = self.history.version
        if self._conflicts.get(source) != version:
            self._conflicts[source] = version
            self._events.append(DigestConflict(source, version))

    def handle_catch_up(self, peer: str, message: CatchUpRequest) -> list[OutgoingMessage]:
        """Respond with the delta or the parts that lead from the peer's snapshot to the newest."""
        if message.version >= self.history.version:
            return [OutgoingMessage(peer, self.make_held())]
        return [
            OutgoingMessage(peer, response) for response in self._make_responses(message.digest)
        ]

    def _make_responses(self, base_digest: str) -> list[PeerMessage]:
        delta = self.history.make_delta(base_digest)
        if delta is not None and _measure_size(delta) <= self._settings.part_bytes:
            return [Update(self._session, delta)]
        return list(self._get_parts())

    def _get_parts(self) -> tuple[SnapshotPart, ...]:
        if not self._parts and self.history.newest is not None:
            self._parts = split_snapshot(
                self.history.newest,
                self.history.digest,
                session=self._session,
                part_bytes=self._settings.part_bytes,
            )
        return self._parts

    def _make_eager_update(self, base_digest: str) -> Update | None:
        delta = self.history.make_delta(base_digest)
        if delta is None or _measure_size(delta) > self._settings.eager_bytes:
            return None
        return Update(self._session, delta)

    def _make_forward(self, peer: str, source: str, update: Update | None) -> OutgoingMessage:
        session = self._members.get_session(peer)
        held = self.holders.get_version(peer, session=session)
        is_lacking = held != NO_VERSION and held < self.history.version
        if update is not None and is_lacking and peer != source:
            return OutgoingMessage(peer, update)
        return OutgoingMessage(peer, self.make_held())

    def _is_known_version(self, peer: str, version: int, digest: str) -> bool:
        if version == self.history.version and digest != self.history.digest:
            self.report_conflict(peer)
        return version <= self.history.version

    def _acknowledge(self, peer: str) -> list[OutgoingMessage]:
        """Send an acknowledgement to a peer that got none because it is not a neighbour."""
        if peer in self._members.neighbours:
            return []
        return [OutgoingMessage(peer, self.make_held())]

    def _refuse(self, peer: str, error: CorianderwallError, now: float) -> list[OutgoingMessage]:
        self._events.append(UpdateRefused(peer, error.code, error.sentence))
        self._assembly.clear()
        self.catch_up.finish()
        return self.catch_up.request(peer, now)


def _measure_size(delta: Delta) -> int:
    return len(_encoder.encode(delta))
