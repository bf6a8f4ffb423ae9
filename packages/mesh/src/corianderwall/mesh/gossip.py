"""Joins the fleet, sends records to peers, and exchanges heartbeats with one peer at a time."""

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import msgspec

from corianderwall.mesh.configuration import ConfigurationHolder, ConfigurationSync
from corianderwall.mesh.directory import Directory, Peer
from corianderwall.mesh.evacuationsync import EvacuationSync
from corianderwall.mesh.gate import EndpointGate
from corianderwall.mesh.leaders import list_readers
from corianderwall.mesh.leavearchive import LeaveArchive
from corianderwall.mesh.messages import (
    EndpointRecord,
    Heartbeat,
    Leave,
    LoadedLeaves,
    NodeRecord,
    Tables,
)
from corianderwall.mesh.moves import MoveTracker
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.source import Source, SourceError
from corianderwall.mesh.suspectarchive import SuspectArchive
from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_info, log_warning
from corianderwall.traffic.suspects import SuspectRecord, Suspects

HEARTBEAT_INTERVAL_S = 1.0
"""Interval of heartbeats; half of the shortest time within which a change must be known."""
RETRY_CHECK_INTERVAL_S = 0.25
"""Interval at which unresponsive peers are checked."""
CONFIRMING_PEERS = 2
"""Peers that must know of a leave before it is acknowledged; covers a failure of two hosts."""
CONFIRM_TIMEOUT_S = 0.5
"""Longest wait for these peers; the endpoint expects a response within a second."""
CONFIRM_POLL_INTERVAL_S = 0.005
SYNC_TIMEOUT_S = 0.5
"""Longest wait after a start for the records of peers, once the platform has told the leaves, or
for the platform, once a peer has sent its records."""
LEAVES_TIMEOUT_S = 6.0
"""Longest wait, once there is a configuration, before the endpoint gets calls if neither is heard.
No call can be served without a configuration, and it may come shortly before the leaves; calls must
be served 15 s after a start or the return of the platform."""
LEAVE_READERS = 3
"""Nodes that read the leaves for all others when the fleet starts; two of them may be away."""
PEERS_TIMEOUT_S = 0.6
"""Longest wait after a start for a peer to be listed; a new fleet lists again after 0.5 s."""
READERS_TIMEOUT_S = 0.25
READERS_INTERVAL_S = 0.03
"""Longest wait for the readers after that, and the interval at which they are asked."""
ASKED_PEERS = 2
"""Peers that are asked at once to write a leave; the platform may turn one of them away as well."""
PULL_INTERVAL_S = 0.1
"""Interval at which records are pulled; several response times of a peer in another zone."""
MAX_PULL_ROUNDS = 20
"""Rounds of pulls after a start; limited since no peer has records if all nodes start together."""
PULLS_PER_ROUND = 2
"""Peers pulled from in one round; with a third of them gone, four rounds fail once in 1000."""
MIN_UNSYNCED_PEERS = 8
"""Peers without records, with none that has them, that show that all nodes have started together.
If six of ten nodes have just started, eight of these in a row are one case in sixty."""
JOIN_HEARTBEATS = 2
"""Peers that a joining node asks for all records and the configuration."""
CROSS_ZONE_FRACTION = 0.34
"""Fraction of heartbeats to other zones, where traffic costs money; changes are sent at once."""
JOIN_RETRY_MIN_S = 0.5
JOIN_RETRY_MAX_S = 3.0
"""First and longest pause before a failed announcement to the platform is repeated."""

HEAR_TIMEOUT_S = 0.2
HEAR_POLL_INTERVAL_S = 0.01
"""Longest wait for a response of a listed node, and the interval of checks meanwhile."""
MAX_RESTORE_TRIES = 20
"""Tries to restore records after the platform has come back from an earlier copy."""
MAX_STALE_LISTS = 3
"""Number of cheap list requests, which may return old data, before a consistent one is made.
Other nodes may have started only just before."""

RECENT_CHANGE_AGE_S = 10.0
"""Age up to which changes are sent to a peer with another digest; a few heartbeat rounds."""
FULL_TABLES_EVERY = 4
"""Every how many differences all records are sent, in case the recent ones are not enough."""

HEARTBEAT_KIND = "beat"
TABLES_KIND = "tables"
TABLES_PULL_KIND = "tables-pull"
LEAVE_KIND = "leave"
LOADED_LEAVES_KIND = "loaded-leaves"

_heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)
_tables_decoder = msgspec.msgpack.Decoder(Tables)
_leave_decoder = msgspec.msgpack.Decoder(Leave)
_loaded_decoder = msgspec.msgpack.Decoder(LoadedLeaves)


class Gossip:
    """Keeps the directory current; the next comparison of digests makes up for a lost message."""

    def __init__(
        self,
        directory: Directory,
        link: PeerLink,
        source: Source,
        holder: ConfigurationHolder,
        sync: ConfigurationSync,
        joined: asyncio.Event,
        moves: MoveTracker,
        gate: EndpointGate,
        suspects: Suspects,
        archive: SuspectArchive,
        leaves: LeaveArchive,
        make_heartbeat: Callable[[], Heartbeat],
        spawn: Spawn,
        random: Random,
        evacuations: EvacuationSync,
    ) -> None:
        self._evacuations = evacuations
        self._directory = directory
        self._link = link
        self._source = source
        self._holder = holder
        self._sync = sync
        self._joined = joined
        self._moves = moves
        self._gate = gate
        self._suspects = suspects
        self._archive = archive
        self._leaves = leaves
        self._make_heartbeat = make_heartbeat
        self._spawn = spawn
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._compared_at: dict[str, float] = {}
        self._difference_count = 0
        self._unshared: dict[str, SuspectRecord] = {}
        self._confirmation_count = 0
        self._pulled = False
        self._pulling_since = self._loop.time()
        self._configured_at: float | None = None
        self._synced_peers: dict[str, bool] = {}

    async def join(self) -> None:
        """Register this node at the platform and contact the nodes that are registered there.

        A node that restarts at the same address finds its record there and doesn't write it: a
        list costs far less than a write, and its peers get the new incarnation from the node.
        """
        pause_s = JOIN_RETRY_MIN_S
        written = False
        tries = 0
        while True:
            try:
                tries += 1
                records = await self._source.list_nodes(stale=tries <= MAX_STALE_LISTS)
                if not written and not self._is_listed(records):
                    await self._source.announce_node(self._directory.own)
                    records = await self._source.list_nodes(stale=tries <= MAX_STALE_LISTS)
                written = True
            except SourceError as error:
                log_warning("joining the fleet through the platform failed", reason=error.reason)
                await asyncio.sleep(pause_s * (0.5 + self._random.random()))
                pause_s = min(JOIN_RETRY_MAX_S, pause_s * 2)
                continue
            self._contact_peers(records)
            if tries > MAX_STALE_LISTS or await self._hear_peer():
                break
            await asyncio.sleep(JOIN_RETRY_MIN_S)
        log_info("joined the fleet through the platform", nodes=len(records), tries=tries)
        self._joined.set()

    async def _hear_peer(self) -> bool:
        """Return whether a listed node responds; entries of other writers never do."""
        end = self._loop.time() + HEAR_TIMEOUT_S
        while self._directory.peers:
            if any(peer.record.incarnation for peer in self._directory.peers.values()):
                return True
            if self._loop.time() >= end:
                break
            await asyncio.sleep(HEAR_POLL_INTERVAL_S)
        return False

    async def restore_records(self) -> None:
        """Write the records of this zone's nodes again if the platform has lost them.

        A platform that comes back from an earlier copy has lost the nodes that joined since, and
        nodes that start later would not find them.
        """
        for _ in range(MAX_RESTORE_TRIES):
            try:
                listed = {record.name for record in await self._source.list_nodes(stale=False)}
                zone = self._directory.own.zone
                known = [self._directory.own, *(p.record for p in self._directory.list_live())]
                for record in known:
                    if record.zone == zone and record.name not in listed:
                        await self._source.announce_node(record)
                        log_info("wrote a lost node record again", lost=record.name)
                return
            except SourceError as error:
                log_warning("restoring node records failed", reason=error.reason)
                await asyncio.sleep(JOIN_RETRY_MIN_S)

    def _is_listed(self, records: tuple[NodeRecord, ...]) -> bool:
        own = self._directory.own
        address = (own.name, own.zone, own.host, own.port)
        return any((each.name, each.zone, each.host, each.port) == address for each in records)

    def _contact_peers(self, records: tuple[NodeRecord, ...]) -> None:
        now = self._loop.time()
        for record in records:
            if record.name != self._directory.own.name:
                self._directory.merge_node(record, now)
        # The peers know each other from the platform, but not this node yet.
        self.broadcast_tables(Tables(sender=self._directory.own))
        # All peers must get this node's record, but a few of them are enough to get theirs.
        peers = list(self._directory.peers.values())
        for peer in self._random.sample(peers, min(JOIN_HEARTBEATS, len(peers))):
            self._spawn(self.send_heartbeat(peer))

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        next_heartbeat = 0.0
        while True:
            await asyncio.sleep(RETRY_CHECK_INTERVAL_S)
            now = self._loop.time()
            self._link.tick()
            self._send_unshared()
            for peer in self._directory.list_due_retries(now):
                # Don't send a second heartbeat to this peer before the first one has a result.
                peer.retry_at = now + HEARTBEAT_INTERVAL_S
                self._spawn(self.send_heartbeat(peer))
            if now < next_heartbeat:
                continue
            next_heartbeat = now + HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._random.random())
            self._directory.remove_expired(now)
            self._suspects.remove_expired(now)
            self._link.close_unused()
            partner = self._choose_peer()
            if partner is not None:
                self._spawn(self.send_heartbeat(partner))

    def _choose_peer(self) -> Peer | None:
        zone = self._directory.own.zone
        live = list(self._directory.list_live())
        near = [peer for peer in live if peer.record.zone == zone]
        far = [peer for peer in live if peer.record.zone != zone]
        chosen = far if far and self._random.random() < CROSS_ZONE_FRACTION else near or far
        return self._random.choice(chosen) if chosen else None

    def announce_endpoint(self, record: EndpointRecord) -> None:
        """Send a changed record of this node's endpoint to all peers."""
        self._directory.merge_endpoint(record, self._loop.time())
        self._confirmation_count = 0
        self.broadcast_tables(Tables(sender=self._directory.own, endpoints=(record,)))

    def share_suspects(self, records: tuple[SuspectRecord, ...]) -> None:
        """Send changed records of suspects to all peers, at once if they name a crash.

        After a crash most of its suspects are answered within a moment; these records can wait
        for each other.
        """
        self._unshared.update((record.fingerprint, record) for record in records)
        if any(record.crashes for record in records):
            self._send_unshared()

    def _send_unshared(self) -> None:
        records, self._unshared = tuple(self._unshared.values()), {}
        if records:
            self.broadcast_tables(Tables(sender=self._directory.own, suspects=records))

    async def confirm_leave(self, leave: Leave) -> bool:
        """Return whether `leave` outlives all processes, and wait until peers have the last change.

        Waits for the peers until `CONFIRM_TIMEOUT_S` at the latest.
        """
        saved, _ = await asyncio.gather(self._leaves.save(leave), self._wait_for_peers())
        return saved

    async def ask_to_save(self, leave: Leave) -> bool:
        """Ask peers that reach the platform to write `leave`; return whether one of them has."""
        peers = [peer for peer in self._directory.list_live() if peer.source_ok]
        asked = self._random.sample(peers, min(ASKED_PEERS, len(peers)))
        body = msgspec.msgpack.encode(leave)
        posts = (self._link.post(peer.record, LEAVE_KIND, body) for peer in asked)
        return any(await asyncio.gather(*posts))

    def handle_leave(self, body: bytes) -> bytes | None:
        """Write a leave for a peer; return None until it is written."""
        return b"ok" if self._leaves.accept(_leave_decoder.decode(body)) else None

    async def _wait_for_peers(self) -> None:
        wanted = min(CONFIRMING_PEERS, sum(1 for _ in self._directory.list_live()))
        end = self._loop.time() + CONFIRM_TIMEOUT_S
        while self._confirmation_count < wanted and self._loop.time() < end:
            await asyncio.sleep(CONFIRM_POLL_INTERVAL_S)

    async def pull_records(self) -> None:
        """Pull records from peers until one has sent them, and then let the endpoint get calls."""
        self._pulling_since = self._loop.time()
        tries = 0
        while not self._pulled and (tries < MAX_PULL_ROUNDS or not self._gate.synced):
            peers = self._list_pull_candidates()
            for peer in self._random.sample(peers, min(PULLS_PER_ROUND, len(peers))):
                self._spawn(self._pull(peer))
            tries += 1
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if self._gate.synced else PULL_INTERVAL_S)
            self._decide_sync()
        while not self._gate.synced:
            await asyncio.sleep(PULL_INTERVAL_S)
            self._decide_sync()

    async def load_leaves(self) -> None:
        """Load the leaves of earlier processes; few nodes read them if all start together."""
        peers_until = self._loop.time() + PEERS_TIMEOUT_S
        while not self._directory.peers and self._loop.time() < peers_until:
            await asyncio.sleep(READERS_INTERVAL_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READERS_TIMEOUT_S):
                await self._ask_readers()
        await self._leaves.load()

    async def _ask_readers(self) -> None:
        """Ask the readers for their leaves until one has them, or none has them from this start."""
        own = self._directory.own.name
        body = own.encode()
        while self._directory.peers and not self._leaves.loaded:
            readers = list_readers(self._directory, LEAVE_READERS)
            if own in readers:
                return
            peers = [self._directory.peers[name] for name in readers]
            asked_at = self._loop.time()
            posts = [self._ask_reader(peer, asked_at, body) for peer in peers]
            for post in asyncio.as_completed(posts):
                if await post is not None:
                    return
            await asyncio.sleep(READERS_INTERVAL_S)

    async def _ask_reader(self, peer: Peer, asked_at: float, body: bytes) -> bool | None:
        """Return whether the leaves of a reader were taken over, None if it has none yet."""
        reply = await self._link.post(peer.record, LOADED_LEAVES_KIND, body)
        if not reply:
            return None
        loaded = _loaded_decoder.decode(reply)
        return self._leaves.accept_loaded(loaded, asked_at, peer.record.name)

    def handle_loaded_leaves(self, body: bytes) -> bytes | None:
        """Return the leaves of a peer that this node has read, or None if it has not."""
        loaded = self._leaves.find_loaded(body.decode())
        return None if loaded is None else msgspec.msgpack.encode(loaded)

    def restore_leaves(self, leaves: tuple[Leave, ...]) -> None:
        """Honour the leaves of this host's endpoints that earlier processes have acknowledged."""
        for leave in leaves:
            if leave.node == self._directory.own.name:
                self._gate.endpoint.restore_leave(leave)
        self._decide_sync()

    def _decide_sync(self) -> None:
        """Let the endpoint get calls unless a leave that was acknowledged may be missing here.

        Either the platform or a peer that has records tells of it. If neither does, the endpoint
        gets calls `LEAVES_TIMEOUT_S` after there is a configuration.
        """
        if self._gate.synced:
            return
        now = self._loop.time()
        waited_s = now - self._pulling_since
        if self._configured_at is None and self._holder.table is not None:
            self._configured_at = now
        if not self._leaves.loaded and self._pulled:
            is_due = waited_s >= SYNC_TIMEOUT_S
        elif not self._leaves.loaded:
            since = self._configured_at
            is_due = since is not None and now - since >= LEAVES_TIMEOUT_S
        else:
            is_due = self._pulled or waited_s >= SYNC_TIMEOUT_S or self._started_together()
        if not is_due:
            return
        self._gate.synced = True
        if self._pulled and self._leaves.loaded:
            return
        log_info(
            "using the endpoint without the records of peers or the platform",
            peers=len(self._directory.peers),
            answered=len(self._synced_peers),
            pulled=self._pulled,
            leaves_loaded=self._leaves.loaded,
        )
        if not self._pulled:
            # Of nodes that have started together, the first by name deletes what has expired.
            is_first = all(name > self._directory.own.name for name in self._directory.peers)
            self._spawn(self._archive.load(deletes_expired=is_first))

    def _list_pull_candidates(self) -> list[Peer]:
        """Return the peers that report that they have records, or all peers if none does."""
        peers = self._directory.peers
        synced = [peers[name] for name, synced in self._synced_peers.items() if synced]
        return synced or list(peers.values())

    def _started_together(self) -> bool:
        responses = self._synced_peers.values()
        wanted = min(MIN_UNSYNCED_PEERS, len(self._directory.peers))
        return 0 < wanted <= len(responses) and not any(responses)

    def broadcast_tables(self, tables: Tables) -> None:
        """Send `tables` to all peers."""
        body = msgspec.msgpack.encode(tables)
        for peer in self._directory.peers.values():
            self._spawn(self._send_tables(peer.record, body))

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all live peers, since its content decides which nodes are leaders."""
        for peer in list(self._directory.list_live()):
            self._spawn(self.send_heartbeat(peer))

    def handle_heartbeat(self, body: bytes) -> bytes | None:
        """Handle a peer's heartbeat and return one of this node."""
        heartbeat = _heartbeat_decoder.decode(body)
        self._process_heartbeat(heartbeat)
        self._send_differences(heartbeat)
        return msgspec.msgpack.encode(self._make_heartbeat())

    def handle_tables(self, body: bytes) -> bytes | None:
        """Merge a peer's tables and return a heartbeat."""
        self._merge(_tables_decoder.decode(body))
        return msgspec.msgpack.encode(self._make_heartbeat())

    def handle_pull(self, body: bytes) -> bytes | None:
        """Return all records for a joining node, or None if this node lacks them itself."""
        if not self._gate.synced:
            return None
        now = self._loop.time()
        tables = msgspec.structs.replace(
            self._directory.make_tables(),
            moves=self._moves.list_views(now),
            suspects=self._suspects.list_records(now),
            evacuations=self._evacuations.make_state(),
            leaves=self._leaves.list_leaves(),
        )
        return msgspec.msgpack.encode(tables)

    def _merge(self, tables: Tables) -> None:
        now = self._loop.time()
        self._evacuations.merge(tables.evacuations, tables.sender.name)
        for view in tables.moves:
            self._moves.merge_view(view, now)
        self._directory.merge(tables, now)
        self._suspects.merge(tables.suspects, now)
        for record in tables.endpoints:
            if record.node == self._directory.own.name:
                self._gate.endpoint.merge_record(record)
        self._leaves.merge(tables.leaves)
        self.restore_leaves(tables.leaves)

    async def _pull(self, peer: Peer) -> None:
        reply = await self._link.post(peer.record, TABLES_PULL_KIND, b"")
        if reply:
            self._pulled = True
            self._merge(_tables_decoder.decode(reply))

    async def _send_tables(self, node: NodeRecord, body: bytes) -> None:
        asked_at = self._loop.time()
        reply = await self._link.post(node, TABLES_KIND, body)
        if reply:
            self._confirmation_count += 1
            heartbeat = _heartbeat_decoder.decode(reply)
            self._check_name(node, heartbeat)
            self._merge_confirmation(heartbeat, asked_at)
            self._process_heartbeat(heartbeat)

    async def send_heartbeat(self, peer: Peer) -> None:
        """Exchange heartbeats with `peer`."""
        asked_at, node = self._loop.time(), peer.record
        reply = await self._link.post(
            node, HEARTBEAT_KIND, msgspec.msgpack.encode(self._make_heartbeat())
        )
        if reply:
            heartbeat = _heartbeat_decoder.decode(reply)
            self._check_name(node, heartbeat)
            self._merge_confirmation(heartbeat, asked_at)
            self._process_heartbeat(heartbeat)
            self._send_differences(heartbeat)

    def _check_name(self, node: NodeRecord, heartbeat: Heartbeat) -> None:
        """Record that `node` has left if another one has responded at its address."""
        if heartbeat.node.name != node.name and self._directory.retire_node(node):
            log_info(
                "another node uses the address of this node",
                former=node.name,
                successor=heartbeat.node.name,
                address=f"{node.host}:{node.port}",
            )

    def _merge_confirmation(self, heartbeat: Heartbeat, asked_at: float) -> None:
        """Take over a confirmation in a reply; other heartbeats may have been read late."""
        if heartbeat.config_version <= self._holder.snapshot.version:
            self._holder.freshness.merge(heartbeat.confirmed_age_ms, asked_at)

    def _process_heartbeat(self, heartbeat: Heartbeat) -> None:
        now = self._loop.time()
        self._directory.apply_heartbeat(heartbeat, now)
        self._evacuations.merge(heartbeat.evacuations, heartbeat.node.name)
        if not self._pulled and heartbeat.node.name in self._directory.peers:
            self._synced_peers[heartbeat.node.name] = heartbeat.synced
        for view in heartbeat.moves:
            self._moves.merge_view(view, now)
        peer = self._directory.peers.get(heartbeat.node.name)
        if peer is not None:
            self._sync.handle_version(peer, heartbeat.config_version)

    def _send_differences(self, heartbeat: Heartbeat) -> None:
        """Send records to a peer with another digest; the peer does the same in return."""
        peer = self._directory.peers.get(heartbeat.node.name)
        if peer is None:
            return
        endpoints_differ = heartbeat.digest != self._directory.compute_digest()
        suspects_differ = heartbeat.suspects_digest != self._suspects.compute_digest()
        now = self._loop.time()
        is_due = now - self._compared_at.get(heartbeat.node.name, 0.0) > HEARTBEAT_INTERVAL_S / 2
        if not is_due or not (endpoints_differ or suspects_differ):
            return
        self._compared_at[heartbeat.node.name] = now
        self._difference_count += 1
        tables = Tables(sender=self._directory.own)
        if endpoints_differ:
            tables = self._make_differences(now)
        if suspects_differ:
            tables = msgspec.structs.replace(tables, suspects=self._list_suspects(now))
        self._spawn(self._send_tables(peer.record, msgspec.msgpack.encode(tables)))

    def _make_differences(self, now: float) -> Tables:
        """Return the records of endpoints for a peer that has other ones.

        Usually only changes that are still in transit differ, so recent records are sent: all
        records together are many kilobytes.
        """
        tables = self._directory.make_recent_tables(now - RECENT_CHANGE_AGE_S)
        if not tables.endpoints or self._is_full_due():
            tables = self._directory.make_tables()
        return tables

    def _list_suspects(self, now: float) -> tuple[SuspectRecord, ...]:
        """Return the records of suspects for a peer that has other ones, usually recent ones."""
        recent = self._suspects.list_records(now, since=now - RECENT_CHANGE_AGE_S)
        return self._suspects.list_records(now) if self._is_full_due() or not recent else recent

    def _is_full_due(self) -> bool:
        return self._difference_count % FULL_TABLES_EVERY == 0
