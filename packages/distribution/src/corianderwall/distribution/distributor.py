"""The configuration distribution of one node: which version it may activate, and when."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from corianderwall.distribution.advert import decode_advert, encode_advert
from corianderwall.distribution.events import (
    DistributionEvent,
    HeadReadRequested,
    VersionActivated,
)
from corianderwall.distribution.floor import FloorSearch
from corianderwall.distribution.headreads import PendingHeadRequests
from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import (
    NO_VERSION,
    ActiveVersion,
    CatchUpRequest,
    FloorQuery,
    FloorResponse,
    HeadRequest,
    HeadResponse,
    HeldVersion,
    RolloutQuery,
    RolloutResponse,
    SnapshotPart,
    Update,
)
from corianderwall.distribution.placement import choose_watchers
from corianderwall.distribution.replica import PLATFORM, Replica
from corianderwall.distribution.rollout import Rollout, RolloutTracker
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.distribution.witnesses import WitnessRule
from corianderwall.distribution.witnessrequests import WitnessRequests
from corianderwall.model.codec import compute_digest
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.resource import Snapshot

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host


class Distributor:
    """Activates a version once it is not below a known floor and enough other hosts hold it.

    The class does no input or output and has no clock: the node calls `handle` for each message
    from a peer and `tick` about every 100 ms, and sends the messages that they return.
    `take_events` returns the changes since its last call.
    """

    def __init__(
        self,
        members: Members,
        *,
        rng: random.Random,
        now: float,
        settings: DistributionSettings | None = None,
    ) -> None:
        self._members = members
        self._settings = settings or DistributionSettings()
        self._started_at = now
        session = members.me.incarnation
        self._replica = Replica(members, self._settings, session)
        self._floor = FloorSearch(members, self._settings, rng, now)
        self._head_requests = PendingHeadRequests(self._settings.head_request_life_s)
        self._witnesses = WitnessRule(members, self._replica.holders, self._settings)
        self._witness_requests = WitnessRequests(
            self._witnesses, self._replica, members, self._settings
        )
        self._rollouts = RolloutTracker(members, self._settings, session)
        self._events: list[DistributionEvent] = []
        self._retries = 0
        self._watchers: tuple[Host, ...] = ()
        self._watchers_digest: int | None = None
        self._current: Snapshot | None = None

    @property
    def current(self) -> Snapshot | None:
        """The active snapshot, None before the first activation."""
        return self._current

    @property
    def is_ready(self) -> bool:
        """Whether a snapshot is active, so that calls can be served."""
        return self._current is not None

    @property
    def held_version(self) -> int:
        """The version of the newest stored snapshot, active or not, `NO_VERSION` if none."""
        return self._replica.history.version

    @property
    def is_watcher(self) -> bool:
        """Whether this node should watch the platform for new versions."""
        if not (self._floor.is_known or self._floor.is_view_settled):
            return False
        if self._members.view_digest != self._watchers_digest:
            self._watchers_digest = self._members.view_digest
            self._watchers = choose_watchers(
                self._members.list_hosts(), per_region=self._settings.watchers_per_region
            )
        return any(host.name == self._members.me.name for host in self._watchers)

    def make_advert(self) -> bytes:
        """Return the value that heartbeats carry for this distributor."""
        return encode_advert(self._replica.make_advert())

    def take_events(self) -> list[DistributionEvent]:
        """Return and forget the events since the last call."""
        events = self._replica.take_events() + self._events
        self._events = []
        return events

    def handle_head(
        self, snapshot: Snapshot, now: float, *, asked_at: float | None = None
    ) -> list[OutgoingMessage]:
        """Handle the platform's head, which is `EMPTY_SNAPSHOT` if the platform has none yet.

        `asked_at` is the time at which the read was sent; it is omitted for the result of a
        watch. An invalid snapshot raises an error and has no effect.
        """
        outgoing = self._replica.store(snapshot, PLATFORM, now)
        self._check_conflict(snapshot)
        self._floor.record_platform_head(snapshot.version)
        if asked_at is not None:
            # A platform that has come back from an earlier copy has an older head than this node.
            outgoing += self._head_requests.respond(self.held_version, asked_at)
        return outgoing + self._activate_newest(now) + self._witness_requests.request_early()

    def handle(self, peer: str, message: PeerMessage, now: float) -> list[OutgoingMessage]:
        """Handle a message from a peer and return the messages to send."""
        handler = _HANDLERS.get(type(message))
        if handler is None:
            return []
        outgoing = handler(self, peer, message, now) + self._activate_newest(now)
        return outgoing + self._witness_requests.request_early()

    def handle_advert(self, peer: str, data: bytes, now: float) -> list[OutgoingMessage]:
        """Handle the advert in a peer's heartbeat."""
        return self._replica.handle_advert(peer, decode_advert(data), now) + self._activate_newest(
            now
        )

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Run the periodic work that is due and return the messages to send."""
        actions = self._floor.tick(now)
        self._events += actions.events
        outgoing = actions.outgoing
        if self._head_requests.is_read_due(now):
            self._events.append(HeadReadRequested())
        outgoing += self._fetch_newer(now)
        outgoing += self._activate_newest(now)
        outgoing += self._request_witnesses(now)
        version = None if self._current is None else self._current.version
        return outgoing + self._rollouts.tick(version, now)

    def start_wait(self, version: int, deadline: float, now: float) -> list[OutgoingMessage]:
        """Track until `deadline` on which hosts at least `version` is active."""
        return self._rollouts.start_wait(version, deadline, now)

    def read_rollout(self, version: int) -> Rollout:
        """Return the progress of a version for which `start_wait` was called."""
        return self._rollouts.read(version)

    def _check_conflict(self, snapshot: Snapshot) -> None:
        history = self._replica.history
        if snapshot.version == history.version and compute_digest(snapshot) != history.digest:
            self._replica.report_conflict(PLATFORM)

    def _activate_newest(self, now: float) -> list[OutgoingMessage]:
        """Activate the newest version that this node may activate."""
        current_version = self._read_current_version()
        if self.held_version <= current_version or not self._may_activate(now):
            return []
        snapshot = self._replica.history.find_at_most(self._find_witnessed_version(now))
        if snapshot is None or snapshot.version <= current_version:
            return []
        if self._floor.floor is None or snapshot.version < self._floor.floor:
            return []
        self._current = snapshot
        self._events.append(VersionActivated(snapshot))
        return self._rollouts.report(snapshot.version, now)

    def _read_current_version(self) -> int:
        return NO_VERSION if self._current is None else self._current.version

    def _may_activate(self, now: float) -> bool:
        is_alone = now - self._started_at >= self._settings.join_wait_s
        return self._floor.is_known and (self._members.has_joined or is_alone)

    def _find_witnessed_version(self, now: float) -> int:
        needs_distinct_zones = now - self._replica.held_since < self._settings.zone_wait_s
        return self._witnesses.find_witnessed_version(
            self.held_version, needs_distinct_zones=needs_distinct_zones
        )

    def _request_newer(self, peer: str, version: int, now: float) -> list[OutgoingMessage]:
        if version <= self.held_version:
            return []
        return self._replica.catch_up.request(peer, now)

    def _fetch_newer(self, now: float) -> list[OutgoingMessage]:
        """Request the newest version from a holder, another one each time."""
        holders = self._replica.holders
        if holders.highest_version <= self.held_version:
            return []
        newer = [
            name
            for name in holders.iterate_names()
            if holders.get_version(name, session=self._members.get_session(name))
            > self.held_version
        ]
        in_view = {host.name for host in self._members.list_hosts()} if newer else set()
        newer = [name for name in newer if name in in_view]
        if not newer:
            return []
        self._retries += 1
        return self._replica.catch_up.request(newer[self._retries % len(newer)], now)

    def _request_witnesses(self, now: float) -> list[OutgoingMessage]:
        if self.held_version <= self._read_current_version():
            return []
        return self._witness_requests.request_again(self._find_witnessed_version(now), now)

    def _handle_update(self, peer: str, message: Update, now: float) -> list[OutgoingMessage]:
        return self._replica.handle_update(peer, message, now)

    def _handle_part(self, peer: str, message: SnapshotPart, now: float) -> list[OutgoingMessage]:
        return self._replica.handle_part(peer, message, now)

    def _handle_held(self, peer: str, message: HeldVersion, now: float) -> list[OutgoingMessage]:
        return self._replica.handle_held(peer, message, now)

    def _handle_catch_up(
        self, peer: str, message: CatchUpRequest, now: float
    ) -> list[OutgoingMessage]:
        return self._replica.handle_catch_up(peer, message)

    def _handle_head_request(
        self, peer: str, message: HeadRequest, now: float
    ) -> list[OutgoingMessage]:
        self._head_requests.add(peer, message.nonce, now)
        return []

    def _handle_head_response(
        self, peer: str, message: HeadResponse, now: float
    ) -> list[OutgoingMessage]:
        self._floor.record_head(message.nonce, message.version)
        return self._request_newer(peer, message.version, now)

    def _handle_floor_query(
        self, peer: str, message: FloorQuery, now: float
    ) -> list[OutgoingMessage]:
        floor = self._floor.floor
        response = FloorResponse(
            nonce=message.nonce,
            version=max(self.held_version, NO_VERSION if floor is None else floor),
            is_recovering=floor is None or self.held_version < floor,
            view_digest=self._members.view_digest,
        )
        return [OutgoingMessage(peer, response)]

    def _handle_floor_response(
        self, peer: str, message: FloorResponse, now: float
    ) -> list[OutgoingMessage]:
        self._floor.record_response(peer, message)
        return self._request_newer(peer, message.version, now)

    def _handle_active_version(
        self, peer: str, message: ActiveVersion, now: float
    ) -> list[OutgoingMessage]:
        self._rollouts.record_report(peer, message)
        return []

    def _handle_rollout_query(
        self, peer: str, message: RolloutQuery, now: float
    ) -> list[OutgoingMessage]:
        return [OutgoingMessage(peer, self._rollouts.respond(message))]

    def _handle_rollout_response(
        self, peer: str, message: RolloutResponse, now: float
    ) -> list[OutgoingMessage]:
        self._rollouts.record_response(message)
        return []


_HANDLERS: dict[
    type[PeerMessage], Callable[[Distributor, str, Any, float], list[OutgoingMessage]]
] = {
    Update: Distributor._handle_update,
    SnapshotPart: Distributor._handle_part,
    HeldVersion: Distributor._handle_held,
    CatchUpRequest: Distributor._handle_catch_up,
    HeadRequest: Distributor._handle_head_request,
    HeadResponse: Distributor._handle_head_response,
    FloorQuery: Distributor._handle_floor_query,
    FloorResponse: Distributor._handle_floor_response,
    ActiveVersion: Distributor._handle_active_version,
    RolloutQuery: Distributor._handle_rollout_query,
    RolloutResponse: Distributor._handle_rollout_response,
}
