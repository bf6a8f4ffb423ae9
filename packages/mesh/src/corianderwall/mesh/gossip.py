"""Joins the fleet, spreads records, and compares tables with one peer at a time."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from corianderwall.mesh.configuration import ConfigurationHolder, ConfigurationSync
from corianderwall.mesh.directory import Directory, Peer
from corianderwall.mesh.gate import EndpointGate
from corianderwall.mesh.messages import Beat, EndpointRecord, NodeRecord, Tables
from corianderwall.mesh.moves import MoveBoard
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.source import Source, SourceError
from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_info, log_warning

BEAT_S = 1.0
"""Interval of beats; half of the shortest bound within which a change has to be known."""
TICK_S = 0.25
"""Interval at which peers that were silent are looked at."""
CONFIRMING_PEERS = 2
"""Peers that have to know of a leave before it is acknowledged; two hosts may fail at once."""
CONFIRM_S = 0.5
"""Longest wait for them; the endpoint takes an answer within a second."""
CONFIRM_TICK_S = 0.005
SYNC_S = 0.5
"""Longest wait after the start for the records of peers before the endpoint is given calls."""
PULL_RETRY_S = 0.1
"""Interval at which records are pulled; some times the answer of a peer in another zone."""
PULL_TRIES = 20
"""Rounds of pulls after a start; all nodes may have begun together and have nothing to send."""
FIRST_PULLS = 2
"""Peers that are asked at once; with a third of them gone, four tries miss one in a thousand."""
BEGUN_TOGETHER = 8
"""Peers that lack records too, and none that has them, from which all nodes are taken to have begun
together; if six of ten did, eight in a row are one case in sixty."""
FIRST_BEATS = 2
"""Peers from which a node that joins gets all records and the configuration."""
FAR_PART = 0.34
"""Part of the beats that leave the zone, whose bytes are paid for; changes are told at once."""
JOIN_RETRY_S = 0.5
JOIN_RETRY_MAX_S = 3.0
"""First and longest pause before a failed announcement at the platform is tried again."""

STALE_TRIES = 3
"""Cheap lists that may be old before one is asked for that is not; others may just have begun."""

RECENT_S = 10.0
"""Age up to which changed records are sent to a peer that knows others; a few rounds of beats."""
WHOLE_EVERY = 4
"""One of so many differences is answered by all records, for what the recent ones leave open."""

BEAT_KIND = "beat"
TABLES_KIND = "tables"
PULL_KIND = "tables-pull"

_beat_decoder = msgspec.msgpack.Decoder(Beat)
_tables_decoder = msgspec.msgpack.Decoder(Tables)


class Gossip:
    """Keeps the directory current; a lost message is made good by the next comparison."""

    def __init__(
        self,
        directory: Directory,
        link: PeerLink,
        source: Source,
        holder: ConfigurationHolder,
        sync: ConfigurationSync,
        joined: asyncio.Event,
        moves: MoveBoard,
        gate: EndpointGate,
        make_beat: Callable[[], Beat],
        spawn: Spawn,
        random: Random,
    ) -> None:
        self._directory = directory
        self._link = link
        self._source = source
        self._holder = holder
        self._sync = sync
        self._joined = joined
        self._moves = moves
        self._gate = gate
        self._make_beat = make_beat
        self._spawn = spawn
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._asked: dict[str, float] = {}
        self._differences = 0
        self._confirmed = 0
        self._pulled = False
        self._synced_peers: dict[str, bool] = {}

    async def join(self) -> None:
        """Write this node's record at the platform and meet the nodes that have done so.

        A node that starts again at its address finds its record there; a list costs far less than
        a write, and its peers learn its new incarnation from itself.
        """
        pause_s = JOIN_RETRY_S
        written = False
        tries = 0
        while True:
            try:
                tries += 1
                records = await self._source.list_nodes(stale=tries <= STALE_TRIES)
                if not written and not self._is_listed(records):
                    await self._source.announce_node(self._directory.own)
                    records = await self._source.list_nodes(stale=tries <= STALE_TRIES)
                written = True
            except SourceError as error:
                log_warning("joining through the platform failed", reason=error.reason)
                await asyncio.sleep(pause_s * (0.5 + self._random.random()))
                pause_s = min(JOIN_RETRY_MAX_S, pause_s * 2)
                continue
            self._meet(records)
            if self._directory.peers or tries > STALE_TRIES:
                break
            await asyncio.sleep(JOIN_RETRY_S)
        log_info("joined through the platform", nodes=len(records), tries=tries)
        self._joined.set()

    def _is_listed(self, records: tuple[NodeRecord, ...]) -> bool:
        own = self._directory.own
        place = (own.name, own.zone, own.host, own.port)
        return any((each.name, each.zone, each.host, each.port) == place for each in records)

    def _meet(self, records: tuple[NodeRecord, ...]) -> None:
        now = self._loop.time()
        for record in records:
            if record.name != self._directory.own.name:
                self._directory.merge_node(record, now)
        # They know each other from the platform; what they do not know is this node.
        self.tell_all(Tables(sender=self._directory.own))
        # All peers hear of this node; a few are enough for it to hear what they know.
        peers = list(self._directory.peers.values())
        for peer in self._random.sample(peers, min(FIRST_BEATS, len(peers))):
            self._spawn(self._beat(peer))

    async def run(self) -> None:
        """Send beats until cancelled."""
        next_beat = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self._loop.time()
            self._link.tick()
            for peer in self._directory.list_doubted(now):
                # Until the answer comes, the pause that follows a failure keeps it from doubling.
                peer.retry_at = now + BEAT_S
                self._spawn(self._beat(peer))
            if now < next_beat:
                continue
            next_beat = now + BEAT_S * (0.9 + 0.2 * self._random.random())
            self._directory.forget_old(now)
            self._link.close_unused()
            partner = self._choose_peer()
            if partner is not None:
                self._spawn(self._beat(partner))

    def _choose_peer(self) -> Peer | None:
        zone = self._directory.own.zone
        live = list(self._directory.list_live())
        near = [peer for peer in live if peer.record.zone == zone]
        far = [peer for peer in live if peer.record.zone != zone]
        chosen = far if far and self._random.random() < FAR_PART else near or far
        return self._random.choice(chosen) if chosen else None

    def announce_endpoint(self, record: EndpointRecord) -> None:
        """Tell all peers of a change of this node's endpoint."""
        self._directory.merge_endpoint(record, self._loop.time())
        self._confirmed = 0
        self.tell_all(Tables(sender=self._directory.own, endpoints=(record,)))

    async def confirm_leave(self) -> None:
        """Return once peers know the last change, so that it outlives this process, or soon."""
        wanted = min(CONFIRMING_PEERS, sum(1 for _ in self._directory.list_live()))
        end = self._loop.time() + CONFIRM_S
        while self._confirmed < wanted and self._loop.time() < end:
            await asyncio.sleep(CONFIRM_TICK_S)

    async def sync(self) -> None:
        """Pull the records of peers until one has sent them, and then let the endpoint be used.

        It is used all the same after a while, and once it is clear that all nodes began together.
        """
        end = self._loop.time() + SYNC_S
        tries = 0
        while not self._pulled and (tries < PULL_TRIES or not self._gate.synced):
            peers = self._list_pulled_peers()
            for peer in self._random.sample(peers, min(FIRST_PULLS, len(peers))):
                self._spawn(self._pull(peer))
            tries += 1
            await asyncio.sleep(PULL_RETRY_S if self._loop.time() < end else BEAT_S)
            if not self._gate.synced and (self._loop.time() >= end or self._began_together()):
                log_info(
                    "no peer has sent its records; the endpoint is used all the same",
                    peers=len(self._directory.peers),
                    answered=len(self._synced_peers),
                )
                self._gate.synced = True

    def _list_pulled_peers(self) -> list[Peer]:
        """Return the peers that say they have records, or all while none does."""
        peers = self._directory.peers
        synced = [peers[name] for name, synced in self._synced_peers.items() if synced]
        return synced or list(peers.values())

    def _began_together(self) -> bool:
        answers = self._synced_peers.values()
        wanted = min(BEGUN_TOGETHER, len(self._directory.peers))
        return 0 < wanted <= len(answers) and not any(answers)

    def tell_all(self, tables: Tables) -> None:
        """Send `tables` to every peer."""
        body = msgspec.msgpack.encode(tables)
        for peer in self._directory.peers.values():
            self._spawn(self._tell(peer.record, body))

    def beat_all(self) -> None:
        """Send a beat to every peer, since what it says decides who works for whom."""
        for peer in list(self._directory.list_live()):
            self._spawn(self._beat(peer))

    def take_beat(self, body: bytes) -> bytes | None:
        """Answer a peer's beat with one of this node's own."""
        beat = _beat_decoder.decode(body)
        self._take_beat(beat)
        self._compare(beat)
        return msgspec.msgpack.encode(self._make_beat())

    def take_tables(self, body: bytes) -> bytes | None:
        """Merge a peer's tables and answer with a beat."""
        self._merge(_tables_decoder.decode(body))
        return msgspec.msgpack.encode(self._make_beat())

    def take_pull(self, body: bytes) -> bytes | None:
        """Answer a node that joins with all that this one knows, unless it has just begun too."""
        if not self._gate.synced:
            return None
        return msgspec.msgpack.encode(self._directory.make_tables())

    def _merge(self, tables: Tables) -> None:
        self._directory.merge(tables, self._loop.time())
        for record in tables.endpoints:
            if record.node == self._directory.own.name:
                self._gate.endpoint.learn(record)

    async def _pull(self, peer: Peer) -> None:
        reply = await self._link.post(peer.record, PULL_KIND, b"")
        if reply:
            self._merge(_tables_decoder.decode(reply))
            self._pulled = True
            self._gate.synced = True

    async def _tell(self, node: NodeRecord, body: bytes) -> None:
        reply = await self._link.post(node, TABLES_KIND, body)
        if reply:
            self._confirmed += 1
            self._take_beat(_beat_decoder.decode(reply))

    async def _beat(self, peer: Peer) -> None:
        reply = await self._link.post(
            peer.record, BEAT_KIND, msgspec.msgpack.encode(self._make_beat())
        )
        if reply:
            beat = _beat_decoder.decode(reply)
            self._take_beat(beat)
            self._compare(beat)

    def _take_beat(self, beat: Beat) -> None:
        now = self._loop.time()
        self._directory.take_beat(beat, now)
        if not self._pulled and beat.node.name in self._directory.peers:
            self._synced_peers[beat.node.name] = beat.synced
        for view in beat.moves:
            self._moves.take_view(view, now)
        peer = self._directory.peers.get(beat.node.name)
        if peer is not None:
            self._sync.note_version(peer, beat.config_version)

    def _compare(self, beat: Beat) -> None:
        """Send records to a peer that knows others; its own comparison sends its records.

        Records differ mostly by changes that are on their way, and all of them are many kilobytes.
        """
        peer = self._directory.peers.get(beat.node.name)
        if peer is None or beat.digest == self._directory.compute_digest():
            return
        now = self._loop.time()
        if now - self._asked.get(beat.node.name, 0.0) > BEAT_S / 2:
            self._asked[beat.node.name] = now
            self._differences += 1
            tables = self._directory.make_recent_tables(now - RECENT_S)
            if not tables.endpoints or self._differences % WHOLE_EVERY == 0:
                tables = self._directory.make_tables()
            self._spawn(self._tell(peer.record, msgspec.msgpack.encode(tables)))
