"""The active configuration: how a node gets it and sends it to its peers."""

import asyncio
import contextlib
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from corianderwall.mesh.directory import Directory, Peer
from corianderwall.mesh.freshness import DEFAULT_BOUND_S, ConfigurationFreshness
from corianderwall.mesh.leaders import find_zone_leaders, list_zone_followers
from corianderwall.mesh.messages import NodeRecord
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.routes import RouteTable
from corianderwall.mesh.source import HistoryLostError, Position, Source, SourceError
from corianderwall.mesh.tasks import Spawn
from corianderwall.mesh.teams import NO_TEAMS, TeamTable
from corianderwall.model.delta import Delta, apply_delta, compute_delta
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import EMPTY_SNAPSHOT, Snapshot
from corianderwall.node.logs import log_info, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_FORMER_SNAPSHOTS = 16
"""Number of former snapshots that are kept, so that a peer can be sent a delta."""
WATCH_FRACTION = 0.35
"""Timeout of one watch as a fraction of the bound within which a version has to be active. The
response to a watch that is sent during an outage is lost, so this also bounds the time for which a
leader does not notice that the platform responds again."""
CONFIRM_MARGIN_S = 0.2
"""Time after a watch and a pause by which a standby has been told of the response."""
STANDBY_DELAY_S = 0.3
"""Time that each standby gives the one before it; a read and its confirmation take less."""
DELIVERY_S = 0.25
"""Time for a read and the way to all nodes; many times the usual one."""
WATCH_PAUSE_S = 0.25
"""Pause between two watches, so that versions in quick succession cost one request."""
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0
"""First and longest pause after a failed request to the platform."""
LEADER_CHECK_INTERVAL_S = 0.5
MIN_CHECK_S = 0.02
"""Longest and shortest interval at which a node that does not watch checks whether it should."""
SOURCE_TEST_INTERVAL_S = 2.0
"""Interval of tests of a platform that did not respond; a test costs a tenth of a read."""
MAX_PUSH_RETRIES = 2
"""Number of retries of a lost push; after these, the next heartbeat shows the difference."""
JOIN_TIMEOUT_S = 1.5
"""Longest wait for the other nodes' records after a start, before this node may act as leader."""
PULL_DELAY_S = 0.25
"""Time that a node with a configuration gives the leader of its zone to send a newer one."""
NO_CONFIGURATION_TIMEOUT_S = 6.0
"""Time without any configuration after which a node reads the platform without being leader."""

CONFIG_PUSH_KIND = "config"
CONFIG_PULL_KIND = "config-pull"
CONFIG_CONFIRM_KIND = "config-confirmed"


@dataclass(frozen=True, slots=True)
class FollowTimes:
    """The time limits of following the configuration, for a bound of `apply_s`.

    A leader tells its standbys of each response of the platform. A standby that is not told for
    `silence_s` reads the platform itself, whether the leader has ended, is frozen or is cut off.
    """

    watch_s: float
    silence_s: float

    @classmethod
    def plan(cls, apply_s: float) -> "FollowTimes":
        """Return the limits by which a version is active within `apply_s`."""
        watch_s = WATCH_FRACTION * apply_s
        return cls(watch_s, watch_s + WATCH_PAUSE_S + CONFIRM_MARGIN_S)

    def find_turn(self, heard_at: float, rank: int) -> float:
        """Return when the standby of `rank`, 1 for the first one, reads the platform."""
        return heard_at + self.silence_s + (rank - 1) * STANDBY_DELAY_S

    def compute_longest_s(self, rank: int) -> float:
        """Return the longest time until a version is active if the standby of `rank` reads it."""
        return self.find_turn(0.0, rank) + DELIVERY_S


class ConfigConfirmation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tells a standby that the platform has just responded, and the version that it has."""

    sender: NodeRecord
    version: int


class ConfigPush(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A configuration for a peer; `base_version` 0 means a full snapshot.

    `body` is the deflated JSON of a `Delta` or a `Snapshot`.
    """

    sender: NodeRecord
    base_version: int
    version: int
    body: bytes


_confirmation_decoder = msgspec.msgpack.Decoder(ConfigConfirmation)


class ConfigurationHolder:
    """Holds the active snapshot, which is replaced as a whole and only by a newer one."""

    def __init__(self, apply_s: float = DEFAULT_BOUND_S) -> None:
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.freshness = ConfigurationFreshness(apply_s)
        self.table: RouteTable | None = None
        self.teams: TeamTable = NO_TEAMS
        self.former_snapshots: dict[int, Snapshot] = {}
        self.listeners: list[Callable[[Snapshot], None]] = []

    def apply(self, snapshot: Snapshot, origin: str) -> bool:
        """Activate `snapshot` if it is newer than the active one; return whether it was."""
        former = self.snapshot
        if self.table is not None and snapshot.version <= former.version:
            return False
        table = RouteTable.compile(snapshot)
        if self.table is not None:
            self.former_snapshots[former.version] = former
            while len(self.former_snapshots) > MAX_FORMER_SNAPSHOTS:
                del self.former_snapshots[min(self.former_snapshots)]
        self.snapshot, self.table = snapshot, table
        self.teams = TeamTable.compile(snapshot, self.teams)
        log_info(
            "configuration activated",
            version_former=former.version,
            config_version=snapshot.version,
            origin=origin,
            routes=len(snapshot.routes),
        )
        for listener in self.listeners:
            listener(snapshot)
        return True


class ConfigurationSync:
    """Watches the platform while this node leads its zone, and sends changes to peers.

    `apply_s` is the bound within which a version has to be active everywhere.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        source: Source,
        directory: Directory,
        link: PeerLink,
        joined: asyncio.Event,
        spawn: Spawn,
        apply_s: float = DEFAULT_BOUND_S,
    ) -> None:
        self.takeover_count = 0
        self.source_ok = True
        self.source_listeners: list[Callable[[], None]] = []
        self.era_listeners: list[Callable[[], None]] = []
        self._era: int | None = None
        self._next_test_at = 0.0
        self._joined = joined
        self._holder = holder
        self._source = source
        self._directory = directory
        self._link = link
        self._spawn = spawn
        self._pushing: set[str] = set()
        self._fetching = False
        self._times = FollowTimes.plan(apply_s)
        self._heard_at = asyncio.get_running_loop().time()
        # 0 for the leader of the zone, more for its standbys, None for the other nodes.
        self._rank: int | None = None
        # Set while this node reads the platform in place of the leader of its zone.
        self._stands_in = False

    @property
    def follows_source(self) -> bool:
        """Return whether this node watches the platform, for itself and its zone."""
        return self._stands_in or self.is_zone_leader

    @property
    def is_zone_leader(self) -> bool:
        """Return whether this node is the leader of its zone, which watches the platform."""
        leaders = find_zone_leaders(self._directory, self.source_ok)
        return leaders.get(self._directory.own.zone) == self._directory.own.name

    async def run(self) -> None:
        """Watch the platform while this node leads its zone; others get its pushes."""
        loop = asyncio.get_running_loop()
        bypass_leader_at = loop.time() + NO_CONFIGURATION_TIMEOUT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()
        self._heard_at = loop.time()
        position: Position | None = None
        pause_s = RETRY_MIN_S
        while True:
            bypass_leader = self._holder.table is None and loop.time() > bypass_leader_at
            if not bypass_leader and not self._must_follow():
                position = None
                await asyncio.sleep(self._choose_check_s())
                if not self.source_ok and loop.time() >= self._next_test_at:
                    await self._test_source()
                continue
            started = loop.time()
            try:
                position = await self._read_changes(position)
                pause_s = RETRY_MIN_S
                self._set_source_ok(True, "")
                await asyncio.sleep(WATCH_PAUSE_S)
            except HistoryLostError:
                log_info("the history of the configuration has expired; reading all of it")
                position = None
                await asyncio.sleep(RETRY_MIN_S)
            except SourceError as error:
                log_warning(
                    "reading the configuration from the platform failed",
                    reason=error.reason,
                    revision=position.revision if position is not None else None,
                    took_s=round(loop.time() - started, 3),
                )
                # A watch could be lost again; a read shows sooner that the platform responds.
                position = None
                # One failure may be a broken connection; a second one shows a platform failure.
                if pause_s > RETRY_MIN_S:
                    self._set_source_ok(False, error.reason)
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)

    def _must_follow(self) -> bool:
        """Return whether this node watches now: as leader, or as the leader may not do so."""
        now = asyncio.get_running_loop().time()
        followers = list_zone_followers(self._directory, self.source_ok)
        own = self._directory.own.name
        self._rank = followers.index(own) if own in followers else None
        stands_in = bool(self._rank) and self._find_turn() <= now
        if stands_in and not self._stands_in:
            self.takeover_count += 1
            log_info(
                "reading the platform in place of the leader of the zone",
                leader=followers[0],
                rank=self._rank,
                silent_s=round(now - self._heard_at, 3),
            )
        self._stands_in = stands_in
        return self._rank == 0 or stands_in

    def _find_turn(self) -> float:
        return self._times.find_turn(self._heard_at, self._rank or 1)

    def _choose_check_s(self) -> float:
        """Return the time until this node may have to watch, at most `LEADER_CHECK_INTERVAL_S`."""
        if self._rank is None:
            return LEADER_CHECK_INTERVAL_S
        left_s = self._find_turn() - asyncio.get_running_loop().time()
        return max(MIN_CHECK_S, min(LEADER_CHECK_INTERVAL_S, left_s))

    def handle_confirmation(self, body: bytes) -> bytes | None:
        """Handle a message of a node that watches for this zone."""
        confirmation = _confirmation_decoder.decode(body)
        self._heard_at = asyncio.get_running_loop().time()
        peer = self._directory.peers.get(confirmation.sender.name)
        if peer is not None:
            self.handle_version(peer, confirmation.version)
        return b"ok"

    def _confirm(self) -> None:
        """Tell the other followers of the zone that the platform has just responded."""
        confirmation = ConfigConfirmation(
            sender=self._directory.own, version=self._holder.snapshot.version
        )
        body = msgspec.msgpack.encode(confirmation)
        for name in list_zone_followers(self._directory, self.source_ok):
            peer = self._directory.peers.get(name)
            if peer is not None:
                self._spawn(self._send_confirmation(peer, body))

    async def _send_confirmation(self, peer: Peer, body: bytes) -> None:
        await self._link.post(peer.record, CONFIG_CONFIRM_KIND, body)

    def handle_push(self, body: bytes, *, forward: bool = True) -> bytes | None:
        """Apply a configuration from a peer and forward it.

        Return the active version, or None to request a full snapshot.
        """
        push = msgspec.msgpack.decode(body, type=ConfigPush)
        holder = self._holder
        if push.version <= holder.snapshot.version:
            return str(holder.snapshot.version).encode()
        raw = zlib.decompress(push.body)
        if push.base_version:
            if push.base_version != holder.snapshot.version:
                return None
            delta = msgspec.json.decode(raw, type=Delta)
            try:
                snapshot = apply_delta(holder.snapshot, delta)
            except CorianderwallError as error:
                log_warning(
                    "a delta does not match the active configuration",
                    error=str(error),
                    sender=push.sender.name,
                )
                return None
        else:
            snapshot = msgspec.json.decode(raw, type=Snapshot)
        if holder.apply(snapshot, push.sender.name) and forward:
            self._forward(push.sender.zone)
        return str(holder.snapshot.version).encode()

    def handle_version(self, peer: Peer, version: int) -> None:
        """Handle the version that `peer` reports, and fetch it from there if no leader sends it.

        Only one fetch runs at a time. After a power loss of all hosts, dozens of peers report a
        newer version at once, and on a slow link each copy takes a large part of a second.
        """
        if version > self._holder.snapshot.version and not self._fetching:
            self._fetching = True
            self._spawn(self._fetch_from(peer, version))

    def handle_pull(self, body: bytes) -> bytes | None:
        """Return a newer configuration than the peer's version, or None if there is none."""
        known_version = int(body)
        if known_version >= self._holder.snapshot.version:
            return None
        return msgspec.msgpack.encode(self._make_push(known_version))

    async def _fetch_from(self, peer: Peer, version: int) -> None:
        try:
            if self._holder.table is not None:
                await asyncio.sleep(PULL_DELAY_S)
            known_version = self._holder.snapshot.version
            if version <= known_version:
                return
            reply = await self._link.post(
                peer.record, CONFIG_PULL_KIND, str(known_version).encode()
            )
            # If the leader of the zone did not send a change, the whole zone may lack it. A node
            # that has just started is usually the only one that is behind.
            if reply and self.handle_push(reply, forward=known_version > 0) is None:
                full = await self._link.post(peer.record, CONFIG_PULL_KIND, b"0")
                if full:
                    self.handle_push(full)
        finally:
            self._fetching = False

    def start_push(self, peer: Peer) -> None:
        """Start to send this node's version to `peer`, unless a transfer is already running."""
        if peer.record.name not in self._pushing and self._holder.table is not None:
            self._spawn(self._push(peer))

    async def _test_source(self) -> None:
        """Test with a cheap request whether the platform responds to a node that does not watch."""
        self._next_test_at = asyncio.get_running_loop().time() + SOURCE_TEST_INTERVAL_S
        try:
            await self._source.list_nodes(stale=True)
        except SourceError:
            return
        self._set_source_ok(True, "")

    async def _read_changes(self, position: Position | None) -> Position:
        loop = asyncio.get_running_loop()
        freshness = self._holder.freshness
        # The store has responded at this instant or later.
        confirmed_at = loop.time()
        if position is None:
            reading = await self._source.read_config()
        else:
            wait_s = self._times.watch_s
            if self._holder.teams.is_active:
                wait_s = freshness.limit_watch(wait_s, confirmed_at)
            reading = await self._source.watch_config(position, wait_s)
            if not reading.items and loop.time() - confirmed_at >= wait_s:
                confirmed_at += wait_s
        for snapshot in reading.items:
            if self._holder.apply(snapshot, "platform"):
                self._forward(None)
            elif snapshot.version < self._holder.snapshot.version:
                log_warning(
                    "the platform has an older configuration than the active one",
                    config_version=self._holder.snapshot.version,
                    version_stored=snapshot.version,
                    era=reading.position.era,
                )
        if self._era is not None and reading.position.era > self._era:
            freshness.distrust_store(loop.time())
            for listener in self.era_listeners:
                listener()
        self._era = reading.position.era
        freshness.confirm(confirmed_at, loop.time())
        self._confirm()
        return reading.position

    def _forward(self, from_zone: str | None) -> None:
        """Forward the configuration to the peers in this zone.

        If it came from the platform (`from_zone` is None), send it to the other leaders too.
        """
        own = self._directory.own
        if from_zone == own.zone:
            return
        leaders = set(find_zone_leaders(self._directory, self.source_ok).values())
        for peer in list(self._directory.list_live()):
            same_zone = peer.record.zone == own.zone
            if same_zone or (from_zone is None and peer.record.name in leaders):
                self.start_push(peer)

    async def _push(self, peer: Peer) -> None:
        self._pushing.add(peer.record.name)
        try:
            full = False
            tries = MAX_PUSH_RETRIES
            while peer.config_version < self._holder.snapshot.version:
                push = self._make_push(0 if full else peer.config_version)
                reply = await self._link.post(
                    peer.record, CONFIG_PUSH_KIND, msgspec.msgpack.encode(push)
                )
                if reply:
                    peer.config_version = int(reply)
                    full = False
                elif not peer.failures and not full and push.base_version:
                    full = True
                elif tries:
                    tries -= 1
                    await asyncio.sleep(RETRY_MIN_S)
                else:
                    return
        finally:
            self._pushing.discard(peer.record.name)

    def _make_push(self, known_version: int) -> ConfigPush:
        snapshot = self._holder.snapshot
        base = self._holder.former_snapshots.get(known_version)
        message = compute_delta(base, snapshot) if base is not None else snapshot
        body = zlib.compress(msgspec.json.encode(message))
        return ConfigPush(
            sender=self._directory.own,
            base_version=known_version if base is not None else 0,
            version=snapshot.version,
            body=body,
        )

    def _set_source_ok(self, ok: bool, reason: str) -> None:
        if ok is not self.source_ok:
            self.source_ok = ok
            for listener in self.source_listeners:
                listener()
            if ok:
                log_info("the platform responds again")
            else:
                log_warning("the platform does not respond", reason=reason)
